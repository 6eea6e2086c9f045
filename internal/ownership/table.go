package ownership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/infra"
)

// resourceKey identifies a resource.
type resourceKey struct {
	kind Kind
	id   string
}

func keyOf(r Resource) resourceKey {
	return resourceKey{r.Kind, r.ID}
}

// phase is what this daemon is doing about a resource.
type phase int

const (
	// idle: nothing is to be done.
	idle phase = iota
	// waiting: the resource is free and a create is due at slot.due.
	waiting
	// creating: a create was sent.
	creating
	// unsettled: the key may be ours; it is to be read back at slot.due.
	unsettled
	// reading: a read back was sent.
	reading
	// held: this daemon owns the resource under slot.token.
	held
	// releasing: the listener is being told of the loss; the key is still there.
	releasing
	// releaseDue: the key is to be deleted at slot.due.
	releaseDue
	// deleting: a delete was sent.
	deleting
)

// seenMember is a member with the create revision of its key.
type seenMember struct {
	Member
	revision int64
}

// seenOwner is an owner key as it was last seen; the zero value means absent.
type seenOwner struct {
	Owner
	lease infra.LeaseID
}

// slot is the state of one resource at this daemon.
type slot struct {
	resource Resource
	// wanted tells that the configuration names the resource.
	wanted bool
	phase  phase
	token  Token
	// discarded is the greatest token that this incarnation has begun to release.
	// A delete under it may still be under way, so it is never held again.
	discarded Token
	// gain is the value of table.gains when the resource was gained.
	gain uint64
	// due is when the next step of waiting, unsettled or releaseDue is taken.
	due time.Time
	// freeSince is when the resource was last seen to become free.
	freeSince time.Time
	// notBefore holds off creates, after a release by this daemon.
	notBefore time.Time
	// place, own and rank are this daemon's standing while the phase is waiting;
	// ranked tells that they are known.
	place  place
	own    score
	rank   int
	ranked bool
	// deferrals counts how often this daemon let others go first because of its load.
	deferrals int
	// incumbent tells that this daemon was the last to hold the resource and
	// lost it because the key was gone, so that it may create it again at once.
	incumbent bool
	owner     seenOwner
	// seen is the latest revision that owner reflects.
	seen int64
	// released is closed when a release has ended; nil if nobody waits.
	released chan struct{}
}

// incarnation is the daemon's present lease and member key.
type incarnation struct {
	lease infra.LeaseID
	// revision is the create revision of the member key; 0 means none.
	revision int64
	began    time.Time
	// settled is when the daemon may create keys that it did not own before.
	settled time.Time
}

// notice tells the listener of a gain or a loss.
type notice struct {
	gained  bool
	holding Holding
}

// rules are the constants of the decisions.
type rules struct {
	step    time.Duration
	holdOff time.Duration
	// writeRate is the fleet's rate of writes, in calls a second.
	writeRate float64
	group     int
	regionOf  func(zone string) string
}

// table holds the decisions about all resources. It does no I/O, has no lock
// of its own and takes the time as a parameter.
type table struct {
	rules   rules
	self    Member
	own     incarnation
	members map[string]seenMember
	slots   map[resourceKey]*slot
	wanted  int
	gains   uint64
	notices []notice
}

func newTable(self Member, rules rules) *table {
	return &table{
		rules:   rules,
		self:    self,
		members: make(map[string]seenMember),
		slots:   make(map[resourceKey]*slot),
	}
}

func (t *table) slot(key resourceKey) *slot {
	s := t.slots[key]
	if s == nil {
		s = &slot{resource: Resource{Kind: key.kind, ID: key.id}}
		t.slots[key] = s
	}
	return s
}

// forget drops a slot about which nothing is left to know.
func (t *table) forget(key resourceKey) {
	s := t.slots[key]
	if s != nil && !s.wanted && s.phase == idle && s.owner.Member == "" {
		delete(t.slots, key)
	}
}

// setResources takes a new configuration. What it no longer names is released.
func (t *table) setResources(now time.Time, resources []Resource) {
	for _, s := range t.slots {
		s.wanted = false
	}
	for _, r := range resources {
		s := t.slot(keyOf(r))
		s.ranked = s.ranked && s.resource == r
		s.resource = r
		s.wanted = true
	}
	t.wanted = 0
	for key, s := range t.slots {
		if s.wanted {
			t.wanted++
		} else if s.phase == held {
			t.release(s)
		}
		t.evaluate(now, s)
		t.forget(key)
	}
}

// evaluate decides whether and when a resource that nothing is under way for
// is to be created, from its rank and the time for which it has been free.
func (t *table) evaluate(now time.Time, s *slot) {
	if s.phase != idle && s.phase != waiting {
		return
	}
	if !s.wanted || s.owner.Member != "" || t.own.revision == 0 || t.self.Leaving {
		s.phase = idle
		s.ranked = false
		s.freeSince = time.Time{}
		return
	}
	if s.freeSince.IsZero() {
		s.freeSince = now
		s.deferrals = 0
	}
	s.phase = waiting
	if s.incumbent {
		s.due = latest(s.freeSince, s.notBefore)
		return
	}
	due := latest(s.freeSince, t.own.settled, s.notBefore).Add(t.delay(s))
	if s.deferrals == 0 || due.After(s.due) {
		s.due = due
	}
}

