// Package upstream contains the clients of the upstreams that barleylift routes
// to: model engines and plain services. A client sends each call once: neither
// it nor the HTTP transport below it retries a call on its own. Its results
// state whether a call was certainly not executed, has certainly ended, or may
// still be running.
package upstream
