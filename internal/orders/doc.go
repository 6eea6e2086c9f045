// Package orders sends orders to the engines of which this daemon is the
// owner. One worker an engine asks residency.Engine what is to be done, does
// it, and tells the entries that asked for an adapter how it stands.
//
// Lock order: Pool.mu, then worker.mu. Neither is held during I/O.
package orders
