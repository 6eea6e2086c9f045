package locate

import (
	"context"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/peer"
	"github.com/barleylift/barleylift/internal/placement"
)

// ServeLocate serves peer.MethodLocate.
func (s *Service) ServeLocate(ctx context.Context, _ peer.Identity, stream peer.Stream) {
	var r locateRequest
	if stream.Recv(&r) != nil {
		return
	}
	first := s.candidates(r.Adapter, 1)
	if len(first) == 0 || !s.owns(first[0]) {
		_ = stream.Send(locateReply{})
		return
	}
	_ = stream.Send(locateReply{Engines: s.decide(ctx, r.Adapter, r.Calls)})
}

// ServeLoad serves peer.MethodLoad.
func (s *Service) ServeLoad(_ context.Context, _ peer.Identity, stream peer.Stream) {
	var r loadRequest
	if stream.Recv(&r) != nil {
		return
	}
	var loads []placement.EngineLoad
	for _, engine := range r.Engines {
		if load, ok := s.cfg.Loads.EngineLoad(engine, r.Adapter); ok {
			loads = append(loads, load)
		}
	}
	_ = stream.Send(loadReply{Loads: loads})
}

func (s *Service) owns(engine string) bool {
	owner, ok := s.cfg.View.Owner(ownership.KindEngine, engine)
	return ok && owner.Member == s.cfg.View.Self().Name
}

// decide chooses the engines as the adapter's home. Candidates of unknown load
// come last, in rank order.
func (s *Service) decide(ctx context.Context, adapter call.AdapterRef, calls int) []string {
	s.homeMu.Lock()
	count := s.home.CandidateCount(adapter)
	s.homeMu.Unlock()
	candidates := s.candidates(adapter, count)
	loads := s.candidateLoads(ctx, adapter, candidates)
	s.homeMu.Lock()
	now := time.Now()
	s.home.Observe(now, adapter, calls)
	engines := s.home.Locate(now, adapter, loads)
	s.homeMu.Unlock()
	return appendMissing(engines, candidates)
}

func appendMissing(engines, candidates []string) []string {
	listed := make(map[string]bool, len(engines))
	for _, e := range engines {
		listed[e] = true
	}
	for _, c := range candidates {
		if !listed[c] {
			engines = append(engines, c)
		}
	}
	return engines
}

// candidateLoads returns the known loads in rank order. It queries the owners of
// engines whose load is not cached in parallel.
func (s *Service) candidateLoads(ctx context.Context, adapter call.AdapterRef, candidates []string) []placement.EngineLoad {
	loadOf := make(map[string]placement.EngineLoad, len(candidates))
	missing := make(map[string][]string)
	now := time.Now()
	for _, engine := range candidates {
		if load, ok := s.knownLoad(now, engine, adapter); ok {
			loadOf[engine] = load
			continue
		}
		if owner, ok := s.cfg.View.Owner(ownership.KindEngine, engine); ok && owner.Member != s.cfg.View.Self().Name {
			missing[owner.PeerAddress] = append(missing[owner.PeerAddress], engine)
		}
	}
	for _, load := range s.queryLoads(ctx, adapter, missing) {
		loadOf[load.Engine] = load
	}
	loads := make([]placement.EngineLoad, 0, len(loadOf))
	for _, engine := range candidates {
		if load, ok := loadOf[engine]; ok {
			loads = append(loads, load)
		}
	}
	return loads
}

func (s *Service) knownLoad(now time.Time, engine string, adapter call.AdapterRef) (placement.EngineLoad, bool) {
	if load, ok := s.cfg.Loads.EngineLoad(engine, adapter); ok {
		return load, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	cached, ok := s.loads[loadKey{engine: engine, adapter: adapter}]
	return cached.load, ok && now.Before(cached.expires)
}

// queryLoads queries owners, by address, for the loads of their engines.
func (s *Service) queryLoads(ctx context.Context, adapter call.AdapterRef, missing map[string][]string) []placement.EngineLoad {
	var (
		group sync.WaitGroup
		mu    sync.Mutex
		all   []placement.EngineLoad
	)
	for address, engines := range missing {
		group.Go(func() {
			var r loadReply
			err := s.query(ctx, address, peer.MethodLoad, loadRequest{Adapter: adapter, Engines: engines}, &r)
			if err != nil {
				s.log.Debug("load query failed, continuing without these loads", "address", address, "error", err)
				return
			}
			s.cacheLoads(adapter, r.Loads)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, r.Loads...)
		})
	}
	group.Wait()
	return all
}

func (s *Service) cacheLoads(adapter call.AdapterRef, loads []placement.EngineLoad) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.loads) >= sweepSize {
		s.sweep(now)
	}
	for _, load := range loads {
		s.loads[loadKey{engine: load.Engine, adapter: adapter}] = cachedLoad{load: load, expires: now.Add(loadLifetime)}
	}
}
