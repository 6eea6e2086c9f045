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
	// readBackDue: the key may be ours; it is to be read back at slot.due.
	readBackDue
	// readingBack: a read back was sent.
	readingBack
	// held: this daemon owns the resource under slot.token.
	held
	// releasing: the listener is being told of the loss; the key is still there.
	releasing
	// deleteDue: the key is to be deleted at slot.due.
	deleteDue
	// deleting: a delete was sent.
	deleting
)

// registeredMember is a member with the create revision of its key.
type registeredMember struct {
	Member
	revision int64
}

// ownerRecord is an owner key as it was last seen; the zero value means absent.
type ownerRecord struct {
	Owner
	lease infra.LeaseID
}

// resourceState is the state of one resource at this daemon.
type resourceState struct {
	resource Resource
	// configured tells that the configuration names the resource.
	configured bool
	phase      phase
	token      Token
	// maxReleasedToken is the greatest token that this incarnation has begun to release.
	// A delete under it may still be under way, so it is never held again.
	maxReleasedToken Token
	// gainNumber is the value of table.gains when the resource was gained.
	gainNumber uint64
	// dueAt is when the next step of waiting, unsettled or releaseDue is taken.
	dueAt time.Time
	// freeSince is when the resource was last seen to become free.
	freeSince time.Time
	// createNotBefore holds off creates, after a release by this daemon.
	createNotBefore time.Time
	// location, own and rank are this daemon's standing while the phase is waiting;
	// ranked tells that they are known.
	location  location
	ownScore  score
	rank      int
	rankValid bool
	// deferrals counts how often this daemon let others go first because of its load.
	deferrals int
	// wasLastHolder tells that this daemon was the last to hold the resource and
	// lost it because the key was gone, so that it may create it again at once.
	wasLastHolder bool
	owner         ownerRecord
	// ownerRevision is the latest revision that owner reflects.
	ownerRevision int64
	// releaseDone is closed when a release has ended; nil if nobody waits.
	releaseDone chan struct{}
}

// incarnation is the daemon's present lease and member key.
type incarnation struct {
	lease infra.LeaseID
	// revision is the create revision of the member key; 0 means none.
	revision  int64
	startedAt time.Time
	// settledAt is when the daemon may create keys that it did not own before.
	settledAt time.Time
}

// holdingEvent tells the listener of a gain or a loss.
type holdingEvent struct {
	gained  bool
	holding Holding
}

// rules are the constants of the decisions.
type rules struct {
	takeoverStep   time.Duration
	releaseHoldOff time.Duration
	// writeRate is the fleet's rate of writes, in calls a second.
	writeRate float64
	groupSize int
	regionOf  func(zone string) string
}

// table holds the decisions about all resources. It does no I/O, has no lock
// of its own and takes the time as a parameter.
type table struct {
	rules           rules
	self            Member
	incarnation     incarnation
	members         map[string]registeredMember
	resources       map[resourceKey]*resourceState
	configuredCount int
	gainCount       uint64
	events          []holdingEvent
}

func newTable(self Member, rules rules) *table {
	return &table{
		rules:     rules,
		self:      self,
		members:   make(map[string]registeredMember),
		resources: make(map[resourceKey]*resourceState),
	}
}

func (t *table) state(key resourceKey) *resourceState {
	s := t.resources[key]
	if s == nil {
		s = &resourceState{resource: Resource{Kind: key.kind, ID: key.id}}
		t.resources[key] = s
	}
	return s
}

// dropIfUnused drops a slot about which nothing is left to know.
func (t *table) dropIfUnused(key resourceKey) {
	s := t.resources[key]
	if s != nil && !s.configured && s.phase == idle && s.owner.Member == "" {
		delete(t.resources, key)
	}
}

// setResources takes a new configuration. What it no longer names is released.
func (t *table) setResources(now time.Time, resources []Resource) {
	for _, s := range t.resources {
		s.configured = false
	}
	for _, r := range resources {
		s := t.state(keyOf(r))
		s.rankValid = s.rankValid && s.resource == r
		s.resource = r
		s.configured = true
	}
	t.configuredCount = 0
	for key, s := range t.resources {
		if s.configured {
			t.configuredCount++
		} else if s.phase == held {
			t.startRelease(s)
		}
		t.scheduleCreate(now, s)
		t.dropIfUnused(key)
	}
}

// scheduleCreate decides whether and when a resource that nothing is under way for
// is to be created, from its rank and the time for which it has been free.
func (t *table) scheduleCreate(now time.Time, s *resourceState) {
	if s.phase != idle && s.phase != waiting {
		return
	}
	if !s.configured || s.owner.Member != "" || t.incarnation.revision == 0 || t.self.Leaving {
		s.phase = idle
		s.rankValid = false
		s.freeSince = time.Time{}
		return
	}
	if s.freeSince.IsZero() {
		s.freeSince = now
		s.deferrals = 0
	}
	s.phase = waiting
	if s.wasLastHolder {
		s.dueAt = latest(s.freeSince, s.createNotBefore)
		return
	}
	due := latest(s.freeSince, t.incarnation.settledAt, s.createNotBefore).Add(t.takeoverDelay(s))
	if s.deferrals == 0 || due.After(s.dueAt) {
		s.dueAt = due
	}
}

