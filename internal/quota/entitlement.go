package quota

import (
	"time"

	"github.com/barleylift/barleylift/internal/mesh"
)

// maxTargets bounds the coordinators whose totals are kept. One that is used again after its
// total was dropped credits nothing until the total is above what it has heard.
const maxTargets = 16

// accrual is where a VM's entitlement to the customers of one group goes.
type accrual struct {
	// target is the coordinator's incarnation to which it is delegated; 0 for none.
	target int64
	// since is when it began to go there.
	since time.Duration
	// totals are the sums of share x time delegated, in seconds, by the coordinators'
	// incarnations, and recent lists these from the one used last to the first.
	totals map[int64]float64
	recent []int64
	// local is the sum of share x time that was not delegated since epoch last changed.
	local float64
	epoch int
}

// Entitlement is what one VM may spend or delegate: 1/N of each customer's rate. It is spent
// at most once, because the time of each group goes to one target only.
type Entitlement struct {
	memberCount *MemberCount
	// ownSeenAt is when the own member key was seen, and ownRevision its revision then; 0
	// while there is none.
	ownSeenAt   time.Duration
	ownRevision int64
	hasRead     bool
	// wasCounted is set if the process before this one was entitled, so that all VMs count
	// this VM.
	wasCounted bool
	// startedAt is when the VM became entitled; isStarted is set from then on.
	startedAt time.Duration
	isStarted bool
	// provenAt is the last moment at which the service is known to have held the key.
	provenAt   time.Duration
	advancedAt time.Duration
	groups     [Groups]accrual
	// clocks are what is known of the coordinators' clocks, by their incarnations.
	clocks map[int64]clockOffset
}

// clockOffset is the largest difference of a coordinator's SentAt and the own time at which the
// message arrived: the one of the message that took least. It is renewed now and then, as
// clocks drift.
type clockOffset struct {
	offset    time.Duration
	renewedAt time.Duration
}

const (
	clockRenewal = 30 * time.Second
	maxClocks    = 64
)

// HearClock records that a state that a coordinator sent at sentAt, by its clock, has arrived.
func (e *Entitlement) HearClock(now time.Duration, incarnation int64, sentAt time.Duration) {
	known, ok := e.clocks[incarnation]
	if offset := sentAt - now; !ok || offset >= known.offset || now-known.renewedAt > clockRenewal {
		if len(e.clocks) >= maxClocks {
			clear(e.clocks)
		}
		e.clocks[incarnation] = clockOffset{offset, now}
	}
}

// NewEntitlement returns the Entitlement of a VM that has not seen any members.
func NewEntitlement(memberCount *MemberCount) *Entitlement {
	e := &Entitlement{memberCount: memberCount, clocks: make(map[int64]clockOffset)}
	for g := range e.groups {
		e.groups[g].totals = make(map[int64]float64)
	}
	return e
}

// SetOwnKey records the own VM's member key, a few times a second and after each change of the
// members: its revision in the own copy of the service, or 0 if there is none. counted is
// Member.Counted of the key, and inUse tells whether the copy shows that VMs may be entitled:
// before that this VM doesn't begin. What is known of the age of the copy is recorded first.
func (e *Entitlement) SetOwnKey(now time.Duration, revision int64, counted int, inUse bool) {
	isFirstRead := !e.hasRead
	e.hasRead = true
	if revision != 0 && isFirstRead && counted > 0 {
		e.wasCounted = true
		e.memberCount.setFloor(now, counted)
	}
	if revision != 0 && inUse && e.ownSeenAt == 0 && e.isProven(now) {
		e.ownSeenAt, e.ownRevision = now, revision
	}
	e.Advance(now)
}

// RecordProof records that the service held the own member key at asOf.
func (e *Entitlement) RecordProof(now, asOf time.Duration) {
	e.Advance(now)
	e.provenAt = max(e.provenAt, asOf)
}

// Confirm records a coordinator's answer: the copies of all VMs are complete up to revision,
// and there are n of them.
func (e *Entitlement) Confirm(now time.Duration, revision int64, n int) {
	e.Advance(now)
	if e.hasRead && e.memberCount.copyAt < e.memberCount.firstReadAt+departureDelay {
		// The own copy of the service has never shown the VMs that had just gone.
		e.memberCount.setFloor(now, n)
	}
	if e.isStarted || e.ownSeenAt == 0 || !e.isProven(now) || now-e.ownSeenAt < minJoinDelay || revision < e.ownRevision {
		return
	}
	e.start(now)
}

