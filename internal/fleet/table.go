package fleet

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/mirror"
	"github.com/barleylift/barleylift/internal/placement"
	"github.com/cespare/xxhash/v2"
)

// registeredMember is the last known value of a member key.
type registeredMember struct {
	Member
	revision int64
	// releasingSince is when the member was first seen to release its engines.
	releasingSince time.Duration
}

// engine is the ownership state of one engine.
type engine struct {
	// registered is set while the engine is registered and may be ordered.
	registered bool
	record
	revision int64
	// reclaim is set if this daemon was allowed to order the engine when it read
	// the present era. It then claims the engine at once, without a quiet time: it
	// was the last to order, as long as no other daemon has claimed in this era.
	reclaim bool
	// deleting is set once this daemon has begun to delete the record, which may take effect
	// late. It orders again only after it has claimed the engine anew.
	deleting bool
	// deletedAt is when this daemon saw the record of an owner deleted; 0 if it has not.
	deletedAt time.Duration
	// changedAt is when this daemon last saw the record change.
	changedAt time.Duration
	// orderNotBefore is the earliest time of this daemon's first order. The
	// delay counts from when the daemon saw its claim in the mirror.
	orderNotBefore time.Duration
	// lastClaimAt is when a claim was last sent, and claimPending is set while
	// its result is awaited.
	lastClaimAt  time.Duration
	claimPending bool
	everClaimed  bool
	// rank is this daemon's rank for the engine, computed when membersVersion
	// was rankVersion.
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
	// former to their last announcements.
	absentSince map[string]time.Duration
	former      map[string]Member
	engines     map[string]*engine
	// membersVersion counts the changes of members, from 1 on, and membersDigest is the sum
	// of their keys' digests.
	membersVersion int
	membersDigest  uint64
	// newestClaim is the highest revision of an engine's record that was applied.
	newestClaim int64
	// quotasInUse is set if there is quotasKey.
	quotasInUse bool
	// revision is the revision up to which the table is complete, and
	// firstReadAt is when the first one was applied.
	revision    int64
	firstReadAt time.Duration
	// eraReadAt is when the first revision of the present era was applied.
	eraReadAt time.Duration
	// hasFormerEra is set once the table has begun a second era.
	hasFormerEra bool
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

// Era returns the era up to which the table is complete.
func (t *Table) Era() infra.Era {
	return infra.EraOf(t.revision)
}

// beginEra prepares the table for the first changes of a new era. Ordering lists
// the engines that this daemon was allowed to order until now.
func (t *Table) beginEra(now time.Duration, ordering []string) {
	t.eraReadAt = now
	t.hasFormerEra = true
	for _, e := range t.engines {
		e.reclaim = false
		e.claimPending = false
		e.everClaimed = false
	}
	for _, id := range ordering {
		t.engine(id).reclaim = true
	}
}

// Apply applies changes of the fleet's keys and ignores others. Values that
// can't be decoded count as absent.
func (t *Table) Apply(now time.Duration, changes []mirror.Change, revision int64) {
	for _, change := range changes {
		key, ok := strings.CutPrefix(change.Entry.Key, t.prefix)
		if !ok {
			continue
		}
		if name, ok := strings.CutPrefix(key, memberPrefix); ok {
			t.applyMember(now, name, change)
		}
		if id, ok := strings.CutPrefix(key, enginePrefix); ok {
			t.applyRecord(now, id, change)
		}
		if key == quotasKey {
			t.quotasInUse = !change.Deleted
		}
	}
	if t.revision == 0 {
		t.firstReadAt, t.eraReadAt = now, now
	}
	t.revision = max(t.revision, revision)
}

// NoteGap records that the next changes are the difference to a later state, and not all that
// happened since the last ones: what is absent in both states may have been there in between, and
// what releases its engines in both may have ordered. Both count as new.
func (t *Table) NoteGap(now time.Duration) {
	for name := range t.absentSince {
		t.absentSince[name] = now
	}
	for name, m := range t.members {
		m.releasingSince = now
		t.members[name] = m
	}
	for _, e := range t.engines {
		if e.revision == 0 {
			e.changedAt, e.deletedAt = now, now
		}
	}
}

// Revision returns the revision up to which the table is complete.
func (t *Table) Revision() int64 {
	return t.revision
}

func (t *Table) applyMember(now time.Duration, name string, change mirror.Change) {
	t.membersVersion++
	if previous, ok := t.members[name]; ok {
		t.membersDigest -= keyDigest(memberPrefix, name, previous.revision)
	}
	var member Member
	if change.Deleted || json.Unmarshal(change.Entry.Value, &member) != nil || member.Name != name {
		if previous, ok := t.members[name]; ok {
			t.former[name] = previous.Member
		}
		delete(t.members, name)
		t.absentSince[name] = now
		return
	}
	updated := registeredMember{Member: member, revision: change.Entry.ModRevision, releasingSince: now}
	if previous := t.members[name]; previous.ReleasesEngines() && previous.Incarnation == member.Incarnation {
		updated.releasingSince = previous.releasingSince
	}
	t.members[name] = updated
	t.membersDigest += keyDigest(memberPrefix, name, updated.revision)
	delete(t.absentSince, name)
	delete(t.former, name)
}

func (t *Table) applyRecord(now time.Duration, id string, change mirror.Change) {
	e := t.engine(id)
	if change.Deleted && e.Member != "" {
		e.deletedAt = now
	}
	e.record = record{}
	e.revision = 0
	e.claimPending = false
	e.deleting = false
	e.changedAt = now
	if change.Deleted {
		return
	}
	e.revision = change.Entry.ModRevision
	t.newestClaim = max(t.newestClaim, e.revision)
	if json.Unmarshal(change.Entry.Value, &e.record) != nil {
		e.record = record{}
	}
	if e.isOfItsEra() {
		e.reclaim = false
	}
	e.orderNotBefore = now + t.orderDelay(e.record)
}

// orderDelay returns how long a daemon waits with its first order after it saw
// its claim in the mirror.
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

// isOfItsEra reports whether the engine has a record that was written in the era
// in which it is read. Others give no right to order.
func (e *engine) isOfItsEra() bool {
	return e.revision != 0 && e.Era == infra.EraOf(e.revision)
}

func (t *Table) owns(e *engine) bool {
	return e.isOfItsEra() && e.Member == t.self.Name && e.Incarnation == t.self.Incarnation
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

// Digest returns a digest of all members and engines' records. Tables with the
// same keys and revisions have the same digest.
func (t *Table) Digest() uint64 {
	sum := t.membersDigest
	for id, e := range t.engines {
		if e.revision != 0 {
			sum += keyDigest(enginePrefix, id, e.revision)
		}
	}
	return sum
}

func keyDigest(prefix, name string, revision int64) uint64 {
	return xxhash.Sum64String(prefix + name + " " + strconv.FormatInt(revision, 10))
}

// Members returns the members in name order. This daemon is among them if the
// table has its key.
func (t *Table) Members() []Member {
	members := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		members = append(members, m.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// FormerMembers returns the last announcements of members without a key. They
// may have exited, or be disconnected only from the key-value service.
func (t *Table) FormerMembers() []Member {
	members := make([]Member, 0, len(t.former))
	for _, m := range t.former {
		members = append(members, m)
	}
	return members
}

// KnownVMs returns the number of VMs that have a member key or that the engines' records
// name: records are without a lease and outlive the process and its member key.
func (t *Table) KnownVMs() int {
	names := make(map[string]bool, len(t.members))
	for name := range t.members {
		names[name] = true
	}
	for _, e := range t.engines {
		if e.Member != "" {
			names[e.Member] = true
		}
	}
	return len(names)
}

// HadProcess reports whether there is a trace of an earlier process of this VM: its member
// key, or an engine that it owned.
func (t *Table) HadProcess() bool {
	if m, ok := t.members[t.self.Name]; ok && m.Incarnation != t.self.Incarnation {
		return true
	}
	for _, e := range t.engines {
		if e.Member == t.self.Name && e.Incarnation != t.self.Incarnation {
			return true
		}
	}
	return false
}

// Owner returns the member that orders an engine, if it is known. Its member
// key may be absent.
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
	if e == nil || !t.owns(e) || e.deleting || t.self.ReleasesEngines() || now < e.orderNotBefore {
		return 0, false
	}
	return Token(e.revision), true
}

// OwnedBy lists the engines whose records name an incarnation of a member.
func (t *Table) OwnedBy(member string, incarnation int64) []string {
	var ids []string
	for id, e := range t.engines {
		if e.isOfItsEra() && e.Member == member && e.Incarnation == incarnation {
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

// Claim is a change of engines' records to be sent to the key-value service.
type Claim struct {
	Engines []string
	Txn     infra.Txn
}

// Claims returns the claims that are due at now, in transactions of a bounded
// size, and the deletions of records of engines that are no longer registered.
// All of them count as pending until FinishClaim. isOrdering reports whether a
// member without a key still gives orders; its engines are not claimed.
func (t *Table) Claims(now time.Duration, isOrdering func(member string) bool) []Claim {
	if t.self.ReleasesEngines() || t.revision == 0 {
		return nil
	}
	due := t.dueEngines(now, isOrdering)
	slices.Sort(due)
	var claims []Claim
	for chunk := range slices.Chunk(due, maxClaimsPerTxn) {
		claims = append(claims, t.startClaim(now, chunk))
	}
	return claims
}

// claimCandidate is an engine that a daemon may claim after a delay that
// depends on its rank.
type claimCandidate struct {
	id             string
	claimableSince time.Duration
	rank           int
}

// dueEngines lists the engines whose records are to be changed now.
func (t *Table) dueEngines(now time.Duration, isOrdering func(string) bool) []string {
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
		if since, ok := t.claimableSince(now, e, isOrdering); ok {
			candidates = append(candidates, claimCandidate{id, since, t.rank(id, e)})
		}
	}
	return append(due, t.fairClaims(now, candidates, len(due))...)
}

// fairClaims lists the candidates whose claim delay is over, those of the
// lowest rank first. Each one lengthens the delays of the next, which keeps the
// first daemon at a start from claiming the others' engines before they do.
// alreadyDue is the number of engines that are due besides the candidates.
func (t *Table) fairClaims(now time.Duration, candidates []claimCandidate, alreadyDue int) []string {
	slices.SortFunc(candidates, func(a, b claimCandidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), strings.Compare(a.id, b.id))
	})
	owned, share := t.ownedAndShare()
	owned += alreadyDue
	var due []string
	for _, c := range candidates {
		if now-c.claimableSince < claimDelay(c.rank, owned+1, share) {
			continue
		}
		due = append(due, c.id)
		owned++
	}
	return due
}

// claimDelay returns how long a daemon leaves a claimable engine to others:
// rankStep for each member ranked before it and for each engine beyond its
// equal share, up to maxRankSteps steps, and extraShareDelay for each full share
// that it would own, from the third on.
func claimDelay(rank, owned, share int) time.Duration {
	excess := max(owned-share, 0)
	return time.Duration(min(rank+excess, maxRankSteps))*rankStep + time.Duration(max(excess/share-1, 0))*extraShareDelay
}

// dueImmediately reports whether an engine's record is to be changed without a
// claim delay.
func (t *Table) dueImmediately(now time.Duration, e *engine) bool {
	switch {
	case !e.registered:
		// The last owner of an unregistered engine removes its record.
		isLastOwner := e.Member == t.self.Name && (t.owns(e) || !e.isOfItsEra())
		return isLastOwner && now-e.changedAt > t.timing.LeaseTTL
	case e.reclaim:
		return true
	case e.revision != 0 && !e.isOfItsEra():
		return false
	case t.owns(e) && e.deleting:
		return true
	case t.owns(e):
		// The quiet time is over: the predecessor is cleared from the record.
		return e.Predecessor != "" && now >= e.orderNotBefore
	default:
		return e.Member == t.self.Name
	}
}

// claimableSince returns the time from which the claim delay for an engine
// counts. It reports false while this daemon must not claim the engine.
func (t *Table) claimableSince(now time.Duration, e *engine, isOrdering func(string) bool) (time.Duration, bool) {
	if !e.registered || t.owns(e) || now-t.firstReadAt < startDelay {
		// Members that start at the same time are not all known at first.
		return 0, false
	}
	if e.revision != 0 && !e.isOfItsEra() || e.Member == "" && t.mayLackRecord(now) {
		return t.eraReadAt + eraSettleDelay, true
	}
	if e.Member == "" {
		return e.changedAt, true
	}
	if owner, ok := t.members[e.Member]; ok {
		return owner.releasingSince, owner.ReleasesEngines()
	}
	since, known := t.absentSince[e.Member]
	if !known {
		// The member has been absent since the first read.
		t.absentSince[e.Member] = now
		return 0, false
	}
	return since + settleDelay, !isOrdering(e.Member)
}

// rank returns how many members rank before this daemon for an engine, at most
// maxRankSteps. It is cached until the members change, because computing it
// visits all of them.
func (t *Table) rank(id string, e *engine) int {
	if e.rankVersion == t.membersVersion {
		return e.rank
	}
	e.rankVersion = t.membersVersion
	e.rank = maxRankSteps
	candidates := make([]placement.Candidate, 0, len(t.members)+1)
	candidates = append(candidates, placement.Candidate{Engine: t.self.Name})
	for name, m := range t.members {
		if name != t.self.Name && !m.ReleasesEngines() {
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

// ownedAndShare returns how many engines this daemon owns or has claimed, and
// an equal share of all engines, at least 1.
func (t *Table) ownedAndShare() (owned, share int) {
	total := 0
	for _, e := range t.engines {
		if !e.registered {
			continue
		}
		total++
		if t.owns(e) || e.claimPending {
			owned++
		}
	}
	active := 1
	for name, m := range t.members {
		if name != t.self.Name && !m.ReleasesEngines() {
			active++
		}
	}
	return owned, max((total+active-1)/active, 1)
}

// startClaim marks the engines' claims as pending and builds the transaction
// that makes this daemon their owner, or removes the records of unregistered
// ones. The transaction fails if a record or the member key of its owner has
// changed.
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
			e.deleting = true
			txn.Then = append(txn.Then, infra.Delete(key))
			continue
		}
		txn.Then = append(txn.Then, infra.Put(key, encode(t.claimedRecord(now, e))))
		if e.isOfItsEra() && e.Member != "" && e.Member != t.self.Name {
			ownerKey := t.prefix + memberPrefix + e.Member
			conditions[ownerKey] = infra.Absent(ownerKey)
			if m, ok := t.members[e.Member]; ok {
				conditions[ownerKey] = infra.ModifiedAt(ownerKey, m.revision)
			}
		}
	}
	for _, condition := range conditions {
		txn.If = append(txn.If, condition)
	}
	return Claim{Engines: ids, Txn: txn}
}

// firstEra is the highest era that a starting daemon takes for that of a service
// that has never come back from a copy. One that does not state eras stays in 0.
const firstEra = 1

// mayLackRecord reports whether an engine without a record may still be ordered
// by a daemon whose record the key-value service has lost. That daemon reads the
// present era about as soon as this one.
func (t *Table) mayLackRecord(now time.Duration) bool {
	if t.Era() <= firstEra && !t.hasFormerEra {
		return false
	}
	return now-t.eraReadAt < eraSettleDelay+t.timing.QuietTime+lostMemberDelay
}

// claimedRecord returns the record that a claim of the engine writes.
func (t *Table) claimedRecord(now time.Duration, e *engine) record {
	r := record{Member: t.self.Name, Incarnation: t.self.Incarnation, Era: t.Era()}
	switch {
	case t.owns(e) || e.reclaim:
	case e.revision != 0 && !e.isOfItsEra() || e.revision == 0 && t.mayLackRecord(now):
		r.Predecessor, r.PredecessorLost = unknownPredecessor, true
	case e.Member == t.self.Name:
		r.Predecessor, r.PredecessorLost = e.Predecessor, e.PredecessorLost
	case e.revision == 0 && e.deletedAt != 0 && now-e.deletedAt < t.timing.QuietTime:
		// The former owner may have sent an order just before it began the deletion.
		r.Predecessor = unknownPredecessor
	case e.Member != "":
		r.Predecessor, r.PredecessorLost = e.Member, !t.members[e.Member].Draining
	}
	return r
}

// FinishClaim records that a claim is no longer pending, because its result is
// known or may never be. The engines' records change only by Apply.
func (t *Table) FinishClaim(claim Claim) {
	for _, id := range claim.Engines {
		if e := t.engines[id]; e != nil {
			e.claimPending = false
		}
	}
}
