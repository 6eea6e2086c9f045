package ownership

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/infra"
)

// replica is one prefix that the Manager keeps a copy of.
type replica struct {
	prefix string
	// watchedSince is when the watch was opened that keeps the copy; zero if there is
	// none. It is guarded by Manager.mu.
	watchedSince *time.Time
	// reset takes the whole prefix; since is the state when the read was sent.
	reset func(now time.Time, r infra.RangeResult, since tableVersion)
	// apply takes one change.
	apply func(now time.Time, e infra.WatchEvent)
}

// tableVersion is the state of the table at the moment when a read was sent.
type tableVersion struct {
	gainCount           uint64
	incarnationRevision int64
}

// fullReadEvery is the time after which a prefix is read again as a whole, in
// case the service was put back to an old state and has since moved on.
const fullReadEvery = time.Hour

// cursor is how far the copy of a prefix reaches.
type cursor struct {
	// nextRevision is the first revision that the copy does not reflect; 0 means that
	// the whole prefix has to be read.
	nextRevision int64
	// nextFullReadAt is when the whole prefix is to be read again.
	nextFullReadAt time.Time
}

// follow keeps a copy of a prefix until ctx ends: one read, then one watch,
// which is resumed where it broke.
func (m *Manager) follow(ctx context.Context, f replica) {
	var c cursor
	failures := 0
	for ctx.Err() == nil {
		opened, err := m.followOnce(ctx, f, &c)
		m.setWatched(f, false)
		if ctx.Err() != nil {
			return
		}
		if opened {
			failures = 0
		}
		if err == nil {
			continue
		}
		if errorKind(err) == infra.Compacted {
			c.nextRevision = 0
		}
		delay := m.backoff(failures)
		failures++
		m.log.Warn("copy of keys is stale", "prefix", f.prefix, "err", err, "retry_in", delay)
		clock.Sleep(ctx, delay)
	}
}

// followOnce brings the copy up to date and applies changes until the watch
// breaks or the whole prefix is due to be read. It reports whether the watch
// was opened.
func (m *Manager) followOnce(ctx context.Context, f replica, c *cursor) (bool, error) {
	if err := m.catchUp(ctx, f, c); err != nil {
		return false, err
	}
	ctx, cancel := context.WithDeadline(ctx, c.nextFullReadAt)
	defer cancel()
	batches, err := m.config.KV.Watch(ctx, f.prefix, c.nextRevision)
	if err != nil {
		return false, err
	}
	m.setWatched(f, true)
	for batch := range batches {
		if batch.Err != nil {
			return true, batch.Err
		}
		m.update(func(now time.Time) {
			for _, e := range batch.Events {
				f.apply(now, e)
			}
		})
		c.nextRevision = max(c.nextRevision, batch.Revision+1)
	}
	if ctx.Err() == nil {
		return true, errWatchEnded
	}
	return true, nil
}

// errWatchEnded means that a watch ended without an error of its own.
var errWatchEnded = errors.New("watch ended")

// catchUp reads the whole prefix unless a watch can go on from the cursor. It
// cannot after the service was put back to an older revision; one key is read
// to learn that.
func (m *Manager) catchUp(ctx context.Context, f replica, c *cursor) error {
	if c.nextRevision > 0 && time.Now().Before(c.nextFullReadAt) {
		probe, err := m.config.KV.Range(ctx, memberKey(m.Self().Name))
		if err != nil {
			return err
		}
		if probe.Revision >= c.nextRevision-1 {
			return nil
		}
		m.log.Error("key-value service went back", "prefix", f.prefix, "revision", probe.Revision, "seen", c.nextRevision-1)
	}
	since := m.tableVersion()
	r, err := m.config.KV.Range(ctx, f.prefix)
	if err != nil {
		return err
	}
	m.update(func(now time.Time) { f.reset(now, r, since) })
	c.nextRevision = r.Revision + 1
	c.nextFullReadAt = time.Now().Add(m.randomBetween(fullReadEvery*9/10, fullReadEvery))
	return nil
}

