package fleet

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/mirror"
	"github.com/barleylift/barleylift/internal/placement"
)

// registeredMember is a member key as it was last seen.
type registeredMember struct {
	Member
	revision int64
	// drainingSince is when the member was first seen to be draining.
	drainingSince time.Duration
}

// engine is what is known about the ordering of one engine.
type engine struct {
	// registered tells that the engine is registered and may be ordered.
	registered bool
	record
	revision int64
	// changedAt is when the record was last seen to change.
	changedAt time.Duration
	// orderNotBefore is when this daemon may send its first order; it counts from
	// the sight of its claim.
	orderNotBefore time.Duration
	// lastClaimAt is when a claim was last sent, and pending whether its result is awaited.
	lastClaimAt  time.Duration
	claimPending bool
	everClaimed  bool
	// rank is this daemon's rank for the engine after rankedAt changes of the
	// members.
	rank        int
	rankVersion int
}

// Table holds the members and the engines' records. It does no I/O and is not
// safe for concurrent use. Times are readings of clock.Boot.
type Table struct {
	prefix  string
	self    Member
	timing  Timing
	members map[string]registeredMember
	// absentSince maps absent members to when they were first found absent, and
	// former to what they had announced.
	absentSince map[string]time.Duration
	former      map[string]Member
	engines     map[string]*engine
	// membersVersion counts the changes of members, from 1 on.
	membersVersion int
	// revision is that up to which the table is complete, and began when it
	// was first.
	revision    int64
	firstReadAt time.Duration
}

// NewTable returns an empty table. Keys begin with the prefix.
func NewTable(prefix string, self Member, timing Timing) *Table {
	return &Table{
		prefix:      prefix,
		self:        self,
		timing:      timing,
		members:     make(map[string]registeredMember),
		absentSince: make(map[string]time.Duration),
		former:      make(map[string]Member),
		engines:     make(map[string]*engine),

		membersVersion: 1,
	}
}

// Apply takes over changes of the fleet's keys; others are ignored. Values
// that can't be read count as absent.
func (t *Table) Apply(now time.Duration, changes []mirror.Change, revision int64) {
	for _, change := range changes {
		key, ours := strings.CutPrefix(change.Entry.Key, t.prefix)
		if !ours {
			continue
		}
		if name, ok := strings.CutPrefix(key, memberPrefix); ok {
			t.applyMember(now, name, change)
		}
		if id, ok := strings.CutPrefix(key, enginePrefix); ok {
			t.applyRecord(now, id, change)
		}
	}
	if t.revision == 0 {
		t.firstReadAt = now
	}
	t.revision = max(t.revision, revision)
}

// Revision returns the revision up to which the table is complete.
func (t *Table) Revision() int64 {
	return t.revision
}

func (t *Table) applyMember(now time.Duration, name string, change mirror.Change) {
	t.membersVersion++
	var member Member
	if change.Deleted || json.Unmarshal(change.Entry.Value, &member) != nil || member.Name != name {
		if before, ok := t.members[name]; ok {
			t.former[name] = before.Member
		}
		delete(t.members, name)
		t.absentSince[name] = now
		return
	}
	seen := registeredMember{Member: member, revision: change.Entry.ModRevision, drainingSince: now}
	if before := t.members[name]; before.Draining && before.Incarnation == member.Incarnation {
		seen.drainingSince = before.drainingSince
	}
	t.members[name] = seen
	delete(t.absentSince, name)
	delete(t.former, name)
}

func (t *Table) applyRecord(now time.Duration, id string, change mirror.Change) {
	e := t.engine(id)
	e.record = record{}
	e.revision = 0
	e.claimPending = false
	e.changedAt = now
	if change.Deleted {
		return
	}
	e.revision = change.Entry.ModRevision
	if json.Unmarshal(change.Entry.Value, &e.record) != nil {
		e.record = record{}
	}
	e.orderNotBefore = now + t.orderDelay(e.record)
}

// orderDelay is how long a daemon waits after the sight of its claim.
func (t *Table) orderDelay(r record) time.Duration {
	switch {
	case r.Predecessor == "":
		return 0
	case r.PredecessorLost:
		return t.timing.QuietTime + lostMemberDelay
	default:
		return t.timing.QuietTime
	}
}

func (t *Table) engine(id string) *engine {
	e := t.engines[id]
	if e == nil {
		e = &engine{}
		t.engines[id] = e
	}
	return e
}

func (t *Table) owns(e *engine) bool {
	return e.Member == t.self.Name && e.Incarnation == t.self.Incarnation
}

