package ownership

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/infra"
)

// replica is a key prefix of which the Manager keeps a copy.
type replica struct {
	prefix string
	// watchedSince is when the watch that updates the copy was opened; zero if
	// there is none. It is guarded by Manager.mu.
	watchedSince *time.Time
	// reset replaces the copy by a read of the whole prefix; readVersion is the
	// table's version when the read was sent.
	reset func(now time.Time, r infra.RangeResult, readVersion tableVersion)
	// apply applies one change.
	apply func(now time.Time, e infra.WatchEvent)
}

// tableVersion identifies the table's state at the time when a read was sent.
type tableVersion struct {
	gainCount           uint64
	incarnationRevision int64
}

// fullReadInterval is the time after which a whole prefix is read again, in case
// the service was restored to an old state and has since passed the revisions
// of the copy.
const fullReadInterval = time.Hour

// cursor is the position up to which the copy of a prefix is complete.
type cursor struct {
	// nextRevision is the first revision that the copy does not reflect; 0 means
	// that the whole prefix has to be read.
	nextRevision int64
	// nextFullReadAt is when the whole prefix is to be read again.
	nextFullReadAt time.Time
}

// follow keeps a copy of a prefix until ctx ends: one read, then one watch,
// which is resumed where it ended.
func (m *Manager) follow(ctx context.Context, rep replica) {
	var c cursor
	failures := 0
	for ctx.Err() == nil {
		opened, err := m.followOnce(ctx, rep, &c)
		m.setWatched(rep, false)
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
		m.log.Warn("watch or read of keys failed; the local copy is stale until a retry succeeds", "prefix", rep.prefix, "err", err, "retry_in", delay)
		clock.Sleep(ctx, delay)
	}
}

// followOnce brings the copy up to date and applies changes until the watch
// ends or the whole prefix is to be read again. It reports whether the watch was
// opened.
func (m *Manager) followOnce(ctx context.Context, rep replica, c *cursor) (bool, error) {
	if err := m.catchUp(ctx, rep, c); err != nil {
		return false, err
	}
	ctx, cancel := context.WithDeadline(ctx, c.nextFullReadAt)
	defer cancel()
	batches, err := m.config.KV.Watch(ctx, rep.prefix, c.nextRevision)
	if err != nil {
		return false, err
	}
	m.setWatched(rep, true)
	for batch := range batches {
		if batch.Err != nil {
			return true, batch.Err
		}
		m.update(func(now time.Time) {
			for _, e := range batch.Events {
				rep.apply(now, e)
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

// catchUp reads the whole prefix unless a watch can resume at the cursor. It
// can't after the service was restored to an older revision, which a read of one
// key shows.
func (m *Manager) catchUp(ctx context.Context, rep replica, c *cursor) error {
	if c.nextRevision > 0 && time.Now().Before(c.nextFullReadAt) {
		probe, err := m.config.KV.Range(ctx, memberKey(m.Self().Name))
		if err != nil {
			return err
		}
		if probe.Revision >= c.nextRevision-1 {
			return nil
		}
		m.log.Error("key-value service is at an older revision than before; reading all keys again", "prefix", rep.prefix, "revision", probe.Revision, "seen", c.nextRevision-1)
	}
	readVersion := m.tableVersion()
	r, err := m.config.KV.Range(ctx, rep.prefix)
	if err != nil {
		return err
	}
	m.update(func(now time.Time) { rep.reset(now, r, readVersion) })
	c.nextRevision = r.Revision + 1
	c.nextFullReadAt = time.Now().Add(m.randomBetween(fullReadInterval*9/10, fullReadInterval))
	return nil
}

// setWatched records whether a watch updates the copy of a prefix.
func (m *Manager) setWatched(rep replica, watched bool) {
	m.update(func(now time.Time) {
		*rep.watchedSince = time.Time{}
		if watched {
			*rep.watchedSince = now
		}
	})
}

// createsAllowedFrom returns the time from which creates may be made: one
// takeover step after the watches of both copies were opened, the time for a
// resumed watch to deliver the changes that it missed. It is zero while either
// copy has no watch. The caller holds m.mu.
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

// memberReplica returns the replica of the member keys.
func (m *Manager) memberReplica() replica {
	return replica{prefix: membersPrefix, watchedSince: &m.membersWatchedSince, reset: m.resetMembers, apply: m.applyMember}
}

// resetMembers replaces the member list. The caller holds m.mu.
func (m *Manager) resetMembers(now time.Time, r infra.RangeResult, readVersion tableVersion) {
	members := make(map[string]registeredMember, len(r.Entries))
	for _, e := range r.Entries {
		member, err := parseMember(e)
		if err != nil {
			m.log.Error("member key can't be decoded; ignoring it", "err", err)
			continue
		}
		members[member.Name] = member
	}
	m.table.resetMembers(now, members)
	m.sortMembers()
	revision := m.table.incarnation.revision
	if revision != 0 && revision == readVersion.incarnationRevision && members[m.table.self.Name].revision != revision {
		m.markMemberKeyLost()
	}
}

// markMemberKeyLost records that the member key is absent and triggers a renewal
// to check the lease. The caller holds m.mu.
func (m *Manager) markMemberKeyLost() {
	m.memberKeyLost = true
	signal(m.renewNow)
}

// applyMember applies one change of a member key. The caller holds m.mu.
func (m *Manager) applyMember(now time.Time, e infra.WatchEvent) {
	name := strings.TrimPrefix(e.Entry.Key, membersPrefix)
	if e.Deleted {
		m.table.removeMember(now, name)
		if name == m.table.self.Name && m.table.incarnation.revision != 0 && e.Entry.ModRevision > m.table.incarnation.revision {
			m.markMemberKeyLost()
		}
	} else if member, err := parseMember(e.Entry); err != nil {
		m.log.Error("member key can't be decoded; ignoring it", "err", err)
	} else {
		m.table.putMember(now, member)
	}
	m.sortMembers()
}

// ownerReplica returns the replica of the owner keys.
func (m *Manager) ownerReplica() replica {
	return replica{prefix: ownersPrefix, watchedSince: &m.ownersWatchedSince, reset: m.resetOwners, apply: m.applyOwner}
}

// resetOwners replaces all owner keys. The caller holds m.mu.
func (m *Manager) resetOwners(now time.Time, r infra.RangeResult, readVersion tableVersion) {
	keys := make([]ownerKeyState, 0, len(r.Entries))
	for _, e := range r.Entries {
		key, err := parseOwner(e)
		if err != nil {
			m.log.Error("owner key can't be decoded; ignoring it", "err", err)
			continue
		}
		keys = append(keys, key)
	}
	m.table.resetOwners(now, keys, r.Revision, readVersion.gainCount)
}

// applyOwner applies one change of an owner key. The caller holds m.mu.
func (m *Manager) applyOwner(now time.Time, e infra.WatchEvent) {
	if e.Deleted {
		if key, ok := parseOwnerKey(e.Entry.Key); ok {
			m.table.applyOwnerKey(now, ownerKeyState{key: key, deleted: true, modRevision: e.Entry.ModRevision})
		}
		return
	}
	key, err := parseOwner(e.Entry)
	if err != nil {
		m.log.Error("owner key can't be decoded; ignoring it", "err", err)
		return
	}
	m.table.applyOwnerKey(now, key)
}
