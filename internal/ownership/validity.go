package ownership

import "time"

// instant is one moment on both clocks of the VM. The monotonic clock does not
// run while the VM is suspended, and the wall clock may be set.
type instant struct {
	monotonic time.Duration
	wall      time.Time
}

// instantOf splits a time that carries a monotonic reading; origin is any
// earlier time of the same process.
func instantOf(now, origin time.Time) instant {
	return instant{monotonic: now.Sub(origin), wall: now.Round(0)}
}

// elapsedSince returns the larger of the monotonic and the wall time elapsed
// since an earlier instant. A suspended VM makes the former too short, a wall
// clock that was set back the latter.
func (i instant) elapsedSince(earlier instant) time.Duration {
	return max(i.monotonic-earlier.monotonic, i.wall.Sub(earlier.wall))
}

// validity is the time for which a lease is known to be valid: from when the
// last successful renewal was sent, for the time to live less a margin. The
// service counts from when it received the renewal, which is later. The zero
// value is not valid.
type validity struct {
	renewalSentAt instant
	duration      time.Duration
}

// renewed returns the validity after a renewal that was sent at sentAt and
// granted the time to live. A renewal that was sent before the last known one
// changes nothing.
func (v validity) renewed(sentAt instant, ttl, margin time.Duration) validity {
	if v.duration > 0 && sentAt.monotonic < v.renewalSentAt.monotonic {
		return v
	}
	return validity{renewalSentAt: sentAt, duration: ttl - margin}
}

// validAt reports whether the lease is known to be valid at now.
func (v validity) validAt(now instant) bool {
	return v.duration > 0 && now.elapsedSince(v.renewalSentAt) < v.duration
}
