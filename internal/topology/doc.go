// Package topology holds what upstreams say of themselves, in the project's
// own terms. It decides nothing.
package topology
