// Package gateway implements the daemon role that routes callers' requests to
// engines and plain services, by the routes of the operator's configuration and
// the upstreams' own registrations. It builds the components, updates them from
// the key-value service, and starts, reloads and drains them.
//
// A Platform translates the formats of the surrounding system (the key-value
// service, header fields, registrations) and does nothing else.
//
// Lock order: Gateway.mu before the locks of its parts; those of orders before
// locator.Locator.mu, which comes before that of replicaload.Known; locator.Locator.mu and
// quarantined.mu before those of the keeper and of peers. Gateway.mu, reach.mu and
// quarantined.mu are not held together.
package gateway
