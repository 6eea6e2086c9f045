package fake

import (
	"maps"
	"time"

	"github.com/barleylift/barleylift/internal/infra"
	"golang.org/x/time/rate"
)

// Snapshot is a copy of the service's keys at one revision.
type Snapshot struct {
	revision int64
	entries  map[string]infra.Entry
	// nextLease is the ID of the first lease granted after the snapshot.
	nextLease infra.LeaseID
}

type faults struct {
	down               bool
	watchesStalled     bool
	watchPause         time.Duration
	leasesFrozen       bool
	delay              time.Duration
	loseTxnResponses   int
	loseTxnMatch       func(infra.Txn) bool
	loseGrantResponses int
	readLimit          *rate.Limiter
	writeLimit         *rate.Limiter
}

func readLimiter(f *faults) *rate.Limiter  { return f.readLimit }
func writeLimiter(f *faults) *rate.Limiter { return f.writeLimit }

// consumeTxnLoss reports whether to lose the response of the transaction, and
// decrements the number of responses to lose if so.
func (f *faults) consumeTxnLoss(txn infra.Txn) bool {
	if f.loseTxnResponses == 0 || (f.loseTxnMatch != nil && !f.loseTxnMatch(txn)) {
		return false
	}
	f.loseTxnResponses--
	return true
}

// SetDown makes all calls fail as Unavailable and breaks all watches. Leases
// still expire meanwhile, unless FreezeLeases prevents it.
func (s *KV) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = down
	if down {
		s.breakWatches()
	}
}

// SetDelay delays each call before it takes effect.
func (s *KV) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = d
}

// SetRates limits reads and writes to the given calls per second; calls beyond
// the limit fail as Unavailable. 0 means no limit. The burst is the number of
// calls in a tenth of a second.
func (s *KV) SetRates(reads, writes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.readLimit = newLimiter(reads)
	s.faults.writeLimit = newLimiter(writes)
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// LoseTxnResponses applies the next n transactions that match and then returns
// an Ambiguous error for them. A nil match matches all.
func (s *KV) LoseTxnResponses(n int, match func(infra.Txn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseTxnResponses = n
	s.faults.loseTxnMatch = match
}

// LoseGrantResponses grants the next n leases and then returns an Ambiguous error
// for them.
func (s *KV) LoseGrantResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseGrantResponses = n
}

// StallWatches stops or resumes all messages on watches, including progress
// notifications, without breaking the watches. Changes in between are lost.
func (s *KV) StallWatches(stalled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.watchesStalled = stalled
}

// SetWatchPause sets the time between two batches of a watch. A watch then reads a backlog
// revision by revision and reaches the service's own later.
func (s *KV) SetWatchPause(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.watchPause = d
}

// ExpireLease ends a lease at once.
func (s *KV) ExpireLease(id infra.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] != nil {
		s.endLease(id)
	}
}

// ExpireAllLeases ends all leases at once.
func (s *KV) ExpireAllLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range maps.Clone(s.leases) {
		s.endLease(id)
	}
}

// FreezeLeases stops leases from expiring; unfreezing them restarts each lease's
// time to live, as a restart of the service does.
func (s *KV) FreezeLeases(frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.leasesFrozen = frozen
	for _, l := range s.leases {
		l.extend()
	}
}

// Restore resets the service to a snapshot, including its revision. Leases
// granted since then are removed; keys whose lease has ended are not restored.
// All watches break.
func (s *KV) Restore(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if id >= snapshot.nextLease {
			l.timer.Stop()
			delete(s.leases, id)
		}
	}
	s.revision = snapshot.revision
	s.entries = maps.Clone(snapshot.entries)
	maps.DeleteFunc(s.entries, func(_ string, e infra.Entry) bool {
		return e.Lease != 0 && s.leases[e.Lease] == nil
	})
	s.truncateHistory(snapshot.revision)
	s.breakWatches()
}
