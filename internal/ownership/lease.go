package ownership

import (
	"context"
	"errors"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/infra"
)

// writesPerRecovery is the number of writes by which a daemon recovers from the
// loss of its lease: a grant and one transaction that announces it and recreates
// its owner keys.
const writesPerRecovery = 2

// runLease holds a lease until ctx ends and replaces it each time that it ends.
func (m *Manager) runLease(ctx context.Context) {
	settleTime := m.config.TakeoverStep
	var previouslyOwned []Resource
	for {
		lease, ok := m.establishLease(ctx, previouslyOwned, settleTime)
		if !ok {
			return
		}
		m.runRenewals(ctx, lease)
		if ctx.Err() != nil {
			return
		}
		previouslyOwned = m.endIncarnation()
		m.log.Warn("lease ended; requesting a new one", "lost", len(previouslyOwned))
		spread := m.recoverySpread()
		settleTime = m.config.TakeoverStep + m.config.RenewInterval + spread
		if !clock.Sleep(ctx, m.randomBetween(0, spread)) {
			return
		}
	}
}

// endIncarnation gives up all holdings and returns those to create again.
func (m *Manager) endIncarnation() []Resource {
	var lost []Resource
	m.update(func(now time.Time) {
		m.validity = validity{}
		m.memberKeyLost = false
		lost = m.table.endIncarnation(now)
	})
	return lost
}

// recoverySpread returns the time over which daemons that lost their leases
// together spread their recovery, to stay below the fleet's write rate.
func (m *Manager) recoverySpread() time.Duration {
	seconds := float64(len(m.Members())*writesPerRecovery) / m.config.FleetWriteRate
	return time.Duration(seconds * float64(time.Second))
}

// establishLease gets a lease and announces the daemon under it. It reports false
// if ctx ended.
func (m *Manager) establishLease(ctx context.Context, previouslyOwned []Resource, settleTime time.Duration) (infra.LeaseID, bool) {
	for failures := 0; ; failures++ {
		sentAt := m.instant()
		lease, err := m.config.KV.Grant(ctx, m.config.LeaseTTL)
		if err == nil {
			if m.announce(ctx, announcement{lease: lease, renewalSentAt: sentAt, previouslyOwned: previouslyOwned, settleTime: settleTime}) {
				return lease, true
			}
		}
		if ctx.Err() != nil {
			return 0, false
		}
		m.log.Warn("request for a lease or announcement under it failed; retrying", "err", err)
		if !clock.Sleep(ctx, m.backoff(failures)) {
			return 0, false
		}
	}
}

// runRenewals renews the lease until the lease or ctx ends. While the service
// does not answer, the lease becomes invalid but does not count as ended.
func (m *Manager) runRenewals(ctx context.Context, lease infra.LeaseID) {
	failures := 0
	wait := m.renewalDelay()
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-m.renewNow:
			timer.Stop()
		case <-timer.C:
		}
		err := m.renewOnce(ctx, lease)
		switch {
		case err == nil:
			failures = 0
			wait = m.renewalDelay()
		case errorKind(err) == infra.LeaseNotFound:
			return
		default:
			m.log.Warn("lease renewal failed; retrying", "err", err)
			wait = m.backoff(failures)
			failures++
		}
		if err == nil && m.isMemberKeyLost() {
			m.log.Error("member key was removed although its lease has not ended; revoking the lease and requesting a new one")
			m.endIncarnation()
			m.revoke(ctx, lease)
			return
		}
	}
}

// renewalDelay returns the time until the next renewal: RenewInterval, with up to
// a tenth added at random.
func (m *Manager) renewalDelay() time.Duration {
	return m.randomBetween(m.config.RenewInterval, m.config.RenewInterval*11/10)
}

func (m *Manager) renewOnce(ctx context.Context, lease infra.LeaseID) error {
	sentAt := m.instant()
	ttl, err := m.config.KV.KeepAlive(ctx, lease)
	if err != nil {
		return err
	}
	m.update(func(time.Time) { m.validity = m.validity.renewed(sentAt, ttl, m.config.Margin) })
	return nil
}

func (m *Manager) isMemberKeyLost() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.memberKeyLost
}

// revoke revokes the lease and retries until ctx ends.
func (m *Manager) revoke(ctx context.Context, lease infra.LeaseID) {
	for failures := 0; ; failures++ {
		err := m.config.KV.Revoke(ctx, lease)
		if err == nil || errorKind(err) == infra.LeaseNotFound {
			return
		}
		m.log.Warn("revocation of the lease failed; retrying", "err", err)
		if !clock.Sleep(ctx, m.backoff(failures)) {
			return
		}
	}
}

// errorKind returns the kind of an error of the key-value service. An error of
// another type is ambiguous: the call may have taken effect.
func errorKind(err error) infra.ErrorKind {
	var e *infra.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return infra.Ambiguous
}
