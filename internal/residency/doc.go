// Package residency decides which adapters one engine holds: which order to
// send next, which adapter to evict, and when a requested adapter is ready.
// It does no I/O and takes the time as a parameter.
//
// The engine counts the orders that it accepts and checks that count as the
// precondition of the next one. The safety of the package rests on this: an
// order that was decided after n accepted orders is carried out in exactly that
// state or not at all. So an order without an answer can't take effect after a
// later one, and the adapter slots are never overfilled.
//
// The package is designed for many more adapters than slots, a skewed and
// shifting popularity, loads of about 250 ms of which few run concurrently, and
// reloads of recently held adapters in a tenth of that time.
package residency
