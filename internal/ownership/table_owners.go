package ownership

import (
	"time"

	"github.com/barleylift/barleylift/internal/infra"
)

// seenKey is an owner key as it was read or as a watch told it.
type seenKey struct {
	key     resourceKey
	owner   Owner
	lease   infra.LeaseID
	deleted bool
	// modified is the revision of the last change.
	modified int64
}

// resetOwners takes all owner keys as they were read at a revision. The read
// was sent when t.gains had the value gains: a holding that is older must be
// among the keys with its token, a younger one may not be among them yet.
func (t *table) resetOwners(now time.Time, keys []seenKey, revision int64, gains uint64) {
	present := make(map[resourceKey]bool, len(keys))
	for _, k := range keys {
		present[k.key] = true
		s := t.slot(k.key)
		if t.keeps(s.phase) && s.gain > gains {
			continue
		}
		s.seen = 0
		t.seeOwner(now, k)
	}
	for key, s := range t.slots {
		if present[key] || (t.keeps(s.phase) && s.gain > gains) {
			continue
		}
		s.seen = revision
		t.seeAbsent(now, s)
		t.forget(key)
	}
}

// seeOwner takes one owner key. What is older than the state is ignored.
func (t *table) seeOwner(now time.Time, k seenKey) {
	s := t.slot(k.key)
	if k.modified <= s.seen {
		return
	}
	s.seen = k.modified
	if k.deleted {
		t.seeAbsent(now, s)
		t.forget(k.key)
		return
	}
	if t.keeps(s.phase) && s.token != k.owner.Token {
		t.lose(s)
	}
	s.owner = seenOwner{Owner: k.owner, lease: k.lease}
	s.incumbent = false
	s.freeSince = time.Time{}
	if s.phase == idle || s.phase == waiting {
		s.phase = idle
		t.suspectOwn(now, s)
	}
}

// keeps reports whether the phase is one in which the key is ours.
func (t *table) keeps(p phase) bool {
	return p == held || p == releasing || p == releaseDue || p == deleting
}

// suspectOwn has a key that hangs on our lease read back: a create whose reply
// was lost took effect late.
func (t *table) suspectOwn(now time.Time, s *slot) {
	if t.own.revision != 0 && s.owner.lease == t.own.lease {
		s.phase = unsettled
		s.due = now
	}
}

func (t *table) seeAbsent(now time.Time, s *slot) {
	if t.keeps(s.phase) {
		t.lose(s)
	}
	s.owner = seenOwner{}
	t.evaluate(now, s)
}
