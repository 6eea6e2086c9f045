// Package permit grants the load permits of each weight store, the most urgent
// request first. The Granter decides and does no I/O; the Service runs one
// Granter for each weight store that this daemon owns; the Client requests
// permits from the store's owner, in this daemon or another.
package permit
