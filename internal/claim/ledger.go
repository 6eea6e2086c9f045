package claim

import (
	"time"

	"github.com/barleylift/barleylift/internal/ownership"
)

// Verdict is a Ledger's decision on a call with a given key.
type Verdict int

// The verdicts.
const (
	// Admit means that the key is free and may be claimed for the call.
	Admit Verdict = iota
	// Join means that a call with the key is in flight at this owner.
	Join
	// Replay means that the response is recorded.
	Replay
	// Conflict means that the key was used for a call with a different content.
	Conflict
	// InDoubt means that a call with the key was claimed and may have run.
	InDoubt
	// Full means that the shard's memory limit is reached.
	Full
)

// expiryBucketSeconds is the resolution at which expired records are removed.
const expiryBucketSeconds = int64(time.Minute / time.Second)

// entry is a record with the owner's in-memory state.
type entry struct {
	Record
	// active is set while a call with the key is in flight at this owner. Its
	// record may then be pending or Claimed without being in doubt.
	active bool
	// bucket is the expiry bucket that lists the entry; 0 for none.
	bucket int64
}

// isPending reports whether the claim is not known to be committed.
func (e *entry) isPending() bool {
	return e.State == 0
}

// Ledger is the aggregate of one shard's claims, held by the shard's owner. It
// does no I/O and is not safe for concurrent use.
//
// A key is free if it has no record, or one that is Released or has expired.
// A claim goes through Begin, Prepare and Commit, and ends with one Settle.
type Ledger struct {
	token    ownership.Token
	maxBytes int64
	bytes    int64
	entries  map[ID]*entry
	// expiry lists the claims whose retention ends within each bucket.
	expiry map[int64][]ID
	// firstUnswept is the first bucket whose claims have not been removed; 0
	// before the first sweep.
	firstUnswept int64
}

// NewLedger returns an empty ledger that retains at most maxBytes, as estimated
// from recordOverhead and the variable fields.
func NewLedger(token ownership.Token, maxBytes int64) *Ledger {
	return &Ledger{
		token:    token,
		maxBytes: maxBytes,
		entries:  make(map[ID]*entry),
		expiry:   make(map[int64][]ID),
	}
}

// Len returns the number of retained claims.
func (l *Ledger) Len() int {
	return len(l.entries)
}

// Bytes returns the estimated memory of the retained claims in bytes.
func (l *Ledger) Bytes() int64 {
	return l.bytes
}

// Decide returns how to handle a call with the given ID and digest. The record
// is set only for Replay.
func (l *Ledger) Decide(id ID, customer string, digest Digest, now time.Time) (Verdict, Record) {
	e := l.entries[id]
	if e == nil || l.isFree(e, now) {
		if l.bytes+recordOverhead+MaxRecordedResponseBytes > l.maxBytes {
			return Full, Record{}
		}
		return Admit, Record{}
	}
	if e.Customer != customer || e.Digest != digest {
		return Conflict, Record{}
	}
	switch {
	case e.active:
		return Join, Record{}
	case e.State == Executed:
		return Replay, e.Record
	default:
		return InDoubt, Record{}
	}
}

func (l *Ledger) isFree(e *entry, now time.Time) bool {
	if e.active {
		return false
	}
	return e.State == Released || e.isExpired(now)
}

// Begin adds a pending claim for a call that Decide admitted.
func (l *Ledger) Begin(id ID, customer string, digest Digest, expires time.Time) {
	record := Record{ID: id, Token: int64(l.token), Customer: customer, Digest: digest, Expires: expires.Unix()}
	next := &entry{Record: record, active: true}
	if old := l.entries[id]; old != nil {
		next.bucket = old.bucket
	}
	l.put(next)
}

// Withdraw removes a pending claim that is known not to have been committed.
func (l *Ledger) Withdraw(id ID) {
	if e := l.entries[id]; e != nil && e.isPending() {
		l.remove(e)
	}
}

