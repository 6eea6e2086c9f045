// Package ratelimit bounds the requests that one upstream gets from all daemons
// together, by the rate that the upstream names in its answers. It does no I/O.
//
// A Knowledge is what one daemon knows of the rate. All times are readings of one
// monotonic clock.
package ratelimit