// SetEngines replaces the set of engines that are to be ordered.
func (t *Table) SetEngines(now time.Duration, ids []string) {
	for _, e := range t.engines {
		e.registered = false
	}
	for _, id := range ids {
		e := t.engine(id)
		if e.changedAt == 0 {
			e.changedAt = now
		}
		e.registered = true
	}
	for id, e := range t.engines {
		if !e.registered && e.revision == 0 {
			delete(t.engines, id)
		}
	}
}

// Members returns the members in name order. This daemon is among them if its
// key was seen.
func (t *Table) Members() []Member {
	list := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		list = append(list, m.Member)
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// FormerMembers returns the last announcements of members without a key. They may
// have ended, or be cut off from the key-value service only.
func (t *Table) FormerMembers() []Member {
	list := make([]Member, 0, len(t.former))
	for _, m := range t.former {
		list = append(list, m)
	}
	return list
}

// Owner returns the member that orders an engine, if it is known. It may have
// lost its key.
func (t *Table) Owner(id string) (Member, bool) {
	e := t.engines[id]
	if e == nil {
		return Member{}, false
	}
	if t.owns(e) {
		return t.self, true
	}
	if m, ok := t.members[e.Member]; ok {
		return m.Member, true
	}
	m, ok := t.former[e.Member]
	return m, ok
}

// MayOrder returns the token for orders to an engine if this daemon may send
// them now, given that its lease is valid.
func (t *Table) MayOrder(now time.Duration, id string) (Token, bool) {
	e := t.engines[id]
	if e == nil || !t.owns(e) || t.self.Draining || now < e.orderNotBefore {
		return 0, false
	}
	return Token(e.revision), true
}

// OwnedBy lists the engines whose records name a process of a member.
func (t *Table) OwnedBy(member string, boot int64) []string {
	var ids []string
	for id, e := range t.engines {
		if e.Member == member && e.Incarnation == boot {
			ids = append(ids, id)
		}
	}
	return ids
}

// OwnedEngines lists the engines whose records name this process.
func (t *Table) OwnedEngines() []string {
	ids := t.OwnedBy(t.self.Name, t.self.Incarnation)
	slices.Sort(ids)
	return ids
}

// Claim is a change of engines' records that is due.
type Claim struct {
	Engines []string
	Txn     infra.Txn
}

// Claims returns the claims that are due at now, in transactions of a bounded
// size, and the deletion of records of engines that are gone. Ordering reports
// whether a member without a key is known to give orders still; its engines
// are left to it.
func (t *Table) Claims(now time.Duration, ordering func(member string) bool) []Claim {
	if t.self.Draining || t.revision == 0 {
		return nil
	}
	due := t.dueEngines(now, ordering)
	slices.Sort(due)
	var claims []Claim
	for chunk := range slices.Chunk(due, maxClaimsPerTxn) {
		claims = append(claims, t.startClaim(now, chunk))
	}
	return claims
}

// claimCandidate is an engine that a daemon may claim after a wait by its rank.
type claimCandidate struct {
	id             string
	claimableSince time.Duration
	rank           int
}

// dueEngines lists the engines to be claimed now.
func (t *Table) dueEngines(now time.Duration, ordering func(string) bool) []string {
	var due []string
	var candidates []claimCandidate
	for id, e := range t.engines {
		if e.claimPending || e.everClaimed && now-e.lastClaimAt < claimRetryDelay {
			continue
		}
		if t.dueImmediately(now, e) {
			due = append(due, id)
			continue
		}
		if since, ok := t.claimableSince(now, e, ordering); ok {
			candidates = append(candidates, claimCandidate{id, since, t.rank(id, e)})
		}
	}
	return append(due, t.fairClaims(now, candidates, len(due))...)
}

// fairClaims lists the free engines whose wait is over, those of the lowest
// rank first. Each one more counts for the waits of the next: a daemon that is
// first at a start does not take what the others are about to claim.
func (t *Table) fairClaims(now time.Duration, candidates []claimCandidate, taken int) []string {
	slices.SortFunc(candidates, func(a, b claimCandidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), strings.Compare(a.id, b.id))
	})
	mine, part := t.ownedAndShare()
	mine += taken
	var due []string
	for _, c := range candidates {
		if now-c.claimableSince < claimDelay(c.rank, mine+1, part) {
			continue
		}
		due = append(due, c.id)
		mine++
	}
	return due
}

// claimDelay is how long a daemon leaves a free engine to others: a step for each
// member before it in the engine's order and for each engine beyond its equal
// part, up to maxPlaces, and shareWait for each time that it would have the part
// over again from the third part on.
func claimDelay(rank, mine, part int) time.Duration {
	excess := max(mine-part, 0)
	return time.Duration(min(rank+excess, maxRankSteps))*rankStep + time.Duration(max(excess/part-1, 0))*extraShareDelay
}

