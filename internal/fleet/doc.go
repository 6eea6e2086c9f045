// Package fleet tracks the daemons of a deployment and which of them gives
// orders to which engine.
//
// Each daemon has one key under members/, attached to its only lease, and each
// engine one key under engines/ that names the daemon which orders it. The
// latter has no lease and outlives its daemon: a restarted daemon resumes its
// engines, and a successor can tell who the previous owner was. A claim
// replaces the key on condition that it is unchanged and that the member key of
// the previous owner is absent, or unchanged since it announced draining. The
// key's revision is the fencing token of orders.
//
// Table makes the decisions and does no I/O; Keeper holds the lease and sends
// the claims. Keys come from a mirror of the key-value service, in revision
// order.
package fleet
