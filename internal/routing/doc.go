// Package routing holds the accepted configuration of routes, services and
// limits as one immutable table. A newer version replaces the table whole; an
// older one is never put in force. It does no I/O.
package routing
