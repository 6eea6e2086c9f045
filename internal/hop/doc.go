// Package hop sends HTTP/1.1 requests over its own connections to one upstream,
// one request at a time on each connection. It never resends a request, reports
// whether any byte of a request was written, and reuses a connection only after
// an exchange that ended cleanly on both sides.
package hop
