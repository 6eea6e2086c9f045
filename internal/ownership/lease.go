package ownership

import (
	"context"
	"errors"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/infra"
)

// writesPerRecovery is the number of writes with which a daemon comes back: a
// grant and one transaction that announces it and re-creates what it owned.
const writesPerRecovery = 2

// runLease holds one lease after the other until ctx ends.
func (m *Manager) runLease(ctx context.Context) {
	settle := m.config.TakeoverStep
	var before []Resource
	for {
		lease, ok := m.establishLease(ctx, before, settle)
		if !ok {
			return
		}
		m.runRenewals(ctx, lease)
		if ctx.Err() != nil {
			return
		}
		before = m.endIncarnation()
		m.log.Warn("lease ended", "lost", len(before))
		spread := m.recoverySpread()
		settle = m.config.TakeoverStep + m.config.RenewEvery + spread
		if !clock.Sleep(ctx, m.randomBetween(0, spread)) {
			return
		}
	}
}

// endIncarnation loses all holdings and returns them.
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
// together come back, so that all of them stay below the fleet's write rate.
func (m *Manager) recoverySpread() time.Duration {
	seconds := float64(len(m.Members())*writesPerRecovery) / m.config.FleetWriteRate
	return time.Duration(seconds * float64(time.Second))
}

// establishLease gets a lease and announces the daemon under it. It reports false
// when ctx ended.
func (m *Manager) establishLease(ctx context.Context, before []Resource, settle time.Duration) (infra.LeaseID, bool) {
	for failures := 0; ; failures++ {
		sent := m.instant()
		lease, err := m.config.KV.Grant(ctx, m.config.LeaseTTL)
		if err == nil {
			if m.announce(ctx, announcement{lease: lease, renewalSentAt: sent, previouslyOwned: before, settleTime: settle}) {
				return lease, true
			}
		}
		if ctx.Err() != nil {
			return 0, false
		}
		m.log.Warn("no lease yet", "err", err)
		if !clock.Sleep(ctx, m.backoff(failures)) {
			return 0, false
		}
	}
}

// runRenewals renews the lease until it has ended or ctx ends. While the service
// does not answer, the lease counts as not valid, but it has not ended.
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
			m.log.Warn("lease not renewed", "err", err)
			wait = m.backoff(failures)
			failures++
		}
		if err == nil && m.isMemberKeyLost() {
			m.log.Error("member key is gone while its lease is not; starting over")
			m.endIncarnation()
			m.revoke(ctx, lease)
			return
		}
	}
}

// renewalDelay spreads renewals over ten to eleven tenths of the time between them.
func (m *Manager) renewalDelay() time.Duration {
	return m.randomBetween(m.config.RenewEvery, m.config.RenewEvery*11/10)
}

func (m *Manager) renewOnce(ctx context.Context, lease infra.LeaseID) error {
	sent := m.instant()
	ttl, err := m.config.KV.KeepAlive(ctx, lease)
	if err != nil {
		return err
	}
	m.update(func(time.Time) { m.validity = m.validity.renewed(sent, ttl, m.config.Margin) })
	return nil
}

func (m *Manager) isMemberKeyLost() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.memberKeyLost
}

// revoke ends the lease; it is tried until ctx ends.
func (m *Manager) revoke(ctx context.Context, lease infra.LeaseID) {
	for failures := 0; ; failures++ {
		err := m.config.KV.Revoke(ctx, lease)
		if err == nil || errorKind(err) == infra.LeaseNotFound {
			return
		}
		m.log.Warn("lease not revoked", "err", err)
		if !clock.Sleep(ctx, m.backoff(failures)) {
			return
		}
	}
}

// errorKind returns the kind of an error of the key-value service. An error of
// another type leaves open what took effect.
func errorKind(err error) infra.ErrorKind {
	var e *infra.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return infra.Ambiguous
}
