package ownership

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/infra"
)

// feed is one prefix that the Manager keeps a copy of.
type feed struct {
	prefix string
	// since is when the watch was opened that keeps the copy; zero if there is
	// none. It is guarded by Manager.mu.
	since *time.Time
	// reset takes the whole prefix; since is the state when the read was sent.
	reset func(now time.Time, r infra.RangeResult, since readMark)
	// apply takes one change.
	apply func(now time.Time, e infra.WatchEvent)
}

// readMark is the state of the table at the moment when a read was sent.
type readMark struct {
	gains       uint64
	incarnation int64
}

// fullReadEvery is the time after which a prefix is read again as a whole, in
// case the service was put back to an old state and has since moved on.
const fullReadEvery = time.Hour

// cursor is how far the copy of a prefix reaches.
type cursor struct {
	// next is the first revision that the copy does not reflect; 0 means that
	// the whole prefix has to be read.
	next int64
	// fullAt is when the whole prefix is to be read again.
	fullAt time.Time
}

// follow keeps a copy of a prefix until ctx ends: one read, then one watch,
// which is resumed where it broke.
func (m *Manager) follow(ctx context.Context, f feed) {
	var c cursor
	failures := 0
	for ctx.Err() == nil {
		opened, err := m.followOnce(ctx, f, &c)
		m.setCurrent(f, false)
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
			c.next = 0
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
func (m *Manager) followOnce(ctx context.Context, f feed, c *cursor) (bool, error) {
	if err := m.catchUp(ctx, f, c); err != nil {
		return false, err
	}
	ctx, cancel := context.WithDeadline(ctx, c.fullAt)
	defer cancel()
	batches, err := m.config.KV.Watch(ctx, f.prefix, c.next)
	if err != nil {
		return false, err
	}
	m.setCurrent(f, true)
	for batch := range batches {
		if batch.Err != nil {
			return true, batch.Err
		}
		m.update(func(now time.Time) {
			for _, e := range batch.Events {
				f.apply(now, e)
			}
		})
		c.next = max(c.next, batch.Revision+1)
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
func (m *Manager) catchUp(ctx context.Context, f feed, c *cursor) error {
	if c.next > 0 && time.Now().Before(c.fullAt) {
		probe, err := m.config.KV.Range(ctx, memberKey(m.Self().Name))
		if err != nil {
			return err
		}
		if probe.Revision >= c.next-1 {
			return nil
		}
		m.log.Error("key-value service went back", "prefix", f.prefix, "revision", probe.Revision, "seen", c.next-1)
	}
	since := m.mark()
	r, err := m.config.KV.Range(ctx, f.prefix)
	if err != nil {
		return err
	}
	m.update(func(now time.Time) { f.reset(now, r, since) })
	c.next = r.Revision + 1
	c.fullAt = time.Now().Add(m.between(fullReadEvery*9/10, fullReadEvery))
	return nil
}

// setCurrent notes whether the copy of a prefix is kept by a watch.
func (m *Manager) setCurrent(f feed, current bool) {
	m.update(func(now time.Time) {
		*f.since = time.Time{}
		if current {
			*f.since = now
		}
	})
}

// createsFrom returns the time from which creates may be made: one step after
// both copies have come to be kept by watches, in which what a resumed watch
// missed has arrived. It is zero while one of them is not. The caller holds m.mu.
func (m *Manager) createsFrom() time.Time {
	if m.membersSince.IsZero() || m.ownersSince.IsZero() {
		return time.Time{}
	}
	return latest(m.membersSince, m.ownersSince).Add(m.config.TakeoverStep)
}

func (m *Manager) mark() readMark {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return readMark{gains: m.table.gains, incarnation: m.table.own.revision}
}

// memberFeed follows the members.
func (m *Manager) memberFeed() feed {
	return feed{prefix: membersPrefix, since: &m.membersSince, reset: m.resetMembers, apply: m.applyMember}
}

// resetMembers takes the member list. The caller holds m.mu.
func (m *Manager) resetMembers(now time.Time, r infra.RangeResult, since readMark) {
	members := make(map[string]seenMember, len(r.Entries))
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
	own := m.table.own.revision
	if own != 0 && own == since.incarnation && members[m.table.self.Name].revision != own {
		m.loseMember()
	}
}

// loseMember has the lease checked because the member key is gone. The caller
// holds m.mu.
func (m *Manager) loseMember() {
	m.memberLost = true
	signal(m.renewNow)
}

// applyMember takes one change of the members. The caller holds m.mu.
func (m *Manager) applyMember(now time.Time, e infra.WatchEvent) {
	name := strings.TrimPrefix(e.Entry.Key, membersPrefix)
	if e.Deleted {
		m.table.removeMember(now, name)
		if name == m.table.self.Name && m.table.own.revision != 0 && e.Entry.ModRevision > m.table.own.revision {
			m.loseMember()
		}
	} else if member, err := parseMember(e.Entry); err != nil {
		m.log.Error("member is not readable", "err", err)
	} else {
		m.table.putMember(now, member)
	}
	m.sortMembers()
}

// ownerFeed follows the owners.
func (m *Manager) ownerFeed() feed {
	return feed{prefix: ownersPrefix, since: &m.ownersSince, reset: m.resetOwners, apply: m.applyOwner}
}

// resetOwners takes all owner keys. The caller holds m.mu.
func (m *Manager) resetOwners(now time.Time, r infra.RangeResult, since readMark) {
	keys := make([]seenKey, 0, len(r.Entries))
	for _, e := range r.Entries {
		key, err := parseOwner(e)
		if err != nil {
			m.log.Error("owner is not readable", "err", err)
			continue
		}
		keys = append(keys, key)
	}
	m.table.resetOwners(now, keys, r.Revision, since.gains)
}

// applyOwner takes one change of the owners. The caller holds m.mu.
func (m *Manager) applyOwner(now time.Time, e infra.WatchEvent) {
	if e.Deleted {
		if key, ok := parseOwnerKey(e.Entry.Key); ok {
			m.table.seeOwner(now, seenKey{key: key, deleted: true, modified: e.Entry.ModRevision})
		}
		return
	}
	key, err := parseOwner(e.Entry)
	if err != nil {
		m.log.Error("owner is not readable", "err", err)
		return
	}
	m.table.seeOwner(now, key)
}