func (e *Entitlement) start(now time.Duration) {
	e.isStarted, e.startedAt = true, now
	for g := range e.groups {
		e.groups[g].since = now
		e.groups[g].clearLocal()
	}
}

// ProofAge returns how long ago the service is known to have held the own member key; false if it
// never was.
func (e *Entitlement) ProofAge(now time.Duration) (age time.Duration, ok bool) {
	return now - e.provenAt, e.provenAt != 0
}

// Entitled reports whether the VM is entitled now.
func (e *Entitlement) Entitled(now time.Duration) bool {
	e.Advance(now)
	return e.isStarted
}

// N returns the number of VMs that share each customer's rate, as this VM counts them.
func (e *Entitlement) N() int {
	return e.memberCount.N()
}

// isProven reports whether the service is known to have held the own member key lately.
func (e *Entitlement) isProven(now time.Duration) bool {
	return e.provenAt != 0 && now-e.provenAt <= proofValidity
}

// share returns the part of each rate that the VM is entitled to.
func (e *Entitlement) share() float64 {
	if !e.isStarted {
		return 0
	}
	return 1 / float64(max(e.memberCount.N(), 1))
}

// Advance accrues entitlement up to now.
func (e *Entitlement) Advance(now time.Duration) {
	elapsed := now - e.advancedAt
	if e.advancedAt == 0 {
		elapsed = 0
	}
	e.advancedAt = now
	if !e.isProven(now) {
		if e.isStarted {
			// Other VMs may not count this one any more: it joins anew.
			e.isStarted = false
		}
		e.wasCounted, e.ownSeenAt, e.ownRevision = e.wasCounted && e.ownSeenAt == 0, 0, 0
		return
	}
	if !e.isStarted {
		if e.ownSeenAt != 0 && (e.wasCounted || now-e.ownSeenAt >= joinDelay) {
			e.start(now)
		}
		return
	}
	added := e.share() * elapsed.Seconds()
	for g := range e.groups {
		a := &e.groups[g]
		if a.target == 0 {
			a.local += added
		} else {
			a.totals[a.target] += added
		}
	}
}

// SetTarget sets where the entitlement to the customers of a group goes from now on: to the
// coordinator with the incarnation, or with 0 to the VM itself.
func (e *Entitlement) SetTarget(now time.Duration, group int, incarnation int64) {
	a := &e.groups[group]
	if a.target == incarnation {
		return
	}
	e.Advance(now)
	a.target, a.since = incarnation, now
	a.clearLocal()
	if incarnation != 0 {
		a.use(incarnation)
	}
}

// clearLocal drops what was accrued and not delegated.
func (a *accrual) clearLocal() {
	a.local = 0
	a.epoch++
}

// use moves a coordinator to the front of recent, and drops the one used least recently if
// there are too many.
func (a *accrual) use(incarnation int64) {
	kept := []int64{incarnation}
	for _, other := range a.recent {
		if other != incarnation && len(kept) < maxTargets {
			kept = append(kept, other)
		} else if other != incarnation {
			delete(a.totals, other)
		}
	}
	a.recent = kept
}

// Delegation returns the message to a coordinator about a group. It is sent while the
// entitlement goes elsewhere too, so that it knows the total when it becomes the target.
func (e *Entitlement) Delegation(now time.Duration, group int, to int64) mesh.Delegation {
	e.Advance(now)
	a := &e.groups[group]
	d := mesh.Delegation{To: to, Group: group, Share: e.share(), Total: a.totals[to]}
	if known, ok := e.clocks[to]; ok {
		d.SentAt = (now + known.offset).Milliseconds()
	}
	if a.target == to {
		d.Since = min(now-max(a.since, e.startedAt), maxSince).Milliseconds()
	}
	return d
}

// maxSince bounds Delegation.Since.
const maxSince = time.Minute

// localAccrual is the entitlement to a group's customers that a VM has kept.
type localAccrual struct {
	// sum is share x time in seconds; it begins anew when epoch changes.
	sum   float64
	epoch int
	share float64
	// length is how long it has been kept.
	length time.Duration
}

func (e *Entitlement) local(now time.Duration, group int) localAccrual {
	e.Advance(now)
	a := &e.groups[group]
	l := localAccrual{sum: a.local, epoch: a.epoch}
	if a.target == 0 && e.isStarted {
		l.share, l.length = e.share(), now-a.since
	}
	return l
}
