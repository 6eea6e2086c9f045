// Package engine holds an owner's view of one model engine as an aggregate:
// slots, pins, outstanding orders, fencing and takeover. It decides what may be
// dispatched, loaded and unloaded. It does no I/O and takes the time as a
// parameter.
//
// Every method preserves two invariants: a slot is never ordered to unload while
// a call may use its adapter, and no call is dispatched to a slot whose adapter
// the engine has not confirmed.
//
// An Engine is not safe for concurrent use; the caller guards it with a mutex.
package engine
