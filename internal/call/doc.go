// Package call defines the types of a caller's call: its identity, the adapter
// that it names, the parts of its response and the outcome that is reported to
// the caller.
package call
