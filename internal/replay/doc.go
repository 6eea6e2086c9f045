// Package replay sends a recorded trace of calls to a running system with the
// retries that the API permits, and compares the outcome of each call with the
// outcomes that the trace allows. It serves for load tests and experiments; a
// seeded generator creates new traces.
package replay
