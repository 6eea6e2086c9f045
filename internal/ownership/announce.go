package ownership

import (
	"context"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/infra"
)

// announcement is one attempt to create the member key under a new lease,
// together with those owner keys that the daemon held before and that are still
// free.
type announcement struct {
	lease           infra.LeaseID
	renewalSentAt   instant
	previouslyOwned []Resource
	settleTime      time.Duration
}

// announce creates the member key. It reports false if the lease or ctx ended.
// A member key of the same name under another lease belongs to an earlier or a
// paused process. announce waits until that lease ends: removing the key would
// free resources that its holder may still treat as its own.
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
			m.log.Warn("member key exists under another lease; waiting for that lease to end", "name", self.Name)
		case errorKind(err) == infra.LeaseNotFound || ctx.Err() != nil:
			return false
		default:
			m.log.Warn("creation of the member key failed; retrying", "err", err)
		}
		if !clock.Sleep(ctx, m.backoff(failures)) || !m.renewIfDue(ctx, &a) {
			return false
		}
	}
}

// renewIfDue renews the lease of an announcement that takes longer than the
// renewal interval. It reports false if the lease has ended.
func (m *Manager) renewIfDue(ctx context.Context, a *announcement) bool {
	if m.instant().elapsedSince(a.renewalSentAt) < m.config.RenewInterval {
		return true
	}
	sentAt := m.instant()
	_, err := m.config.KV.KeepAlive(ctx, a.lease)
	if err == nil {
		a.renewalSentAt = sentAt
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

// beginIncarnation starts the incarnation. If reads is not nil, it shows which
// owner keys were created with the member key; otherwise all of them were.
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
	m.log.Info("member key created", "revision", revision, "kept", len(a.previouslyOwned))
}

// announceIfLeaving updates the member key if the daemon began to leave after
// the announcement was sent. It always reports true: the incarnation is valid in
// any case.
func (m *Manager) announceIfLeaving(ctx context.Context, announced Member) bool {
	if m.Self().Leaving && !announced.Leaving {
		if err := m.updateMemberKey(ctx); err != nil {
			m.log.Warn("update of the member key to leaving failed; continuing", "err", err)
		}
	}
	return true
}

// MarkLeaving announces that the daemon is leaving: it acquires no more
// resources, and the others no longer rank it or offer it to callers. It
// retries until ctx ends. Without a current lease it returns at once, and the
// next announcement includes the mark.
func (m *Manager) MarkLeaving(ctx context.Context) error {
	m.update(func(now time.Time) {
		m.table.setLeaving(now)
		m.sortMembers()
	})
	return m.updateMemberKey(ctx)
}

// updateMemberKey rewrites the member key if it belongs to this incarnation.
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
