package catalog

import (
	"bytes"
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/metrics"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/peer"
)

// StoreConfig configures a Store. KV, Self, Metrics, Log and StaleBound are
// required; without Caller or Members the store uses the key-value service only.
type StoreConfig struct {
	KV     infra.KV
	Caller peer.Caller
	// Members returns the members of the fleet, including this daemon.
	Members func() []ownership.Member
	// Self is this daemon's name.
	Self    string
	Metrics *metrics.Set
	Log     *slog.Logger
	// StaleBound is how long the configuration counts as fresh after the last
	// exchange with the key-value service or a peer.
	StaleBound time.Duration
}

// ConfigError means that a required field of StoreConfig is missing or invalid.
type ConfigError struct {
	Field string
}

// Error names the field.
func (e *ConfigError) Error() string {
	return "configuration store: " + e.Field + " is required"
}

// Store holds the configuration generation in force. It never adopts a lower
// generation, nor different contents under the same generation. All methods are
// safe for concurrent use.
type Store struct {
	cfg StoreConfig

	// mu serialises adoption and subscription, so that subscribers receive the
	// generations in order. It is held while subscribers run. The store itself
	// takes no other lock while it holds mu.
	mu          sync.Mutex
	subscribers []func(*Snapshot)

	current         atomic.Pointer[generationState]
	ready           chan struct{}
	lastContact     contactTime
	lastReport      atomic.Pointer[regressionReport]
	announce        chan struct{}
	pullRequests    chan ownership.Member
	restoreRequests chan struct{}
	cancel          context.CancelFunc
	tasks           sync.WaitGroup
	startOnce       sync.Once
}

// NewStore returns a store that is idle until Start is called.
func NewStore(cfg StoreConfig) (*Store, error) {
	switch {
	case cfg.KV == nil:
		return nil, &ConfigError{Field: "KV"}
	case cfg.Self == "":
		return nil, &ConfigError{Field: "Self"}
	case cfg.Metrics == nil:
		return nil, &ConfigError{Field: "Metrics"}
	case cfg.Log == nil:
		return nil, &ConfigError{Field: "Log"}
	case cfg.StaleBound <= 0:
		return nil, &ConfigError{Field: "StaleBound"}
	}
	cfg.Log = cfg.Log.With("part", "configuration")
	return &Store{
		cfg:             cfg,
		ready:           make(chan struct{}),
		announce:        make(chan struct{}, 1),
		pullRequests:    make(chan ownership.Member, 1),
		restoreRequests: make(chan struct{}, 1),
	}, nil
}

// Start follows the configuration in the background until ctx ends or Stop is
// called. It does not wait for the first generation; see Ready.
func (s *Store) Start(ctx context.Context) {
	s.startOnce.Do(func() {
		ctx, s.cancel = context.WithCancel(ctx)
		s.lastContact.record()
		s.tasks.Go(func() { s.run(ctx) })
	})
}

// run adopts a first generation if there is one, then follows the service and the
// peers.
func (s *Store) run(ctx context.Context) {
	s.bootstrap(ctx)
	s.tasks.Go(func() { s.followService(ctx) })
	s.tasks.Go(func() { s.gossip(ctx) })
	s.tasks.Go(func() { s.restoreOnRequest(ctx) })
}

// Stop stops the store's goroutines and waits for them. The snapshot in force
// stays readable.
func (s *Store) Stop() {
	if s.cancel != nil {
		s.cancel()
	}
	s.tasks.Wait()
}

// Current returns the snapshot in force; nil before the first.
func (s *Store) Current() *Snapshot {
	if st := s.current.Load(); st != nil {
		return st.snapshot
	}
	return nil
}

// Generation returns the number of the generation in force; 0 before the first.
func (s *Store) Generation() uint64 {
	if st := s.current.Load(); st != nil {
		return st.head.Generation
	}
	return 0
}

// Ready returns a channel that is closed when the first generation is in force.
func (s *Store) Ready() <-chan struct{} {
	return s.ready
}

// Subscribe registers f to be called with each generation that is adopted, in
// order and one at a time. If one is already in force, f is called with it before
// Subscribe returns. f must return soon and must not call Subscribe.
func (s *Store) Subscribe(f func(*Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, f)
	if snapshot := s.Current(); snapshot != nil {
		f(snapshot)
	}
}

// Fresh reports whether the key-value service or a peer was reached within the
// stale bound. It is false before the first generation is in force.
func (s *Store) Fresh() bool {
	return s.current.Load() != nil && s.lastContact.age() <= s.cfg.StaleBound
}

// headOrder is the result of comparing a head with the generation in force.
type headOrder int

const (
	same headOrder = iota
	newer
	older
	forked
)

func (s *Store) compareHead(h Head) headOrder {
	st := s.current.Load()
	switch {
	case st == nil || h.Generation > st.head.Generation:
		return newer
	case h.Generation < st.head.Generation:
		return older
	case bytes.Equal(h.Nonce, st.head.Nonce) || h.contentID() == st.contentID:
		return same
	default:
		return forked
	}
}

// adopt puts a generation in force if it is newer than the current one. built may
// have been assembled from an earlier state than the current one.
func (s *Store) adopt(built *generationState, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.compareHead(built.head) != newer {
		return
	}
	first := s.current.Load() == nil
	s.current.Store(built)
	s.lastReport.Store(nil)
	s.cfg.Metrics.Generation(built.head.Generation)
	s.cfg.Log.Info("adopted configuration generation", "generation", built.head.Generation, "source", source)
	for _, f := range s.subscribers {
		f(built.snapshot)
	}
	if first {
		close(s.ready)
	}
	notify(s.announce)
}

// regressionReport identifies the regression that was reported last, so that it
// is counted and logged once.
type regressionReport struct {
	generation uint64
	contentID  Hash
}

// reportRegression counts and logs a head that must not be adopted.
func (s *Store) reportRegression(h Head, message, source string) {
	report := regressionReport{h.Generation, h.contentID()}
	if last := s.lastReport.Swap(&report); last != nil && *last == report {
		return
	}
	s.cfg.Metrics.Regression()
	s.cfg.Log.Error(message, "seen", h.Generation, "in_force", s.Generation(), "source", source)
}

// notify sends to a channel with a buffer of one. It does nothing if a
// notification is already pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// contactTime is the time at which the service or a peer was last reached.
type contactTime struct {
	at atomic.Pointer[time.Time]
}

func (c *contactTime) record() {
	now := time.Now()
	c.at.Store(&now)
}

// age returns the larger of the monotonic and the wall clock time since the last
// contact, since the monotonic clock may stop while a VM is paused.
func (c *contactTime) age() time.Duration {
	at := c.at.Load()
	if at == nil {
		return 1<<63 - 1
	}
	return clock.Elapsed(*at, time.Now())
}

// shuffledPeers returns the other members in random order; none without Caller
// or Members.
func (s *Store) shuffledPeers() []ownership.Member {
	if s.cfg.Caller == nil || s.cfg.Members == nil {
		return nil
	}
	var others []ownership.Member
	for _, m := range s.cfg.Members() {
		if m.Name != s.cfg.Self {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
}
