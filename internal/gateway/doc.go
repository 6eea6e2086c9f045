// Package gateway is the role that serves callers by routes of an operator's
// configuration, in front of engines and plain services that register
// themselves. It builds the parts, keeps them in step with the key-value
// service, and starts, reloads and drains them.
//
// What surrounds it (the key-value service, header fields, registrations) is
// reached through a Platform, which only translates.
//
// Lock order: Gateway.mu before the locks of its parts.
package gateway
