// Package steer chooses the upstream of a request from plain snapshots: it
// filters, scores and picks, without I/O.
//
// Model requests go to an engine that holds the adapter. One that no engine
// holds goes to its home, the first engine in rendezvous order, so that all
// entries agree without talking, and an adapter comes back to an engine that
// held it lately and reloads it ten times as fast. The load that this answers:
// a popularity so skewed that one adapter can fill an engine with prompts to
// read; such an adapter is spread to the next engine of its order.
package steer
