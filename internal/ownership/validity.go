package ownership

import "time"

// instant is one moment on both clocks of the machine. The monotonic clock
// does not run while the VM is suspended and the wall clock may be set.
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
// since an earlier instant, so that neither a suspended VM nor a wall clock
// that was set back makes the elapsed time too short.
func (i instant) elapsedSince(earlier instant) time.Duration {
	return max(i.monotonic-earlier.monotonic, i.wall.Sub(earlier.wall))
}

// validity tells for how long a lease is known to be valid: from the sending
// of the last renewal that succeeded, for the time to live less a margin. The
// service counts from the receipt, which is later. The zero value is not valid.
type validity struct {
	renewalSentAt instant
	duration      time.Duration
}

// renewed returns the validity after a renewal that was sent at the given
// instant and granted the time to live. A renewal that was sent before the
// present one changes nothing.
func (v validity) renewed(sent instant, ttl, margin time.Duration) validity {
	if v.duration > 0 && sent.monotonic < v.renewalSentAt.monotonic {
		return v
	}
	return validity{renewalSentAt: sent, duration: ttl - margin}
}

// validAt reports whether the lease is known to be valid validAt the instant.
func (v validity) validAt(now instant) bool {
	return v.duration > 0 && now.elapsedSince(v.renewalSentAt) < v.duration
}
