// Package steer chooses the upstream of a request from plain snapshots: it
// filters, scores and picks, without I/O.
//
// Requests for an adapter go to an engine that holds it. If none does, they go
// to its home, the first engine in rendezvous order. So all entries agree
// without communicating, and an adapter returns to an engine that held it
// recently and reloads it ten times as fast. Popularity may be so skewed that
// the prompts for one adapter saturate an engine; such an adapter is spread to
// the next engines in its rendezvous order.
//
// Where owners report the pace of their engines, engines are compared by the
// expected time to the first event (docs/design/request-cost.md), otherwise by
// counts of requests.
package steer
