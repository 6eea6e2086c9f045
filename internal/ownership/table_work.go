package ownership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/infra"
)

const (
	// loadFactor bounds a daemon's resources relative to the mean; one above
	// it lets others go first.
	loadFactor = 1.5
	// overloadSteps is for how many steps a daemon above the bound lets others go first.
	overloadSteps = 3
	// maxDeferrals bounds how often that time is doubled.
	maxDeferrals = 5
)

// workItem is one resource in a unit of work.
type workItem struct {
	key   resourceKey
	token Token
	// ownerRevision is slot.ownerRevision when the work was taken.
	ownerRevision int64
}

// superseded reports whether a watch has told of a change of the key that is later
// than the revision, since the work was taken. If what was known before is
// later too, the service was put back, and the newer result counts.
func (i workItem) superseded(s *resourceState, revision int64) bool {
	return s.ownerRevision > revision && s.ownerRevision > i.ownerRevision
}

// work is one transaction to be made: all its items are in the same phase.
type work struct {
	phase       phase
	incarnation incarnation
	items       []workItem
}

// permission tells which work may be done now; deletes always may.
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

// nextWork returns the work that is due, deletes first, or else the time at which
// some will be due (zero for none).
func (t *table) nextWork(now time.Time, may permission) (work, time.Time) {
	var due []*resourceState
	var wakeUp time.Time
	room := t.headroom()
	for _, s := range t.resources {
		if !may.allows(s) {
			continue
		}
		if s.phase == waiting && !s.dueAt.After(now) && !s.wasLastHolder && room <= 0 {
			t.deferCreate(now, s)
		}
		if !s.dueAt.After(now) {
			due = append(due, s)
			room--
		} else if wakeUp.IsZero() || s.dueAt.Before(wakeUp) {
			wakeUp = s.dueAt
		}
	}
	if len(due) == 0 {
		return work{}, wakeUp
	}
	slices.SortFunc(due, compareDue)
	return t.startWork(due), time.Time{}
}

// deferCreate lets others go first because this daemon is at the load bound,
// for twice as long each time.
func (t *table) deferCreate(now time.Time, s *resourceState) {
	s.dueAt = now.Add(overloadSteps * t.rules.takeoverStep << min(s.deferrals, maxDeferrals))
	s.deferrals++
}

// compareDue orders deletes before reads before creates, each by due time.
func compareDue(a, b *resourceState) int {
	return cmp.Or(cmp.Compare(b.phase, a.phase), a.dueAt.Compare(b.dueAt), compareResources(a.resource, b.resource))
}

// startWork groups the first due slots of one phase.
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

// sentPhase returns the phase of a slot whose due step has been taken.
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

// headroom returns how many resources this daemon may take before it reaches the
// load bound and lets others go first.
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

// isCurrent reports whether work was begun in the present incarnation; the
// results of older work tell nothing.
func (t *table) isCurrent(w work) bool {
	return t.incarnation.revision != 0 && t.incarnation.revision == w.incarnation.revision
}

// applySuccess takes the success of all items at the revision.
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

// applyCreated takes a create that succeeded at the revision. If a watch has told
// of a later change of the key, it is read back first.
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

// releaseIfUnneeded releases a gain that is not wanted any more.
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

// applyRead takes one item's key as it was read at the revision, after the work
// had no success or an unknown one. An absent key has the zero owner. If a
// watch has told of a later change, the key is read again.
func (t *table) applyRead(now time.Time, w work, i workItem, k ownerKeyState, revision int64) {
	s := t.resources[i.key]
	if !t.isCurrent(w) || s == nil {
		return
	}
	if s.phase != creating && s.phase != readingBack && s.phase != deleting {
		return
	}
	ours := k.owner.Member == t.self.Name && k.lease == t.incarnation.lease
	if s.phase == deleting {
		t.applyReadAtDelete(now, s, ours && k.owner.Token == s.token, k, revision)
		return
	}
	if i.superseded(s, revision) {
		s.phase = readBackDue
		s.dueAt = now
		return
	}
	s.phase = idle
	s.ownerRevision = revision
	if ours {
		t.markHeld(now, s, k.owner.Token)
		t.releaseIfUnneeded(s)
		return
	}
	s.owner = ownerRecord{Owner: k.owner, lease: k.lease}
	t.scheduleCreate(now, s)
}

func (t *table) applyReadAtDelete(now time.Time, s *resourceState, still bool, k ownerKeyState, revision int64) {
	if still {
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

// applyFailure takes an error of the whole work. Creates that may have taken effect
// are read back; all else is tried again after the delay.
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
