package fake

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/infra"
	"golang.org/x/time/rate"
)

// maxValueBytes is the largest value that the key-value service accepts.
const maxValueBytes = 1 << 20

var (
	errDown      = errors.New("service is down")
	errRate      = errors.New("too many requests")
	errTooLarge  = errors.New("request is too large")
	errDuplicate = errors.New("duplicate key given in txn request")
	errNoLease   = errors.New("requested lease not found")
	errCompacted = errors.New("required revision has been compacted")
	errLost      = errors.New("response lost")
	errBadTTL    = errors.New("lease time to live must be positive")
)

// KV is an in-memory key-value service that implements infra.KV. It uses
// time.Now and timers, so that it works within testing/synctest.
type KV struct {
	mu        sync.Mutex // guards all fields below; held for state changes only
	revision  int64
	compacted int64
	entries   map[string]infra.Entry
	leases    map[infra.LeaseID]*lease
	nextLease infra.LeaseID
	history   []infra.WatchBatch
	watchers  map[*watcher]struct{}
	calls     Calls
	faults    faults
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
	timer     *time.Timer
}

// Calls counts the calls that reached the service, by kind, including rejected ones.
type Calls struct {
	Get, Range, Txn, Grant, KeepAlive, Revoke, Watch int
	// WatchBytes is the size of the keys and values delivered to watches, in bytes.
	WatchBytes int
	// RangeBytes is the size of the keys and values returned by Get and Range,
	// in bytes.
	RangeBytes int
	// RateLimited counts the calls that were rejected for exceeding the rate limit.
	RateLimited int
}

// Writes returns the number of calls that change the service's state, including
// renewals.
func (c Calls) Writes() int {
	return c.Txn + c.Grant + c.KeepAlive + c.Revoke
}

// Total returns the number of calls of all kinds.
func (c Calls) Total() int {
	return c.Writes() + c.Get + c.Range + c.Watch
}

var _ infra.KV = (*KV)(nil)

// NewKV returns an empty service at revision 1.
func NewKV() *KV {
	return &KV{
		revision:  1,
		entries:   make(map[string]infra.Entry),
		leases:    make(map[infra.LeaseID]*lease),
		nextLease: 1,
		watchers:  make(map[*watcher]struct{}),
	}
}

