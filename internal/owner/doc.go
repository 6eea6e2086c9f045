// Package owner runs the engines that this daemon owns. All calls and orders to
// an engine pass through its owner, so the owner knows locally whether an
// adapter is in use.
//
// A Pool holds one tenure for each owned engine. A tenure guards the engine's
// aggregate and its queue with one mutex. Events change both under the mutex
// and create tasks (orders, reports, writes to the key-value service), which a
// pool of workers executes without holding the mutex. A call is executed by the
// goroutine that called Run.
//
// Lock order: Pool.mu, then tenure.mu, then workers.mu. No lock is held during
// I/O, while a sink is called, or while a Permits implementation is called.
package owner
