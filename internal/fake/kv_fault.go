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
	// nextLease is the first lease that the snapshot does not know.
	nextLease infra.LeaseID
}

type faults struct {
	down        bool
	stalled     bool
	frozen      bool
	delay       time.Duration
	loseReplies int
	loseMatch   func(infra.Txn) bool
	loseGrants  int
	reads       *rate.Limiter
	writes      *rate.Limiter
}

func readLimiter(f *faults) *rate.Limiter  { return f.reads }
func writeLimiter(f *faults) *rate.Limiter { return f.writes }

// loseTxn reports whether the reply of the transaction is to be lost.
func (f *faults) loseTxn(txn infra.Txn) bool {
	if f.loseReplies == 0 || (f.loseMatch != nil && !f.loseMatch(txn)) {
		return false
	}
	f.loseReplies--
	return true
}

// SetDown makes all calls fail as Unavailable and breaks all watches. Leases
// go on running out meanwhile, unless FreezeLeases keeps them.
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

// SetRates limits reads and writes to calls a second; what exceeds them fails
// as Unavailable. 0 means no limit. The burst is a tenth of a second's calls.
func (s *KV) SetRates(reads, writes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.reads = newLimiter(reads)
	s.faults.writes = newLimiter(writes)
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// LoseTxnResponses lets the next n transactions that match take effect and then
// fail as Ambiguous. A nil match matches all.
func (s *KV) LoseTxnResponses(n int, match func(infra.Txn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseReplies = n
	s.faults.loseMatch = match
}

// LoseGrantResponses lets the next n grants take effect and then fail as Ambiguous.
func (s *KV) LoseGrantResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseGrants = n
}

// StallWatches makes all watches go silent without ending, progress included.
func (s *KV) StallWatches(stalled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.stalled = stalled
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

// FreezeLeases stops leases from running out; the end of it gives each lease
// its whole time to live again, as a restart of the service does.
func (s *KV) FreezeLeases(frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.frozen = frozen
	for _, l := range s.leases {
		l.extend()
	}
}

// Restore puts the service back to an old state, its revision included. Leases
// granted since then are unknown; keys whose lease has ended are left out. All
// watches break.
func (s *KV) Restore(old Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if id >= old.nextLease {
			l.timer.Stop()
			delete(s.leases, id)
		}
	}
	s.revision = old.revision
	s.entries = maps.Clone(old.entries)
	maps.DeleteFunc(s.entries, func(_ string, e infra.Entry) bool {
		return e.Lease != 0 && s.leases[e.Lease] == nil
	})
	s.restoreHistory(old.revision)
	s.breakWatches()
}
