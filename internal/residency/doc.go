// Package residency decides which adapters one engine holds: which order to
// send next, which adapter makes room, and when a requested adapter is ready.
// It does no I/O and takes the time as a parameter.
//
// The engine counts the orders that it accepts and checks that count as the
// precondition of the next one. All of the package's certainty rests on it: an
// order that was decided on a state with n accepted orders is carried out on
// that state or not at all, so an order without an answer can't take effect
// after a later one, and the adapter slots are never overfilled.
//
// The load that it answers: many more adapters than slots, a skewed and
// moving popularity, loads of some 250 ms of which few run at once, and
// reloads of what the engine held lately at a tenth of that.
package residency