// takeoverDelay returns how long this daemon leaves a free resource to members of
// better rank: one step for each doubling of the rank, so that a resource whose
// first members are all gone or loaded is not left free for long. What was free
// before this incarnation settled may be much, so that members of rank 0 get
// the time in which each of them can write once.
func (t *table) takeoverDelay(s *resourceState) time.Duration {
	if !s.rankValid {
		t.computeRank(s)
	}
	steps := math.Log2(float64(1 + s.rank))
	wait := time.Duration(steps * float64(t.rules.takeoverStep))
	if s.rank > 0 && s.freeSince.Before(t.incarnation.settledAt) {
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

// markHeld makes this daemon the owner under the token, which was read or created
// at or after the slot's latest revision. A discarded token's key is deleted.
func (t *table) markHeld(now time.Time, s *resourceState, token Token) {
	if token <= s.maxReleasedToken {
		s.phase = deleteDue
		s.token = token
		s.dueAt = now
		return
	}
	t.gainCount++
	s.phase = held
	s.token = token
	s.gainNumber = t.gainCount
	s.deferrals = 0
	s.wasLastHolder = false
	s.freeSince = time.Time{}
	s.owner = ownerRecord{Owner: t.selfOwner(token), lease: t.incarnation.lease}
	t.events = append(t.events, holdingEvent{gained: true, holding: Holding{s.resource, token}})
}

func (t *table) selfOwner(token Token) Owner {
	return Owner{Member: t.self.Name, PeerAddress: t.self.PeerAddress, Token: token}
}

// markLost ends a holding whose key is gone. The listener was told before if the
// resource was being released.
func (t *table) markLost(s *resourceState) {
	if s.phase == held {
		s.wasLastHolder = true
		t.events = append(t.events, holdingEvent{holding: Holding{s.resource, s.token}})
	}
	t.finishRelease(s)
}

// startRelease starts to give up a holding: the listener is told first, then the
// key is deleted.
func (t *table) startRelease(s *resourceState) {
	s.phase = releasing
	s.maxReleasedToken = max(s.maxReleasedToken, s.token)
	t.events = append(t.events, holdingEvent{holding: Holding{s.resource, s.token}})
}

// requestRelease starts to release a resource and returns a channel that is
// closed at its end; nil if there is nothing to release.
func (t *table) requestRelease(key resourceKey) chan struct{} {
	s := t.resources[key]
	if s == nil || !t.ownsKey(s.phase) {
		return nil
	}
	if s.phase == held {
		t.startRelease(s)
	}
	if s.releaseDone == nil {
		s.releaseDone = make(chan struct{})
	}
	return s.releaseDone
}

// setLeaving stops all taking over.
func (t *table) setLeaving(now time.Time) {
	t.self.Leaving = true
	t.scheduleAllCreates(now)
}

// lossDelivered is called when the listener has returned from a loss.
func (t *table) lossDelivered(now time.Time, h Holding) {
	s := t.resources[keyOf(h.Resource)]
	if s != nil && s.phase == releasing && s.token == h.Token {
		s.phase = deleteDue
		s.dueAt = now
	}
}

// finishRelease makes the slot idle and tells who waits for a release.
func (t *table) finishRelease(s *resourceState) {
	s.phase = idle
	s.token = 0
	if s.releaseDone != nil {
		close(s.releaseDone)
		s.releaseDone = nil
	}
}

// beginIncarnation starts an incarnation whose member key was created at the revision.
func (t *table) beginIncarnation(now time.Time, lease infra.LeaseID, revision int64, settle time.Duration) {
	t.incarnation = incarnation{lease: lease, revision: revision, startedAt: now, settledAt: now.Add(settle)}
	t.scheduleAllCreates(now)
}

// adopt makes this daemon the owner of a resource whose key was created
// together with the member key, or was found to hang on the same lease.
func (t *table) adopt(now time.Time, r Resource, token Token) {
	s := t.state(keyOf(r))
	if s.phase != idle && s.phase != waiting {
		return
	}
	if s.ownerRevision > int64(token) {
		s.phase = readBackDue
		s.dueAt = now
		return
	}
	s.ownerRevision = int64(token)
	t.markHeld(now, s, token)
	t.releaseIfUnneeded(s)
}

// endIncarnation ends the incarnation: all holdings are lost. It returns the resources
// that this daemon was the last to hold, in order of kind and identifier.
func (t *table) endIncarnation(now time.Time) []Resource {
	t.incarnation = incarnation{}
	var lost []Resource
	for _, s := range t.resources {
		switch s.phase {
		case held:
			t.markLost(s)
		case releasing, deleteDue, deleting:
			t.finishRelease(s)
		case creating, readBackDue, readingBack, waiting:
			s.phase = idle
		}
		s.maxReleasedToken = 0
		if s.owner.Member == t.self.Name {
			s.owner = ownerRecord{}
		}
		if s.wasLastHolder && s.configured {
			lost = append(lost, s.resource)
		}
	}
	t.scheduleAllCreates(now)
	slices.SortFunc(lost, compareResources)
	return lost
}

func compareResources(a, b Resource) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID))
}

func (t *table) scheduleAllCreates(now time.Time) {
	for _, s := range t.resources {
		t.scheduleCreate(now, s)
	}
}

// drainEvents returns the notices since the last call, in order.
func (t *table) drainEvents() []holdingEvent {
	notices := t.events
	t.events = nil
	return notices
}