// dueImmediately reports whether an engine's record is to be changed whatever others do.
func (t *Table) dueImmediately(now time.Duration, e *engine) bool {
	switch {
	case !e.registered:
		// The daemon that ordered the engine last removes its record.
		return t.owns(e) && now-e.changedAt > t.timing.LeaseTTL
	case t.owns(e):
		// The quiet time is over: the record need not tell of it any more.
		return e.Predecessor != "" && now >= e.orderNotBefore
	default:
		return e.Member == t.self.Name
	}
}

// claimableSince returns from when on the daemons wait, by their ranks, to claim an
// engine whose record names none of them that goes on; false if there is one.
func (t *Table) claimableSince(now time.Duration, e *engine, ordering func(string) bool) (time.Duration, bool) {
	if !e.registered || t.owns(e) || now-t.firstReadAt < startDelay {
		// The members that start at the same time are not all known at first.
		return 0, false
	}
	if e.Member == "" {
		return e.changedAt, true
	}
	if former, present := t.members[e.Member]; present {
		return former.drainingSince, former.Draining
	}
	since, known := t.absentSince[e.Member]
	if !known {
		// The member was absent from the first read on.
		t.absentSince[e.Member] = now
		return 0, false
	}
	return since + settleDelay, !ordering(e.Member)
}

// rank returns how many members stand before this daemon for an engine. It is
// kept until the members change, because it looks at all of them.
func (t *Table) rank(id string, e *engine) int {
	if e.rankVersion == t.membersVersion {
		return e.rank
	}
	e.rankVersion = t.membersVersion
	e.rank = maxRankSteps
	candidates := make([]placement.Candidate, 0, len(t.members)+1)
	candidates = append(candidates, placement.Candidate{Engine: t.self.Name})
	for name, m := range t.members {
		if name != t.self.Name && !m.Draining {
			candidates = append(candidates, placement.Candidate{Engine: name})
		}
	}
	for i, c := range placement.Rank(candidates, id, maxRankSteps) {
		if c.Engine == t.self.Name {
			e.rank = i
		}
	}
	return e.rank
}

// ownedAndShare returns how many engines this daemon orders or has claimed, and an
// equal part of all, at least 1.
func (t *Table) ownedAndShare() (mine, part int) {
	present := 0
	for _, e := range t.engines {
		if !e.registered {
			continue
		}
		present++
		if t.owns(e) || e.claimPending {
			mine++
		}
	}
	active := 1
	for name, m := range t.members {
		if name != t.self.Name && !m.Draining {
			active++
		}
	}
	return mine, max((present+active-1)/active, 1)
}

// startClaim builds the transaction that makes this daemon the one that orders the
// engines. It holds only as long as no former daemon is back.
func (t *Table) startClaim(now time.Duration, ids []string) Claim {
	txn := infra.Txn{}
	conditions := make(map[string]infra.Compare)
	for _, id := range ids {
		e := t.engines[id]
		e.lastClaimAt = now
		e.everClaimed = true
		e.claimPending = true
		key := t.prefix + enginePrefix + id
		if e.revision == 0 {
			conditions[key] = infra.Absent(key)
		} else {
			conditions[key] = infra.ModifiedAt(key, e.revision)
		}
		if !e.registered {
			txn.Then = append(txn.Then, infra.Delete(key))
			continue
		}
		txn.Then = append(txn.Then, infra.Put(key, encode(t.claimedRecord(e))))
		if e.Member != "" && e.Member != t.self.Name {
			former := t.prefix + memberPrefix + e.Member
			conditions[former] = infra.Absent(former)
			if m, ok := t.members[e.Member]; ok {
				conditions[former] = infra.ModifiedAt(former, m.revision)
			}
		}
	}
	for _, condition := range conditions {
		txn.If = append(txn.If, condition)
	}
	return Claim{Engines: ids, Txn: txn}
}

// claimedRecord is the record of a claim.
func (t *Table) claimedRecord(e *engine) record {
	r := record{Member: t.self.Name, Incarnation: t.self.Incarnation}
	switch {
	case t.owns(e):
	case e.Member == t.self.Name:
		r.Predecessor, r.PredecessorLost = e.Predecessor, e.PredecessorLost
	case e.Member != "":
		r.Predecessor, r.PredecessorLost = e.Member, !t.members[e.Member].Draining
	}
	return r
}

// FinishClaim takes over that a claim's result is known, or that it may never be.
// The record itself comes by Apply.
func (t *Table) FinishClaim(claim Claim) {
	for _, id := range claim.Engines {
		if e := t.engines[id]; e != nil {
			e.claimPending = false
		}
	}
}
