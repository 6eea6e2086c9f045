package ownership

import (
	"time"

	"github.com/barleylift/barleylift/internal/infra"
)

// ownerKeyState is the state of an owner key as read or as delivered by a watch.
type ownerKeyState struct {
	key     resourceKey
	owner   Owner
	lease   infra.LeaseID
	deleted bool
	// modRevision is the revision of the last change.
	modRevision int64
}

// resetOwners replaces all owner keys by those read at a revision. The read was
// sent when t.gainCount had the value gainCount: an older holding must be among
// the keys with its token, a newer one may not be among them yet.
func (t *table) resetOwners(now time.Time, keys []ownerKeyState, revision int64, gainCount uint64) {
	present := make(map[resourceKey]bool, len(keys))
	for _, k := range keys {
		present[k.key] = true
		s := t.state(k.key)
		if t.ownsKey(s.phase) && s.gainNumber > gainCount {
			continue
		}
		s.ownerRevision = 0
		t.applyOwnerKey(now, k)
	}
	for key, s := range t.resources {
		if present[key] || (t.ownsKey(s.phase) && s.gainNumber > gainCount) {
			continue
		}
		s.ownerRevision = revision
		t.applyAbsent(now, s)
		t.dropIfUnused(key)
	}
}

// applyOwnerKey applies the state of one owner key. It ignores one that is not
// newer than the table's.
func (t *table) applyOwnerKey(now time.Time, k ownerKeyState) {
	s := t.state(k.key)
	if k.modRevision <= s.ownerRevision {
		return
	}
	s.ownerRevision = k.modRevision
	if k.deleted {
		t.applyAbsent(now, s)
		t.dropIfUnused(k.key)
		return
	}
	if t.ownsKey(s.phase) && s.token != k.owner.Token {
		t.markLost(s)
	}
	s.owner = ownerRecord{Owner: k.owner, lease: k.lease}
	s.wasLastHolder = false
	s.freeSince = time.Time{}
	if s.phase == idle || s.phase == waiting {
		s.phase = idle
		t.readBackIfOwnLease(now, s)
	}
}

// ownsKey reports whether the key is this daemon's in the phase.
func (t *table) ownsKey(p phase) bool {
	return p == held || p == releasing || p == deleteDue || p == deleting
}

// readBackIfOwnLease schedules a read of the key if it is attached to this
// daemon's lease: a create whose reply was lost has taken effect late.
func (t *table) readBackIfOwnLease(now time.Time, s *resourceState) {
	if t.incarnation.revision != 0 && s.owner.lease == t.incarnation.lease {
		s.phase = readBackDue
		s.dueAt = now
	}
}

func (t *table) applyAbsent(now time.Time, s *resourceState) {
	if t.ownsKey(s.phase) {
		t.markLost(s)
	}
	s.owner = ownerRecord{}
	t.scheduleCreate(now, s)
}
