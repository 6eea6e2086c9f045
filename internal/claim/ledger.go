package claim

import (
	"time"

	"github.com/barleylift/barleylift/internal/ownership"
)

// Verdict is what a ledger says about a call with a key.
type Verdict int

// The verdicts.
const (
	// Admit means that the key is free: the call may be claimed.
	Admit Verdict = iota
	// Join means that a call with the key is under way at this owner.
	Join
	// Replay means that the answer is recorded.
	Replay
	// Conflict means that the key belongs to a call with other contents.
	Conflict
	// InDoubt means that a call with the key was claimed and may have run.
	InDoubt
	// Full means that the shard retains as much as it may.
	Full
)

// expiryBucket is the resolution at which expired records are forgotten.
const expiryBucket = int64(time.Minute / time.Second)

// entry is a record with the state that only its owner has.
type entry struct {
	Record
	// active tells that a call with the key is under way at this owner, so
	// that its record may be pending or Claimed without being in doubt.
	active bool
	// indexed is the expiry bucket that lists the entry; 0 for none.
	indexed int64
}

// pending reports whether the claim is not known to be committed.
func (e *entry) pending() bool {
	return e.State == 0
}

// Ledger is the aggregate of one shard's claims as its owner knows them. It
// does no I/O and is not safe for concurrent use.
//
// A key is free if it has no record, or one that is Released or has expired.
// It is claimed by Begin, then Commit, then exactly one of Settle's states.
type Ledger struct {
	token    ownership.Token
	maxBytes int64
	bytes    int64
	entries  map[ID]*entry
	// expiry lists the identities whose retention ends within each bucket.
	expiry map[int64][]ID
	// swept is the first bucket that has not been forgotten.
	swept int64
}

// NewLedger returns an empty ledger that retains at most maxBytes, by the
// estimate of recordOverhead and the variable fields.
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

// Decide returns what a call with the given identity and digest may do. The
// record is set for Replay.
func (l *Ledger) Decide(id ID, customer string, digest Digest, now time.Time) (Verdict, Record) {
	e := l.entries[id]
	if e == nil || l.free(e, now) {
		if l.bytes+recordOverhead+MaxRecordedAnswerBytes > l.maxBytes {
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
	case e.State == Answered:
		return Replay, e.Record
	default:
		return InDoubt, Record{}
	}
}

func (l *Ledger) free(e *entry, now time.Time) bool {
	if e.active {
		return false
	}
	return e.State == Released || e.expired(now)
}

// Begin enters a pending claim for a call that Decide admitted.
func (l *Ledger) Begin(id ID, customer string, digest Digest, expires time.Time) {
	record := Record{ID: id, Token: int64(l.token), Customer: customer, Digest: digest, Expires: expires.Unix()}
	next := &entry{Record: record, active: true}
	if old := l.entries[id]; old != nil {
		next.indexed = old.indexed
	}
	l.put(next)
}

// Withdraw forgets a pending claim that was surely not committed.
func (l *Ledger) Withdraw(id ID) {
	if e := l.entries[id]; e != nil && e.pending() {
		l.remove(e)
	}
}

// Prepare returns the record to commit for a pending claim under the sequence
// number of its commit. It returns false if the claim is not pending.
func (l *Ledger) Prepare(id ID, seq uint64) (Record, bool) {
	e := l.entries[id]
	if e == nil || !e.pending() {
		return Record{}, false
	}
	e.Seq = seq
	record := e.Record
	record.State = Claimed
	return record, true
}

// Commit marks a prepared claim as committed: its call may now be sent, once.
func (l *Ledger) Commit(id ID) bool {
	e := l.entries[id]
	if e == nil || !e.pending() || e.Seq == 0 {
		return false
	}
	e.State = Claimed
	l.index(e)
	return true
}

// Settle ends a committed claim as Released, Uncertain or Answered and returns
// the record to store. It returns false if no such claim is open.
func (l *Ledger) Settle(id ID, seq uint64, state State, answer []byte) (Record, bool) {
	e := l.entries[id]
	if e == nil || e.Seq != seq || e.State != Claimed {
		return Record{}, false
	}
	l.bytes -= e.size()
	e.State = state
	e.Answer = answer
	e.active = false
	l.bytes += e.size()
	return e.Record, true
}

// Restore takes over a stored record. Of two records of one key the one with
// the greater sequence number wins, and of one claim the one that settles it.
// A claim that is restored without its outcome is in doubt.
func (l *Ledger) Restore(record Record, now time.Time) {
	if record.expired(now) {
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
	if e == nil || e.pending() {
		return Record{}, false
	}
	return e.Record, true
}

// RemoveExpired drops the claims whose retention has ended, except those under way.
func (l *Ledger) RemoveExpired(now time.Time) {
	last := now.Unix() / expiryBucket
	if l.swept == 0 || last-l.swept > int64(len(l.expiry)) {
		for bucket := range l.expiry {
			if bucket < last {
				l.forgetBucket(bucket, now)
			}
		}
	} else {
		for bucket := l.swept; bucket < last; bucket++ {
			l.forgetBucket(bucket, now)
		}
	}
	l.swept = last
}

func (l *Ledger) forgetBucket(bucket int64, now time.Time) {
	ids := l.expiry[bucket]
	delete(l.expiry, bucket)
	for _, id := range ids {
		e := l.entries[id]
		if e == nil || !e.expired(now) {
			continue
		}
		if e.active {
			// Looked at again after the next bucket.
			next := now.Unix()/expiryBucket + 1
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

// index lists a committed claim under its expiry bucket, once, however often
// its key was released and claimed again.
func (l *Ledger) index(e *entry) {
	bucket := e.Expires / expiryBucket
	if e.indexed == bucket {
		return
	}
	e.indexed = bucket
	l.expiry[bucket] = append(l.expiry[bucket], e.ID)
}

func (l *Ledger) remove(e *entry) {
	l.bytes -= e.size()
	delete(l.entries, e.ID)
}