// Calls returns the counters of calls.
func (s *KV) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// admit waits for the configured delay, counts the call and applies the faults
// that reject a call before it takes effect.
func (s *KV) admit(ctx context.Context, op string, counter *int, limiter func(*faults) *rate.Limiter) error {
	s.mu.Lock()
	delay := s.faults.delay
	s.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return &infra.Error{Op: op, Kind: infra.Unavailable, Err: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
	if s.faults.down {
		return &infra.Error{Op: op, Kind: infra.Unavailable, Err: errDown}
	}
	if l := limiter(&s.faults); l != nil && !l.Allow() {
		s.calls.RateLimited++
		return &infra.Error{Op: op, Kind: infra.Unavailable, Err: errRate}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Get implements infra.KV.
func (s *KV) Get(ctx context.Context, key string) (infra.Entry, error) {
	if err := s.admit(ctx, "get", &s.calls.Get, readLimiter); err != nil {
		return infra.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := clone(s.entries[key])
	s.calls.RangeBytes += size(e)
	return e, nil
}

// Range implements infra.KV.
func (s *KV) Range(ctx context.Context, prefix string) (infra.RangeResult, error) {
	if err := s.admit(ctx, "range", &s.calls.Range, readLimiter); err != nil {
		return infra.RangeResult{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	result := infra.RangeResult{Entries: s.matching(prefix), Revision: s.revision}
	for _, e := range result.Entries {
		s.calls.RangeBytes += size(e)
	}
	return result, nil
}

func (s *KV) matching(prefix string) []infra.Entry {
	var found []infra.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, clone(e))
		}
	}
	slices.SortFunc(found, func(a, b infra.Entry) int { return strings.Compare(a.Key, b.Key) })
	return found
}

func clone(e infra.Entry) infra.Entry {
	e.Value = slices.Clone(e.Value)
	return e
}

func size(e infra.Entry) int {
	return len(e.Key) + len(e.Value)
}

// Txn implements infra.KV.
func (s *KV) Txn(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	if err := s.admit(ctx, "txn", &s.calls.Txn, writeLimiter); err != nil {
		return infra.TxnResult{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind, err := s.validate(txn); err != nil {
		return infra.TxnResult{}, &infra.Error{Op: "txn", Kind: kind, Err: err}
	}
	result := s.apply(txn)
	if result.Succeeded && s.spansEras(txn) {
		return infra.TxnResult{}, &infra.Error{Op: "txn", Kind: infra.Ambiguous, Err: errOtherEra}
	}
	if s.faults.consumeTxnLoss(txn) {
		return infra.TxnResult{}, &infra.Error{Op: "txn", Kind: infra.Ambiguous, Err: errLost}
	}
	return result, nil
}

// validate returns the error with which the service rejects a transaction
// before executing it.
func (s *KV) validate(txn infra.Txn) (infra.ErrorKind, error) {
	total := 0
	for _, branch := range [][]infra.Op{txn.Then, txn.Else} {
		writtenKeys := make(map[string]bool)
		for _, op := range branch {
			if op.Kind == infra.OpGet {
				continue
			}
			if writtenKeys[op.Key] {
				return infra.Refused, errDuplicate
			}
			writtenKeys[op.Key] = true
			total += len(op.Value)
			if op.Lease != 0 && s.leases[op.Lease] == nil {
				return infra.LeaseNotFound, errNoLease
			}
		}
	}
	if total > maxValueBytes {
		return infra.Refused, errTooLarge
	}
	return 0, nil
}

func (s *KV) apply(txn infra.Txn) infra.TxnResult {
	succeeded := !slices.ContainsFunc(txn.If, func(c infra.Compare) bool { return !s.holds(c) })
	branch := txn.Else
	if succeeded {
		branch = txn.Then
	}
	reads := make([][]infra.Entry, len(branch))
	next := s.revision + 1
	var events []infra.WatchEvent
	for i, op := range branch {
		switch op.Kind {
		case infra.OpGet:
			reads[i] = s.read(op)
		case infra.OpPut:
			events = append(events, s.put(op, next))
		case infra.OpDelete:
			events = append(events, s.remove(op, next)...)
		}
	}
	s.publish(next, events)
	return infra.TxnResult{Succeeded: succeeded, Revision: s.revision, Reads: reads}
}

// holds compares the revisions' numbers only: the service gives them out again
// and can't tell the eras of conditions apart.
func (s *KV) holds(c infra.Compare) bool {
	e := s.entries[c.Key]
	switch c.Target {
	case infra.CompareCreateRevision:
		return infra.NumberOf(e.CreateRevision) == infra.NumberOf(c.Revision)
	case infra.CompareModRevision:
		return infra.NumberOf(e.ModRevision) == infra.NumberOf(c.Revision)
	default:
		return e.Exists() && string(e.Value) == string(c.Value)
	}
}

func (s *KV) read(op infra.Op) []infra.Entry {
	if op.Prefix {
		return s.matching(op.Key)
	}
	if e, ok := s.entries[op.Key]; ok {
		return []infra.Entry{clone(e)}
	}
	return []infra.Entry{}
}

func (s *KV) put(op infra.Op, revision int64) infra.WatchEvent {
	e := infra.Entry{Key: op.Key, Value: slices.Clone(op.Value), CreateRevision: revision, ModRevision: revision, Lease: op.Lease}
	if old, ok := s.entries[op.Key]; ok {
		e.CreateRevision = old.CreateRevision
	}
	s.entries[op.Key] = e
	return infra.WatchEvent{Entry: e}
}

func (s *KV) remove(op infra.Op, revision int64) []infra.WatchEvent {
	keys := []string{op.Key}
	if op.Prefix {
		keys = keysOf(s.matching(op.Key))
	}
	return s.removeKeys(keys, revision)
}

func (s *KV) removeKeys(keys []string, revision int64) []infra.WatchEvent {
	var events []infra.WatchEvent
	for _, key := range keys {
		if _, ok := s.entries[key]; !ok {
			continue
		}
		delete(s.entries, key)
		events = append(events, infra.WatchEvent{Deleted: true, Entry: infra.Entry{Key: key, ModRevision: revision}})
	}
	return events
}

func keysOf(entries []infra.Entry) []string {
	keys := make([]string, len(entries))
	for i, e := range entries {
		keys[i] = e.Key
	}
	return keys
}

// publish adds the events as a new revision to the history and delivers them to
// the watches.
func (s *KV) publish(revision int64, events []infra.WatchEvent) {
	if len(events) == 0 {
		return
	}
	s.revision = revision
	batch := infra.WatchBatch{Events: events, Revision: revision}
	s.history = append(s.history, batch)
	for w := range s.watchers {
		s.deliver(w, batch)
	}
}

// Compact discards the history up to and including the current revision.
func (s *KV) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.history = nil
}

// Snapshot returns a copy of all keys and the revision, for Restore.
func (s *KV) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{revision: s.revision, entries: maps.Clone(s.entries), nextLease: s.nextLease}
}