// Prepare assigns a pending claim the sequence number of its commit and returns
// the record to commit. It returns false if the claim is not pending.
func (l *Ledger) Prepare(id ID, seq uint64) (Record, bool) {
	e := l.entries[id]
	if e == nil || !e.isPending() {
		return Record{}, false
	}
	e.Seq = seq
	record := e.Record
	record.State = Claimed
	return record, true
}

// Commit marks a prepared claim as committed, so its call may be sent once. It
// returns false if the claim was not prepared or is not pending.
func (l *Ledger) Commit(id ID) bool {
	e := l.entries[id]
	if e == nil || !e.isPending() || e.Seq == 0 {
		return false
	}
	e.State = Claimed
	l.index(e)
	return true
}

// Settle moves a committed claim to Released, Uncertain or Executed and returns
// the record to store. It returns false if there is no claim with this ID and
// sequence number in state Claimed.
func (l *Ledger) Settle(id ID, seq uint64, state State, response []byte) (Record, bool) {
	e := l.entries[id]
	if e == nil || e.Seq != seq || e.State != Claimed {
		return Record{}, false
	}
	l.bytes -= e.size()
	e.State = state
	e.Response = response
	e.active = false
	l.bytes += e.size()
	return e.Record, true
}

// Restore merges a stored record. Of two records of one key, the one with the
// greater sequence number is kept; of two records of one claim, the one with the
// outcome. A claim that is restored without an outcome is in doubt.
func (l *Ledger) Restore(record Record, now time.Time) {
	if record.isExpired(now) {
		return
	}
	old := l.entries[record.ID]
	if old != nil && (old.Seq > record.Seq || old.Seq == record.Seq && old.State >= record.State) {
		return
	}
	restored := &entry{Record: record}
	l.put(restored)
	l.index(restored)
}

// Record returns the stored form of a claim that was committed.
func (l *Ledger) Record(id ID) (Record, bool) {
	e := l.entries[id]
	if e == nil || e.isPending() {
		return Record{}, false
	}
	return e.Record, true
}

// RemoveExpired removes the claims whose retention has ended, except those of
// in-flight calls.
func (l *Ledger) RemoveExpired(now time.Time) {
	last := now.Unix() / expiryBucketSeconds
	if l.firstUnswept == 0 || last-l.firstUnswept > int64(len(l.expiry)) {
		for bucket := range l.expiry {
			if bucket < last {
				l.removeExpiredIn(bucket, now)
			}
		}
	} else {
		for bucket := l.firstUnswept; bucket < last; bucket++ {
			l.removeExpiredIn(bucket, now)
		}
	}
	l.firstUnswept = last
}

func (l *Ledger) removeExpiredIn(bucket int64, now time.Time) {
	ids := l.expiry[bucket]
	delete(l.expiry, bucket)
	for _, id := range ids {
		e := l.entries[id]
		if e == nil || !e.isExpired(now) {
			continue
		}
		if e.active {
			// Check the claim again in a later sweep.
			next := now.Unix()/expiryBucketSeconds + 1
			l.expiry[next] = append(l.expiry[next], id)
			continue
		}
		l.remove(e)
	}
}

func (l *Ledger) put(e *entry) {
	if old := l.entries[e.ID]; old != nil {
		l.bytes -= old.size()
	}
	l.entries[e.ID] = e
	l.bytes += e.size()
}

// index adds a committed claim to its expiry bucket. A key that is released and
// claimed again within the same bucket is added only once.
func (l *Ledger) index(e *entry) {
	bucket := e.Expires / expiryBucketSeconds
	if e.bucket == bucket {
		return
	}
	e.bucket = bucket
	l.expiry[bucket] = append(l.expiry[bucket], e.ID)
}

func (l *Ledger) remove(e *entry) {
	l.bytes -= e.size()
	delete(l.entries, e.ID)
}
