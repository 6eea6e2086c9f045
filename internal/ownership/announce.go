package ownership

import (
	"context"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/infra"
)

// announcement is one attempt to create the member key under a new lease,
// together with the owner keys that the daemon held before, if nobody has
// taken them.
type announcement struct {
	lease           infra.LeaseID
	renewalSentAt   instant
	previouslyOwned []Resource
	settleTime      time.Duration
}

// announce creates the member key. It reports false if the lease ended or ctx
// ended. A member key of the same name under another lease belongs to an
// earlier process or to a paused one: its end is waited for, because to remove
// it would free what its holder may still take for its own.
func (m *Manager) announce(ctx context.Context, a announcement) bool {
	if len(a.previouslyOwned) > m.config.GroupSize {
		a.previouslyOwned = a.previouslyOwned[:m.config.GroupSize]
	}
	for failures := 0; ; failures++ {
		self := m.Self()
		if self.Leaving {
			a.previouslyOwned = nil
		}
		result, err := m.config.KV.Txn(ctx, announceTxn(a.lease, self, a.previouslyOwned))
		switch {
		case err == nil && result.Succeeded:
			m.beginIncarnation(a, result.Revision, nil)
			return m.announceIfLeaving(ctx, self)
		case err == nil:
			member := firstOf(result.Reads[0])
			if member.Lease == a.lease && member.Exists() {
				m.beginIncarnation(a, member.CreateRevision, result.Reads[1:])
				return m.announceIfLeaving(ctx, self)
			}
			if !member.Exists() {
				a.previouslyOwned = stillFree(a.previouslyOwned, result.Reads[1:])
				continue
			}
			m.log.Warn("member key is taken; waiting for its lease to end", "name", self.Name)
		case errorKind(err) == infra.LeaseNotFound || ctx.Err() != nil:
			return false
		default:
			m.log.Warn("not announced", "err", err)
		}
		if !clock.Sleep(ctx, m.backoff(failures)) || !m.renewIfDue(ctx, &a) {
			return false
		}
	}
}

// renewIfDue renews the lease of an announcement that takes long; it reports false
// if the lease has ended.
func (m *Manager) renewIfDue(ctx context.Context, a *announcement) bool {
	if m.instant().elapsedSince(a.renewalSentAt) < m.config.RenewEvery {
		return true
	}
	sent := m.instant()
	_, err := m.config.KV.KeepAlive(ctx, a.lease)
	if err == nil {
		a.renewalSentAt = sent
	}
	return err == nil || errorKind(err) != infra.LeaseNotFound
}

func stillFree(resources []Resource, reads [][]infra.Entry) []Resource {
	var free []Resource
	for i, r := range resources {
		if !firstOf(reads[i]).Exists() {
			free = append(free, r)
		}
	}
	return free
}

// beginIncarnation starts the incarnation. The reads tell which owner keys were created
// with the member key, if that is known from a read; else all of them were.
func (m *Manager) beginIncarnation(a announcement, revision int64, reads [][]infra.Entry) {
	m.update(func(now time.Time) {
		m.validity = validity{}.renewed(a.renewalSentAt, m.config.LeaseTTL, m.config.Margin)
		m.memberKeyLost = false
		m.table.beginIncarnation(now, a.lease, revision, a.settleTime)
		for i, r := range a.previouslyOwned {
			token := Token(revision)
			if reads != nil {
				e := firstOf(reads[i])
				if !e.Exists() || e.Lease != a.lease {
					continue
				}
				token = Token(e.CreateRevision)
			}
			m.table.adopt(now, r, token)
		}
	})
	m.log.Info("announced", "revision", revision, "kept", len(a.previouslyOwned))
}

// announceIfLeaving announces again if the daemon began to leave meanwhile. It
// reports true, since the incarnation stands in any case.
func (m *Manager) announceIfLeaving(ctx context.Context, announced Member) bool {
	if m.Self().Leaving && !announced.Leaving {
		if err := m.updateMemberKey(ctx); err != nil {
			m.log.Warn("leaving was not announced", "err", err)
		}
	}
	return true
}

// MarkLeaving announces that the daemon leaves: it takes over nothing more,
// and the others rank and offer it no longer. It is tried until ctx ends.
// Without a lease at present nothing is announced now; a later announcement
// tells it.
func (m *Manager) MarkLeaving(ctx context.Context) error {
	m.update(func(now time.Time) {
		m.table.setLeaving(now)
		m.sortMembers()
	})
	return m.updateMemberKey(ctx)
}

// updateMemberKey writes the member key anew while it is this incarnation's.
func (m *Manager) updateMemberKey(ctx context.Context) error {
	for failures := 0; ; failures++ {
		lease, revision := m.Lease()
		if revision == 0 {
			return nil
		}
		self := m.Self()
		key := memberKey(self.Name)
		_, err := m.config.KV.Txn(ctx, infra.Txn{
			If:   []infra.Compare{infra.CreatedAt(key, revision)},
			Then: []infra.Op{{Kind: infra.OpPut, Key: key, Value: encode(self), Lease: lease}},
		})
		if err == nil || errorKind(err) == infra.LeaseNotFound {
			return nil
		}
		if !clock.Sleep(ctx, m.backoff(failures)) {
			return err
		}
	}
}
