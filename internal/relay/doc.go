// Package relay forwards a caller's request to an upstream and its response
// back to the caller. It handles a request from reading its body to the last
// byte of the response: it selects the upstream, decides whether the request
// may be resent, and determines what is reported to the caller.
//
// It guarantees that all bytes of a response come from one upstream for this
// request; that a truncated response never looks complete; that a request that
// is not idempotent is resent only if it certainly did not run; that a refusal
// that promises "not run" is sent only in that case; that resends stay within a
// budget that each daemon keeps independently; and that a request that can't be
// served is refused immediately.
package relay
