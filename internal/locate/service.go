package locate

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/peer"
	"github.com/barleylift/barleylift/internal/placement"
)

// Times and sizes of a Service.
const (
	// fallbackCount is the number of engines that are tried when an adapter's
	// home is unreachable.
	fallbackCount = 4
	// replyLifetime is how long a home's reply is used.
	replyLifetime = 2 * time.Second
	// loadLifetime is how long a remote engine's load is used.
	loadLifetime = time.Second
	// queryTimeout bounds one query to another daemon.
	queryTimeout = 250 * time.Millisecond
	// sweepSize is the number of cached replies that starts a sweep of expired ones.
	sweepSize = 4096
)

// LoadSource provides the load of engines that this daemon owns.
type LoadSource interface {
	EngineLoad(engine string, adapter call.AdapterRef) (placement.EngineLoad, bool)
}

// Config holds the dependencies of a Service.
type Config struct {
	Snapshot func() *catalog.Snapshot
	View     ownership.View
	Caller   peer.Caller
	Loads    LoadSource
	// Leaving reports whether the platform lists the VM of an engine's address
	// as leaving; nil for never.
	Leaving func(address string) bool
	Log     *slog.Logger
}

func (c Config) check() error {
	switch {
	case c.Snapshot == nil:
		return errors.New("locate: Snapshot is missing")
	case c.View == nil:
		return errors.New("locate: View is missing")
	case c.Caller == nil:
		return errors.New("locate: Caller is missing")
	case c.Loads == nil:
		return errors.New("locate: Loads is missing")
	case c.Log == nil:
		return errors.New("locate: Log is missing")
	}
	return nil
}

// cachedReply is a cached reply of an adapter's home.
type cachedReply struct {
	engines []string
	expires time.Time
	// calls counts the calls routed by this reply and not yet reported to the home.
	calls int
}

// loadKey identifies the load of one engine as seen for one adapter.
type loadKey struct {
	engine  string
	adapter call.AdapterRef
}

type cachedLoad struct {
	load    placement.EngineLoad
	expires time.Time
}

// Service finds the engines to try for adapters. It is safe for concurrent use.
type Service struct {
	cfg Config
	log *slog.Logger

	// mu guards the caches.
	mu      sync.Mutex
	replies map[call.AdapterRef]*cachedReply
	loads   map[loadKey]cachedLoad

	// homeMu guards home.
	homeMu sync.Mutex
	home   *placement.Home
}

// New returns a Service. Errors name the missing field.
func New(cfg Config) (*Service, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if cfg.Leaving == nil {
		cfg.Leaving = func(string) bool { return false }
	}
	return &Service{
		cfg:     cfg,
		log:     cfg.Log.With("part", "locate"),
		replies: make(map[call.AdapterRef]*cachedReply),
		loads:   make(map[loadKey]cachedLoad),
		home:    placement.NewHome(placement.HomeConfig{}),
	}, nil
}

// Locate returns the engines to try for one call, best first, without those
// that are leaving. It is empty if no engine runs the adapter's base model.
func (s *Service) Locate(ctx context.Context, adapter call.AdapterRef) []string {
	candidates := s.candidates(adapter, fallbackCount)
	if len(candidates) == 0 {
		return nil
	}
	home, ok := s.cfg.View.Owner(ownership.KindEngine, candidates[0])
	if !ok {
		return candidates
	}
	if home.Member == s.cfg.View.Self().Name {
		return s.decide(ctx, adapter, 1)
	}
	if engines, ok := s.cached(adapter); ok {
		return engines
	}
	engines, err := s.queryHome(ctx, home.PeerAddress, adapter)
	if err != nil || len(engines) == 0 {
		s.log.Debug("home gave no engines, using the first candidates", "home", home.Member, "error", err)
		return candidates
	}
	return engines
}

// Invalidate drops the cached reply for an adapter, after one of its engines was
// found to have another owner or to be removed.
func (s *Service) Invalidate(adapter call.AdapterRef) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.replies, adapter)
}

// candidates returns the names of the adapter's first candidate engines in
// rank order.
func (s *Service) candidates(adapter call.AdapterRef, count int) []string {
	snapshot := s.cfg.Snapshot()
	found, ok := snapshot.Adapter(adapter.Name)
	if !ok {
		return nil
	}
	region := s.cfg.View.Self().Region
	var eligible []placement.Candidate
	for _, e := range snapshot.Engines {
		if e.BaseModel != found.BaseModel || e.Leaving || s.cfg.Leaving(e.Address) {
			continue
		}
		if zone, ok := snapshot.Zone(e.Zone); !ok || zone.Region != region {
			continue
		}
		eligible = append(eligible, placement.Candidate{Engine: e.Name, Zone: e.Zone})
	}
	ranked := placement.Rank(eligible, adapter.Name, count)
	names := make([]string, len(ranked))
	for i, c := range ranked {
		names[i] = c.Engine
	}
	return names
}

// cached returns the engines of the home's last reply, unless it has expired, and
// counts the call.
func (s *Service) cached(adapter call.AdapterRef) ([]string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.replies[adapter]
	if !ok {
		return nil, false
	}
	r.calls++
	if time.Now().After(r.expires) {
		return nil, false
	}
	return r.engines, true
}

func (s *Service) queryHome(ctx context.Context, address string, adapter call.AdapterRef) ([]string, error) {
	var r locateReply
	if err := s.query(ctx, address, peer.MethodLocate, locateRequest{Adapter: adapter, Calls: s.drainCalls(adapter)}, &r); err != nil {
		return nil, err
	}
	s.cacheReply(adapter, r.Engines)
	return r.Engines, nil
}

// drainCalls returns the number of calls to report to the home, at least 1 for
// the current one, and resets it.
func (s *Service) drainCalls(adapter call.AdapterRef) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.replies[adapter]
	if !ok {
		return 1
	}
	calls := max(r.calls, 1)
	r.calls = 0
	return calls
}

func (s *Service) cacheReply(adapter call.AdapterRef, engines []string) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.replies) >= sweepSize {
		s.sweep(now)
	}
	s.replies[adapter] = &cachedReply{engines: engines, expires: now.Add(replyLifetime)}
}

// sweep removes expired replies and loads. The caller holds s.mu.
func (s *Service) sweep(now time.Time) {
	for adapter, r := range s.replies {
		if now.After(r.expires) {
			delete(s.replies, adapter)
		}
	}
	for key, l := range s.loads {
		if now.After(l.expires) {
			delete(s.loads, key)
		}
	}
}

// query sends a request to another daemon and receives its reply.
func (s *Service) query(ctx context.Context, address string, method peer.Method, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	stream, err := s.cfg.Caller.Open(ctx, address, method)
	if err != nil {
		return err
	}
	defer stream.Cancel()
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	if err := stream.Send(request); err != nil {
		return err
	}
	return stream.Recv(reply)
}
