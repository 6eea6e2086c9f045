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

// phase is this daemon's step in acquiring, holding or releasing a resource.
type phase int

const (
	// idle: no step is due or in progress.
	idle phase = iota
	// waiting: the resource is free; a create is to be sent at dueAt.
	waiting
	// creating: a create was sent.
	creating
	// readBackDue: the key may be this daemon's; it is to be read at dueAt.
	readBackDue
	// readingBack: the read was sent.
	readingBack
	// held: this daemon owns the resource under token.
	held
	// releasing: the listener is being notified of the loss; the key still
	// exists.
	releasing
	// deleteDue: the key is to be deleted at dueAt.
	deleteDue
	// deleting: the delete was sent.
	deleting
)

// registeredMember is a member and the create revision of its key.
type registeredMember struct {
	Member
	revision int64
}

// ownerRecord is the last known value of an owner key; the zero value means that
// the key is absent.
type ownerRecord struct {
	Owner
	lease infra.LeaseID
}

// resourceState is the state of one resource at this daemon.
type resourceState struct {
	resource Resource
	// configured is set if the resource is in the configured set.
	configured bool
	phase      phase
	token      Token
	// maxReleasedToken is the greatest token that this incarnation has begun to
	// release. A delete under it may still be in progress, so it is never held
	// again.
	maxReleasedToken Token
	// gainNumber is the value of table.gainCount after the resource was gained.
	gainNumber uint64
	// dueAt is when the next step of waiting, readBackDue or deleteDue is due.
	dueAt time.Time
	// freeSince is when this daemon saw the resource become free; zero if it is
	// not free.
	freeSince time.Time
	// createNotBefore delays creates after a release by this daemon.
	createNotBefore time.Time
	// location, ownScore and rank are the inputs and result of ranking while the
	// phase is waiting; rankValid is set when they have been computed.
	location  location
	ownScore  score
	rank      int
	rankValid bool
	// deferrals counts how often this daemon deferred a create because of its
	// load.
	deferrals int
	// wasLastHolder is set if this daemon was the last holder and lost the
	// resource because the key was removed. It may then create the key again
	// without a takeover delay.
	wasLastHolder bool
	owner         ownerRecord
	// ownerRevision is the latest revision that owner reflects.
	ownerRevision int64
	// releaseDone is closed when a release has ended; nil if no call of Release
	// waits.
	releaseDone chan struct{}
}

// incarnation is the daemon's current lease and member key.
type incarnation struct {
	lease infra.LeaseID
	// revision is the create revision of the member key; 0 means none.
	revision  int64
	startedAt time.Time
	// settledAt is the earliest time at which the daemon may create keys that it
	// did not own before.
	settledAt time.Time
}

// holdingEvent is a gain or a loss to be reported to the listener.
type holdingEvent struct {
	gained  bool
	holding Holding
}

// rules are the constant parameters of the decisions.
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

// dropIfUnused removes the state of a resource that is neither configured nor
// owned, and for which no step is due or in progress.
func (t *table) dropIfUnused(key resourceKey) {
	s := t.resources[key]
	if s != nil && !s.configured && s.phase == idle && s.owner.Member == "" {
		delete(t.resources, key)
	}
}

// setResources replaces the configured set. Resources that are no longer in it
// are released.
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

// scheduleCreate decides whether and when the key of a resource without a step
// in progress is to be created, by this daemon's rank and the time for which the
// resource has been free.
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
// better rank: one step for each doubling of the rank, because a resource must
// not stay free for long if its first members have all departed or are
// overloaded. Many resources may have been free before this incarnation settled;
// for these, members of rank 0 get additional time for one write by each member.
func (t *table) takeoverDelay(s *resourceState) time.Duration {
	if !s.rankValid {
		t.computeRank(s)
	}
	steps := math.Log2(float64(1 + s.rank))
	delay := time.Duration(steps * float64(t.rules.takeoverStep))
	if s.rank > 0 && s.freeSince.Before(t.incarnation.settledAt) {
		delay += t.writeTime(len(t.members))
	}
	return delay
}

// writeTime returns the time that a number of writes takes at the fleet's rate.
func (t *table) writeTime(writes int) time.Duration {
	return time.Duration(float64(writes) / t.rules.writeRate * float64(time.Second))
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}

// markHeld records this daemon as the owner under the token, which was read or
// created at or after s.ownerRevision. If the token was released before, the key
// is deleted instead.
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

// markLost ends a holding whose key was removed. The listener has already been
// notified if the resource was being released.
func (t *table) markLost(s *resourceState) {
	if s.phase == held {
		s.wasLastHolder = true
		t.events = append(t.events, holdingEvent{holding: Holding{s.resource, s.token}})
	}
	t.finishRelease(s)
}

// startRelease starts to release a holding: the listener is notified first, then
// the key is deleted.
func (t *table) startRelease(s *resourceState) {
	s.phase = releasing
	s.maxReleasedToken = max(s.maxReleasedToken, s.token)
	t.events = append(t.events, holdingEvent{holding: Holding{s.resource, s.token}})
}

// requestRelease starts to release a resource, unless that is in progress, and
// returns a channel that is closed when it has ended; nil if there is nothing to
// release.
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

// setLeaving marks this daemon as leaving, which stops all creates.
func (t *table) setLeaving(now time.Time) {
	t.self.Leaving = true
	t.scheduleAllCreates(now)
}

// lossDelivered is called when the listener has returned from Lost.
func (t *table) lossDelivered(now time.Time, h Holding) {
	s := t.resources[keyOf(h.Resource)]
	if s != nil && s.phase == releasing && s.token == h.Token {
		s.phase = deleteDue
		s.dueAt = now
	}
}

// finishRelease resets the state to idle and wakes the calls that wait for a
// release.
func (t *table) finishRelease(s *resourceState) {
	s.phase = idle
	s.token = 0
	if s.releaseDone != nil {
		close(s.releaseDone)
		s.releaseDone = nil
	}
}

// beginIncarnation starts an incarnation whose member key was created at the
// revision.
func (t *table) beginIncarnation(now time.Time, lease infra.LeaseID, revision int64, settleTime time.Duration) {
	t.incarnation = incarnation{lease: lease, revision: revision, startedAt: now, settledAt: now.Add(settleTime)}
	t.scheduleAllCreates(now)
}

// adopt records this daemon as the owner of a resource whose key was created
// together with the member key, or was found attached to the same lease.
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

// endIncarnation ends the incarnation: all holdings are lost. It returns the
// configured resources that this daemon was the last to hold, in order of kind
// and identifier.
func (t *table) endIncarnation(now time.Time) []Resource {
	t.incarnation = incarnation{}
	var lastHeld []Resource
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
			lastHeld = append(lastHeld, s.resource)
		}
	}
	t.scheduleAllCreates(now)
	slices.SortFunc(lastHeld, compareResources)
	return lastHeld
}

func compareResources(a, b Resource) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID))
}

func (t *table) scheduleAllCreates(now time.Time) {
	for _, s := range t.resources {
		t.scheduleCreate(now, s)
	}
}

// drainEvents removes and returns the events since the last call, in order.
func (t *table) drainEvents() []holdingEvent {
	events := t.events
	t.events = nil
	return events
}
