// Package ownership assigns each engine, claim shard and set of load permits to
// exactly one daemon. An owner key is created only if absent and is attached to
// the daemon's single lease; its create revision is the fencing token.
//
// The decisions (rank, lease validity, the state of each resource) do no I/O
// and take the time as a parameter; the Manager carries them out. There is one
// lock, Manager.mu; it is never held during a call to the key-value service or
// to the Listener.
package ownership
