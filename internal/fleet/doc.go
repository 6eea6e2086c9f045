// Package fleet knows the daemons of a deployment and which of them gives
// orders to which engine.
//
// Each daemon has one key under members/, attached to its only lease, and each
// engine one key under engines/ that names the daemon which orders it. The
// latter has no lease: it outlives its daemon, so that a restarted daemon goes
// on where it was, and a successor knows whom it succeeds. A claim replaces the
// key under the conditions that it is unchanged and that the member key of the
// former daemon is absent. The key's revision is the fencing token of orders.
//
// Table decides without I/O; Keeper holds the lease and sends the claims. Keys
// are taken over from a mirror of the key-value service, in revision order.
package fleet
