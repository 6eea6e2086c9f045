// Package locator is an entry's knowledge of the engines: which adapters they
// hold, as told by the daemons that order them or, without news from these,
// as the engines register; how many requests run there; and whether requests
// to them have failed lately. It asks for adapters that are not held and
// wakes the requests that wait for them.
//
// Locator.mu guards all tables. It is not held during I/O; sending a datagram
// does not block.
package locator
