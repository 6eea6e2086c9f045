// Package origin remembers which software version began each stream, so that the
// stream goes on only at that version when its caller comes back to another daemon.
// It does no I/O.
//
// It answers this load: most callers come back because the daemon that forwarded
// their stream has ended. So that daemon gives each stream's origin to a few others,
// chosen by a hash of the request's identifier, before it forwards the first event.
package origin
