package gateway

import "time"

// storeOutage tells when an outage of the key-value service has ended, of which the watch
// and the lease learn at different times. It is not safe for concurrent use.
type storeOutage struct {
	isLost bool
	// lostAt is when the outage was noticed.
	lostAt time.Duration
}

// regainedAt returns when the service came back. isLost is set while the watch or the lease
// miss it, and watchRegainedAt is when the watch last found it back. That holds if it was in
// this outage: the lease follows later, and registrations are renewed from then on. Else the
// lease alone has noticed the outage.
func (o *storeOutage) regainedAt(now time.Duration, isLost bool, watchRegainedAt time.Duration) time.Duration {
	wasLost := o.isLost
	o.isLost = isLost
	switch {
	case isLost && !wasLost:
		o.lostAt = now
	case !isLost && wasLost && watchRegainedAt < o.lostAt:
		return now
	}
	return watchRegainedAt
}
