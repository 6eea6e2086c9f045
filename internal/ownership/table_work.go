package ownership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/infra"
)

const (
	// loadFactor bounds a daemon's resources relative to the mean; a daemon at
	// the bound defers its creates.
	loadFactor = 1.5
	// overloadSteps is the first deferral of a create by a daemon at the bound,
	// in takeover steps.
	overloadSteps = 3
	// maxDeferrals bounds how often the deferral is doubled.
	maxDeferrals = 5
)

// workItem is one resource of a unit of work.
type workItem struct {
	key   resourceKey
	token Token
	// ownerRevision is the resource's ownerRevision when the work was started.
	ownerRevision int64
}

// superseded reports whether, since the work was started, a watch has delivered
// a change of the key that is later than the revision. If the revision known
// before is later too, the service was restored to an older state, and the
// result counts.
func (i workItem) superseded(s *resourceState, revision int64) bool {
	return s.ownerRevision > revision && s.ownerRevision > i.ownerRevision
}

// work is a unit of work, done by one transaction; all its items were due in the
// same phase.
type work struct {
	phase       phase
	incarnation incarnation
	items       []workItem
}

// permission states which work may be done now; deletes always may.
type permission struct {
	read   bool
	create bool
}

func (p permission) allows(s *resourceState) bool {
	switch s.phase {
	case waiting:
		return p.create
	case readBackDue:
		return p.read
	default:
		return s.phase == deleteDue
	}
}

// nextWork starts and returns the work that is due, deletes first, or else
// returns the time at which some will be due (zero for none).
func (t *table) nextWork(now time.Time, allowed permission) (work, time.Time) {
	var due []*resourceState
	var wakeAt time.Time
	headroom := t.headroom()
	for _, s := range t.resources {
		if !allowed.allows(s) {
			continue
		}
		if s.phase == waiting && !s.dueAt.After(now) && !s.wasLastHolder && headroom <= 0 {
			t.deferCreate(now, s)
		}
		if !s.dueAt.After(now) {
			due = append(due, s)
			headroom--
		} else if wakeAt.IsZero() || s.dueAt.Before(wakeAt) {
			wakeAt = s.dueAt
		}
	}
	if len(due) == 0 {
		return work{}, wakeAt
	}
	slices.SortFunc(due, compareDue)
	return t.startWork(due), time.Time{}
}

// deferCreate postpones a create because this daemon is at the load bound, for
// twice as long each time.
func (t *table) deferCreate(now time.Time, s *resourceState) {
	s.dueAt = now.Add(overloadSteps * t.rules.takeoverStep << min(s.deferrals, maxDeferrals))
	s.deferrals++
}

// compareDue orders deletes before reads before creates, each by due time.
func compareDue(a, b *resourceState) int {
	return cmp.Or(cmp.Compare(b.phase, a.phase), a.dueAt.Compare(b.dueAt), compareResources(a.resource, b.resource))
}

// startWork groups the first due resources of one phase into a unit of work and
// moves them to the phase in which it is in progress.
func (t *table) startWork(due []*resourceState) work {
	w := work{phase: due[0].phase, incarnation: t.incarnation}
	for _, s := range due {
		if s.phase != w.phase || len(w.items) == t.rules.groupSize {
			break
		}
		w.items = append(w.items, workItem{keyOf(s.resource), s.token, s.ownerRevision})
	}
	for _, i := range w.items {
		s := t.resources[i.key]
		s.phase = sentPhase(s.phase)
	}
	return w
}

// sentPhase returns the phase that follows p when the due step is sent.
func sentPhase(p phase) phase {
	switch p {
	case waiting:
		return creating
	case readBackDue:
		return readingBack
	default:
		return deleting
	}
}

// headroom returns how many more resources this daemon may acquire before it
// reaches the load bound and defers creates.
func (t *table) headroom() int {
	active := 1
	for name, m := range t.members {
		if name != t.self.Name && !m.Leaving {
			active++
		}
	}
	load := 0
	for _, s := range t.resources {
		if s.phase == creating || s.phase == readBackDue || s.phase == readingBack || s.phase == held {
			load++
		}
	}
	return int(math.Ceil(loadFactor*float64(t.configuredCount)/float64(active))) - load
}

