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

// item is one resource in a unit of work.
type item struct {
	key   resourceKey
	token Token
	// seen is slot.seen when the work was taken.
	seen int64
}

// raced reports whether a watch has told of a change of the key that is later
// than the revision, since the work was taken. If what was known before is
// later too, the service was put back, and the newer result counts.
func (i item) raced(s *slot, revision int64) bool {
	return s.seen > revision && s.seen > i.seen
}

// work is one transaction to be made: all its items are in the same phase.
type work struct {
	phase phase
	own   incarnation
	items []item
}

// permission tells which work may be done now; deletes always may.
type permission struct {
	read   bool
	create bool
}

func (p permission) allows(s *slot) bool {
	switch s.phase {
	case waiting:
		return p.create
	case unsettled:
		return p.read
	default:
		return s.phase == releaseDue
	}
}

// next returns the work that is due, deletes first, or else the time at which
// some will be due (zero for none).
func (t *table) next(now time.Time, may permission) (work, time.Time) {
	var due []*slot
	var wakeUp time.Time
	room := t.room()
	for _, s := range t.slots {
		if !may.allows(s) {
			continue
		}
		if s.phase == waiting && !s.due.After(now) && !s.incumbent && room <= 0 {
			t.deferCreate(now, s)
		}
		if !s.due.After(now) {
			due = append(due, s)
			room--
		} else if wakeUp.IsZero() || s.due.Before(wakeUp) {
			wakeUp = s.due
		}
	}
	if len(due) == 0 {
		return work{}, wakeUp
	}
	slices.SortFunc(due, compareDue)
	return t.take(due), time.Time{}
}

// deferCreate lets others go first because this daemon is at the load bound,
// for twice as long each time.
func (t *table) deferCreate(now time.Time, s *slot) {
	s.due = now.Add(overloadSteps * t.rules.step << min(s.deferrals, maxDeferrals))
	s.deferrals++
}

// compareDue orders deletes before reads before creates, each by due time.
func compareDue(a, b *slot) int {
	return cmp.Or(cmp.Compare(b.phase, a.phase), a.due.Compare(b.due), compareResources(a.resource, b.resource))
}

// take groups the first due slots of one phase.
func (t *table) take(due []*slot) work {
	w := work{phase: due[0].phase, own: t.own}
	for _, s := range due {
		if s.phase != w.phase || len(w.items) == t.rules.group {
			break
		}
		w.items = append(w.items, item{keyOf(s.resource), s.token, s.seen})
	}
	for _, i := range w.items {
		s := t.slots[i.key]
		s.phase = underWay(s.phase)
	}
	return w
}

// underWay returns the phase of a slot whose due step has been taken.
func underWay(p phase) phase {
	switch p {
	case waiting:
		return creating
	case unsettled:
		return reading
	default:
		return deleting
	}
}

// room returns how many resources this daemon may take before it reaches the
// load bound and lets others go first.
func (t *table) room() int {
	active := 1
	for name, m := range t.members {
		if name != t.self.Name && !m.Leaving {
			active++
		}
	}
	load := 0
	for _, s := range t.slots {
		if s.phase == creating || s.phase == unsettled || s.phase == reading || s.phase == held {
			load++
		}
	}
	return int(math.Ceil(loadFactor*float64(t.wanted)/float64(active))) - load
}

// current reports whether work was begun in the present incarnation; the
// results of older work tell nothing.
func (t *table) current(w work) bool {
	return t.own.revision != 0 && t.own.revision == w.own.revision
}

// done takes the success of all items at the revision.
func (t *table) done(now time.Time, w work, revision int64) {
	if !t.current(w) {
		return
	}
	for _, i := range w.items {
		s := t.slots[i.key]
		switch {
		case s == nil:
		case w.phase == waiting && s.phase == creating:
			t.created(now, s, i, revision)
		case w.phase == releaseDue && s.phase == deleting:
			t.deleted(now, s, revision)
		}
	}
}

// created takes a create that succeeded at the revision. If a watch has told
// of a later change of the key, it is read back first.
func (t *table) created(now time.Time, s *slot, i item, revision int64) {
	if i.raced(s, revision) {
		s.phase = unsettled
		s.due = now
		return
	}
	s.seen = revision
	t.gain(now, s, Token(revision))
	t.keepOnlyWanted(s)
}

// keepOnlyWanted releases a gain that is not wanted any more.
func (t *table) keepOnlyWanted(s *slot) {
	if s.phase == held && (!s.wanted || t.self.Leaving) {
		t.release(s)
	}
}

func (t *table) deleted(now time.Time, s *slot, revision int64) {
	s.owner = seenOwner{}
	s.seen = revision
	s.notBefore = now.Add(t.rules.holdOff)
	t.endRelease(s)
	t.evaluate(now, s)
	t.forget(keyOf(s.resource))
}

// found takes one item's key as it was read at the revision, after the work
// had no success or an unknown one. An absent key has the zero owner. If a
// watch has told of a later change, the key is read again.
func (t *table) found(now time.Time, w work, i item, k seenKey, revision int64) {
	s := t.slots[i.key]
	if !t.current(w) || s == nil {
		return
	}
	if s.phase != creating && s.phase != reading && s.phase != deleting {
		return
	}
	ours := k.owner.Member == t.self.Name && k.lease == t.own.lease
	if s.phase == deleting {
		t.foundAtDelete(now, s, ours && k.owner.Token == s.token, k, revision)
		return
	}
	if i.raced(s, revision) {
		s.phase = unsettled
		s.due = now
		return
	}
	s.phase = idle
	s.seen = revision
	if ours {
		t.gain(now, s, k.owner.Token)
		t.keepOnlyWanted(s)
		return
	}
	s.owner = seenOwner{Owner: k.owner, lease: k.lease}
	t.evaluate(now, s)
}

func (t *table) foundAtDelete(now time.Time, s *slot, still bool, k seenKey, revision int64) {
	if still {
		s.phase = releaseDue
		s.due = now
		return
	}
	t.deleted(now, s, revision)
	if k.owner.Member == "" {
		return
	}
	s = t.slot(k.key)
	s.owner = seenOwner{Owner: k.owner, lease: k.lease}
	t.evaluate(now, s)
}

// failed takes an error of the whole work. Creates that may have taken effect
// are read back; all else is tried again after the delay.
func (t *table) failed(now time.Time, w work, kind infra.ErrorKind, delay time.Duration) {
	if !t.current(w) {
		return
	}
	for _, i := range w.items {
		s := t.slots[i.key]
		if s == nil {
			continue
		}
		switch {
		case s.phase == creating && kind == infra.Ambiguous, s.phase == reading:
			s.phase = unsettled
		case s.phase == creating:
			s.phase = waiting
		case s.phase == deleting:
			s.phase = releaseDue
		default:
			continue
		}
		s.due = now.Add(delay)
	}
}