// setWatched notes whether the copy of a prefix is kept by a watch.
func (m *Manager) setWatched(f replica, current bool) {
	m.update(func(now time.Time) {
		*f.watchedSince = time.Time{}
		if current {
			*f.watchedSince = now
		}
	})
}

// createsAllowedFrom returns the time from which creates may be made: one step after
// both copies have come to be kept by watches, in which what a resumed watch
// missed has arrived. It is zero while one of them is not. The caller holds m.mu.
func (m *Manager) createsAllowedFrom() time.Time {
	if m.membersWatchedSince.IsZero() || m.ownersWatchedSince.IsZero() {
		return time.Time{}
	}
	return latest(m.membersWatchedSince, m.ownersWatchedSince).Add(m.config.TakeoverStep)
}

func (m *Manager) tableVersion() tableVersion {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return tableVersion{gainCount: m.table.gainCount, incarnationRevision: m.table.incarnation.revision}
}

// memberReplica follows the members.
func (m *Manager) memberReplica() replica {
	return replica{prefix: membersPrefix, watchedSince: &m.membersWatchedSince, reset: m.resetMembers, apply: m.applyMember}
}

// resetMembers takes the member list. The caller holds m.mu.
func (m *Manager) resetMembers(now time.Time, r infra.RangeResult, since tableVersion) {
	members := make(map[string]registeredMember, len(r.Entries))
	for _, e := range r.Entries {
		member, err := parseMember(e)
		if err != nil {
			m.log.Error("member is not readable", "err", err)
			continue
		}
		members[member.Name] = member
	}
	m.table.resetMembers(now, members)
	m.sortMembers()
	own := m.table.incarnation.revision
	if own != 0 && own == since.incarnationRevision && members[m.table.self.Name].revision != own {
		m.markMemberKeyLost()
	}
}

// markMemberKeyLost has the lease checked because the member key is gone. The caller
// holds m.mu.
func (m *Manager) markMemberKeyLost() {
	m.memberKeyLost = true
	signal(m.renewNow)
}

// applyMember takes one change of the members. The caller holds m.mu.
func (m *Manager) applyMember(now time.Time, e infra.WatchEvent) {
	name := strings.TrimPrefix(e.Entry.Key, membersPrefix)
	if e.Deleted {
		m.table.removeMember(now, name)
		if name == m.table.self.Name && m.table.incarnation.revision != 0 && e.Entry.ModRevision > m.table.incarnation.revision {
			m.markMemberKeyLost()
		}
	} else if member, err := parseMember(e.Entry); err != nil {
		m.log.Error("member is not readable", "err", err)
	} else {
		m.table.putMember(now, member)
	}
	m.sortMembers()
}

// ownerReplica follows the owners.
func (m *Manager) ownerReplica() replica {
	return replica{prefix: ownersPrefix, watchedSince: &m.ownersWatchedSince, reset: m.resetOwners, apply: m.applyOwner}
}

// resetOwners takes all owner keys. The caller holds m.mu.
func (m *Manager) resetOwners(now time.Time, r infra.RangeResult, since tableVersion) {
	keys := make([]ownerKeyState, 0, len(r.Entries))
	for _, e := range r.Entries {
		key, err := parseOwner(e)
		if err != nil {
			m.log.Error("owner is not readable", "err", err)
			continue
		}
		keys = append(keys, key)
	}
	m.table.resetOwners(now, keys, r.Revision, since.gainCount)
}

// applyOwner takes one change of the owners. The caller holds m.mu.
func (m *Manager) applyOwner(now time.Time, e infra.WatchEvent) {
	if e.Deleted {
		if key, ok := parseOwnerKey(e.Entry.Key); ok {
			m.table.applyOwnerKey(now, ownerKeyState{key: key, deleted: true, modRevision: e.Entry.ModRevision})
		}
		return
	}
	key, err := parseOwner(e.Entry)
	if err != nil {
		m.log.Error("owner is not readable", "err", err)
		return
	}
	m.table.applyOwnerKey(now, key)
}
