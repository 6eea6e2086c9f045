// Package orders sends load and unload orders to the engines that this daemon
// owns. One worker per engine executes the actions that residency.Engine
// chooses, and reports the status of admission requests to the entries that
// sent them.
//
// Lock order: Pool.mu, then worker.mu. Neither is held during I/O.
package orders
