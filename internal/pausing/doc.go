// Package pausing decides which requests go to an upstream that has refused one
// and asked for a pause, during the pause and after it. It does no I/O.
//
// It answers two loads. While some upstreams of a service pause, the others get
// their requests, and a pause's end must not bring them all back in one instant:
// each request returns at a time of its own within the ramp after the pause. While
// all of them pause, a request waits only for a moment; otherwise its caller is
// told when it would be taken.
package pausing
