package ownership

import (
	"context"
	"time"

	"github.com/barleylift/barleylift/internal/infra"
)

// createBurst is the number of create transactions that a daemon may send at
// once before its share of the fleet's write rate limits it.
const createBurst = 3

// runWork creates, reads back and deletes owner keys as they become due,
// until ctx ends.
func (m *Manager) runWork(ctx context.Context) {
	failures := 0
	for {
		w, ok := m.awaitWork(ctx)
		if !ok {
			return
		}
		if w.phase == waiting && m.createLimiter.Wait(ctx) != nil {
			return
		}
		result, err := m.config.KV.Txn(ctx, m.workTxn(w))
		if err == nil {
			failures = 0
			m.applyResult(w, result)
			continue
		}
		m.log.Warn("transaction on owner keys failed; retrying", "keys", len(w.items), "err", err)
		delay := m.backoff(failures)
		failures++
		m.update(func(now time.Time) { m.table.applyFailure(now, w, errorKind(err), delay) })
		if errorKind(err) == infra.LeaseNotFound {
			signal(m.renewNow)
		}
	}
}

// awaitWork waits for work that is due. It reports false if ctx ended. Creates
// and reads wait while the lease is not known to be valid, and creates also
// while no watches update the copies of members and owners.
func (m *Manager) awaitWork(ctx context.Context) (work, bool) {
	for {
		w, wakeAt := m.nextWork(time.Now())
		if len(w.items) > 0 {
			return w, true
		}
		if !m.awaitWake(ctx, wakeAt) {
			return work{}, false
		}
	}
}

// nextWork returns the work that may be done now, or else when to look again.
func (m *Manager) nextWork(now time.Time) (work, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	valid := m.validity.validAt(instantOf(now, m.origin))
	createsFrom := m.createsAllowedFrom()
	mayCreate := !createsFrom.IsZero() && !createsFrom.After(now)
	w, wakeAt := m.table.nextWork(now, permission{read: valid, create: valid && mayCreate})
	if createsFrom.After(now) && (wakeAt.IsZero() || createsFrom.Before(wakeAt)) {
		wakeAt = createsFrom
	}
	return w, wakeAt
}

// awaitWake waits for a change of the table or for the time, if it is not zero.
func (m *Manager) awaitWake(ctx context.Context, at time.Time) bool {
	var timeout <-chan time.Time
	if !at.IsZero() {
		timer := time.NewTimer(time.Until(at))
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-m.wakeWork:
	case <-timeout:
	}
	return true
}

// workTxn returns the transaction that does the work.
func (m *Manager) workTxn(w work) infra.Txn {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.table.workTxn(w)
}

// applyResult applies the result of a transaction to the table, and triggers a
// renewal to check the lease if the work's incarnation has ended.
func (m *Manager) applyResult(w work, result infra.TxnResult) {
	m.update(func(now time.Time) {
		if err := m.table.applyResult(now, w, result); err != nil {
			m.log.Error("owner key can't be decoded; treating it as owned by another daemon", "err", err)
		}
	})
	if w.phase == waiting && !result.Succeeded && firstOf(result.Reads[0]).CreateRevision != w.incarnation.revision {
		signal(m.renewNow)
	}
}