// delay returns how long this daemon leaves a free resource to members of
// better rank: one step for each doubling of the rank, so that a resource whose
// first members are all gone or loaded is not left free for long. What was free
// before this incarnation settled may be much, so that members of rank 0 get
// the time in which each of them can write once.
func (t *table) delay(s *slot) time.Duration {
	if !s.ranked {
		t.rankSlot(s)
	}
	steps := math.Log2(float64(1 + s.rank))
	wait := time.Duration(steps * float64(t.rules.step))
	if s.rank > 0 && s.freeSince.Before(t.own.settled) {
		wait += t.writeTime(len(t.members))
	}
	return wait
}

// writeTime returns the time that so many writes take at the fleet's rate.
func (t *table) writeTime(writes int) time.Duration {
	return time.Duration(float64(writes) / t.rules.writeRate * float64(time.Second))
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}

// gain makes this daemon the owner under the token, which was read or created
// at or after the slot's latest revision. A discarded token's key is deleted.
func (t *table) gain(now time.Time, s *slot, token Token) {
	if token <= s.discarded {
		s.phase = releaseDue
		s.token = token
		s.due = now
		return
	}
	t.gains++
	s.phase = held
	s.token = token
	s.gain = t.gains
	s.deferrals = 0
	s.incumbent = false
	s.freeSince = time.Time{}
	s.owner = seenOwner{Owner: t.selfOwner(token), lease: t.own.lease}
	t.notices = append(t.notices, notice{gained: true, holding: Holding{s.resource, token}})
}

func (t *table) selfOwner(token Token) Owner {
	return Owner{Member: t.self.Name, PeerAddress: t.self.PeerAddress, Token: token}
}

// lose ends a holding whose key is gone. The listener was told before if the
// resource was being released.
func (t *table) lose(s *slot) {
	if s.phase == held {
		s.incumbent = true
		t.notices = append(t.notices, notice{holding: Holding{s.resource, s.token}})
	}
	t.endRelease(s)
}

// release starts to give up a holding: the listener is told first, then the
// key is deleted.
func (t *table) release(s *slot) {
	s.phase = releasing
	s.discarded = max(s.discarded, s.token)
	t.notices = append(t.notices, notice{holding: Holding{s.resource, s.token}})
}

// beginRelease starts to release a resource and returns a channel that is
// closed at its end; nil if there is nothing to release.
func (t *table) beginRelease(key resourceKey) chan struct{} {
	s := t.slots[key]
	if s == nil || !t.keeps(s.phase) {
		return nil
	}
	if s.phase == held {
		t.release(s)
	}
	if s.released == nil {
		s.released = make(chan struct{})
	}
	return s.released
}

// setLeaving stops all taking over.
func (t *table) setLeaving(now time.Time) {
	t.self.Leaving = true
	t.evaluateAll(now)
}

// lostDelivered is called when the listener has returned from a loss.
func (t *table) lostDelivered(now time.Time, h Holding) {
	s := t.slots[keyOf(h.Resource)]
	if s != nil && s.phase == releasing && s.token == h.Token {
		s.phase = releaseDue
		s.due = now
	}
}

// endRelease makes the slot idle and tells who waits for a release.
func (t *table) endRelease(s *slot) {
	s.phase = idle
	s.token = 0
	if s.released != nil {
		close(s.released)
		s.released = nil
	}
}

// begin starts an incarnation whose member key was created at the revision.
func (t *table) begin(now time.Time, lease infra.LeaseID, revision int64, settle time.Duration) {
	t.own = incarnation{lease: lease, revision: revision, began: now, settled: now.Add(settle)}
	t.evaluateAll(now)
}

// adopt makes this daemon the owner of a resource whose key was created
// together with the member key, or was found to hang on the same lease.
func (t *table) adopt(now time.Time, r Resource, token Token) {
	s := t.slot(keyOf(r))
	if s.phase != idle && s.phase != waiting {
		return
	}
	if s.seen > int64(token) {
		s.phase = unsettled
		s.due = now
		return
	}
	s.seen = int64(token)
	t.gain(now, s, token)
	t.keepOnlyWanted(s)
}

// end ends the incarnation: all holdings are lost. It returns the resources
// that this daemon was the last to hold, in order of kind and identifier.
func (t *table) end(now time.Time) []Resource {
	t.own = incarnation{}
	var lost []Resource
	for _, s := range t.slots {
		switch s.phase {
		case held:
			t.lose(s)
		case releasing, releaseDue, deleting:
			t.endRelease(s)
		case creating, unsettled, reading, waiting:
			s.phase = idle
		}
		s.discarded = 0
		if s.owner.Member == t.self.Name {
			s.owner = seenOwner{}
		}
		if s.incumbent && s.wanted {
			lost = append(lost, s.resource)
		}
	}
	t.evaluateAll(now)
	slices.SortFunc(lost, compareResources)
	return lost
}

func compareResources(a, b Resource) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID))
}

func (t *table) evaluateAll(now time.Time) {
	for _, s := range t.slots {
		t.evaluate(now, s)
	}
}

// takeNotices returns the notices since the last call, in order.
func (t *table) takeNotices() []notice {
	notices := t.notices
	t.notices = nil
	return notices
}
