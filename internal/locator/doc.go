// Package locator is an entry's view of the engines: which adapters they hold,
// as reported by the daemons that own them or, without a recent report, by the
// engines' own registrations; how many requests run there; and whether requests
// to them have failed recently. It requests loads of adapters that are not held
// and wakes the requests that wait for them.
//
// Locator.mu guards all tables. It is not held during I/O; sending a datagram
// does not block.
package locator
