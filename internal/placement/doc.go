// Package placement decides on which engines an adapter is loaded: candidates
// by rendezvous hashing, the number of replicas by recent demand and load, and
// which resident adapter to evict. It does no I/O and keeps no state of idle
// adapters.
//
// All versions of an adapter share their candidates, so that one home sees
// the demand for all of them; each version is placed separately.
package placement