// isCurrent reports whether work was started in the current incarnation; the
// results of older work are ignored.
func (t *table) isCurrent(w work) bool {
	return t.incarnation.revision != 0 && t.incarnation.revision == w.incarnation.revision
}

// applySuccess records that all items succeeded at the revision.
func (t *table) applySuccess(now time.Time, w work, revision int64) {
	if !t.isCurrent(w) {
		return
	}
	for _, i := range w.items {
		s := t.resources[i.key]
		switch {
		case s == nil:
		case w.phase == waiting && s.phase == creating:
			t.applyCreated(now, s, i, revision)
		case w.phase == deleteDue && s.phase == deleting:
			t.applyDeleted(now, s, revision)
		}
	}
}

// applyCreated records that a create succeeded at the revision. If a watch has
// delivered a later change of the key, it is read back first.
func (t *table) applyCreated(now time.Time, s *resourceState, i workItem, revision int64) {
	if i.superseded(s, revision) {
		s.phase = readBackDue
		s.dueAt = now
		return
	}
	s.ownerRevision = revision
	t.markHeld(now, s, Token(revision))
	t.releaseIfUnneeded(s)
}

// releaseIfUnneeded releases a newly held resource that is no longer configured,
// or that a leaving daemon acquired.
func (t *table) releaseIfUnneeded(s *resourceState) {
	if s.phase == held && (!s.configured || t.self.Leaving) {
		t.startRelease(s)
	}
}

func (t *table) applyDeleted(now time.Time, s *resourceState, revision int64) {
	s.owner = ownerRecord{}
	s.ownerRevision = revision
	s.createNotBefore = now.Add(t.rules.releaseHoldOff)
	t.finishRelease(s)
	t.scheduleCreate(now, s)
	t.dropIfUnused(keyOf(s.resource))
}

// applyRead applies one item's key as read at the revision, after the work failed
// or its outcome was unknown. An absent key has the zero owner. If a watch has
// delivered a later change, the key is read again.
func (t *table) applyRead(now time.Time, w work, i workItem, k ownerKeyState, revision int64) {
	s := t.resources[i.key]
	if !t.isCurrent(w) || s == nil {
		return
	}
	if s.phase != creating && s.phase != readingBack && s.phase != deleting {
		return
	}
	ownKey := k.owner.Member == t.self.Name && k.lease == t.incarnation.lease
	if s.phase == deleting {
		t.applyReadAtDelete(now, s, ownKey && k.owner.Token == s.token, k, revision)
		return
	}
	if i.superseded(s, revision) {
		s.phase = readBackDue
		s.dueAt = now
		return
	}
	s.phase = idle
	s.ownerRevision = revision
	if ownKey {
		t.markHeld(now, s, k.owner.Token)
		t.releaseIfUnneeded(s)
		return
	}
	s.owner = ownerRecord{Owner: k.owner, lease: k.lease}
	t.scheduleCreate(now, s)
}

func (t *table) applyReadAtDelete(now time.Time, s *resourceState, stillOwnKey bool, k ownerKeyState, revision int64) {
	if stillOwnKey {
		s.phase = deleteDue
		s.dueAt = now
		return
	}
	t.applyDeleted(now, s, revision)
	if k.owner.Member == "" {
		return
	}
	s = t.state(k.key)
	s.owner = ownerRecord{Owner: k.owner, lease: k.lease}
	t.scheduleCreate(now, s)
}

// applyFailure records that the whole work failed with an error. Creates that may
// have taken effect are read back; everything else is retried after the delay.
func (t *table) applyFailure(now time.Time, w work, kind infra.ErrorKind, delay time.Duration) {
	if !t.isCurrent(w) {
		return
	}
	for _, i := range w.items {
		s := t.resources[i.key]
		if s == nil {
			continue
		}
		switch {
		case s.phase == creating && kind == infra.Ambiguous, s.phase == readingBack:
			s.phase = readBackDue
		case s.phase == creating:
			s.phase = waiting
		case s.phase == deleting:
			s.phase = deleteDue
		default:
			continue
		}
		s.dueAt = now.Add(delay)
	}
}
