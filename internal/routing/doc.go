// Package routing holds the accepted configuration of routes, services and
// limits as an immutable table. A newer version replaces the whole table; an
// older one is never applied. It does no I/O.
package routing
