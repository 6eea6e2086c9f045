package owner

import (
	"context"
	"net/url"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/placement"
)

// Pool runs the engines that this daemon owns. It is safe for concurrent use.
type Pool struct {
	config  Config
	workers *workers
	ctx     context.Context
	cancel  context.CancelFunc
	ticking sync.WaitGroup
	// releasing tracks pending releases, each bounded by releaseTimeout.
	releasing sync.WaitGroup

	// mu guards the fields below. It is held only to read or change them.
	mu       sync.Mutex
	holdings map[string]ownership.Holding
	tenures  map[string]*tenure
	// retired holds tenures that have ended but still serve calls.
	retired  map[*tenure]struct{}
	leaving  map[string]bool
	vms      vmView
	draining bool
}

// vmView is the last list of VMs from the platform.
type vmView struct {
	addresses map[string]bool
	updatedAt time.Time
}

var _ ownership.Listener = (*Pool)(nil)

// NewPool returns a running pool without engines. Stop ends it.
func NewPool(config Config) (*Pool, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	config.setDefaults()
	config.Log = config.Log.With("part", "owner")
	p := &Pool{
		config:   config,
		workers:  newWorkers(config.Workers),
		holdings: map[string]ownership.Holding{},
		tenures:  map[string]*tenure{},
		retired:  map[*tenure]struct{}{},
		leaving:  map[string]bool{},
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.ticking.Go(p.tick)
	return p, nil
}

// Stop cancels all calls and tasks. For a graceful shutdown, call Drain first.
func (p *Pool) Stop() {
	p.cancel()
	p.ticking.Wait()
	for _, t := range p.all() {
		t.end(call.Failed(call.NotRun, call.CodeDraining, "the daemon stops"))
		t.cancelAll()
	}
	p.workers.stop()
	for _, t := range p.all() {
		t.client.Close()
	}
}

// tick runs the periodic work of every tenure and of the pool.
func (p *Pool) tick() {
	ticker := time.NewTicker(p.config.ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-p.ctx.Done():
			return
		}
		for _, t := range p.all() {
			t.tick(time.Now())
		}
		p.reconcile()
	}
}

// all returns the current tenures and the retired ones.
func (p *Pool) all() []*tenure {
	p.mu.Lock()
	defer p.mu.Unlock()
	tenures := make([]*tenure, 0, len(p.tenures)+len(p.retired))
	for _, t := range p.tenures {
		tenures = append(tenures, t)
	}
	for t := range p.retired {
		tenures = append(tenures, t)
	}
	return tenures
}

// reconcile removes retired tenures that have finished and starts the tenures
// that are missing, such as those of engines whose configuration has changed.
func (p *Pool) reconcile() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for t := range p.retired {
		if t.isFinished() {
			delete(p.retired, t)
			t.client.Close()
		}
	}
	p.startMissing(p.config.Snapshot())
}

// Gained implements ownership.Listener.
func (p *Pool) Gained(h ownership.Holding) {
	if h.Resource.Kind != ownership.KindEngine {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retire(h.Resource.ID, "ownership changed")
	p.holdings[h.Resource.ID] = h
	p.startMissing(p.config.Snapshot())
}

// Lost implements ownership.Listener. Running calls continue to their end.
func (p *Pool) Lost(h ownership.Holding) {
	if h.Resource.Kind != ownership.KindEngine {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if held, ok := p.holdings[h.Resource.ID]; !ok || held.Token != h.Token {
		return
	}
	delete(p.holdings, h.Resource.ID)
	p.retire(h.Resource.ID, "ownership lost")
}

// retire ends a tenure. Its running calls continue. The caller holds p.mu.
func (p *Pool) retire(engine, reason string) {
	t, ok := p.tenures[engine]
	if !ok {
		return
	}
	delete(p.tenures, engine)
	p.retired[t] = struct{}{}
	t.log.Info("tenure ended", "reason", reason)
	t.end(notOwner(engine))
}

// startMissing starts a tenure for each held engine that is configured and has
// none. It skips an engine until a retired tenure under the same token has
// finished. The caller holds p.mu.
func (p *Pool) startMissing(snapshot *catalog.Snapshot) {
	if p.ctx.Err() != nil || p.draining || snapshot == nil {
		return
	}
	for name, holding := range p.holdings {
		spec, configured := snapshot.Engine(name)
		if p.tenures[name] != nil || !configured || p.hasRetiredTenure(holding) {
			continue
		}
		t, err := newTenure(p, spec, holding.Token)
		if err != nil {
			p.config.Log.Error("creating an engine's client failed; trying again at the next tick", "engine", name, "error", err)
			continue
		}
		t.setLeaving(spec.Leaving || p.leaving[hostOf(spec.Address)])
		p.tenures[name] = t
		t.tick(time.Now())
	}
}

// hasRetiredTenure reports whether a retired tenure of the same engine and
// token has not finished yet. The caller holds p.mu.
func (p *Pool) hasRetiredTenure(h ownership.Holding) bool {
	for t := range p.retired {
		if t.name == h.Resource.ID && t.token == h.Token {
			return true
		}
	}
	return false
}

// Apply applies a new configuration. An engine that is leaving or no longer
// configured gets no new calls. An engine whose description has changed gets no
// new calls until its running calls have ended.
func (p *Pool) Apply(snapshot *catalog.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, t := range p.tenures {
		spec, configured := snapshot.Engine(name)
		if !configured || !sameEngine(spec, t.spec) {
			p.retire(name, "configuration changed")
			continue
		}
		t.setLeaving(spec.Leaving || p.leaving[hostOf(spec.Address)])
	}
	p.startMissing(snapshot)
}

// sameEngine reports whether two descriptions are equal except for Leaving.
func sameEngine(a, b catalog.Engine) bool {
	a.Leaving = b.Leaving
	return a == b
}

// ApplyVMs applies the platform's list of VMs. Engines on leaving VMs get no
// new calls. A predecessor whose VM is not listed is no longer waited for, see
// hasPredecessorEnded.
func (p *Pool) ApplyVMs(vms []infra.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = vmView{addresses: make(map[string]bool, len(vms)), updatedAt: time.Now()}
	clear(p.leaving)
	for _, vm := range vms {
		p.vms.addresses[vm.Address] = true
		if vm.State == infra.VMLeaving {
			p.leaving[hostOf(vm.Address)] = true
		}
	}
	p.applyLeaving()
}

// applyLeaving updates for every tenure whether its engine is leaving. The
// caller holds p.mu.
func (p *Pool) applyLeaving() {
	for name, t := range p.tenures {
		spec, configured := p.config.Snapshot().Engine(name)
		t.setLeaving(!configured || spec.Leaving || p.leaving[hostOf(spec.Address)])
	}
}

// hostOf returns the host:port of a base URL, or the text itself if it is not a
// URL.
func hostOf(address string) string {
	if u, err := url.Parse(address); err == nil && u.Host != "" {
		return u.Host
	}
	return address
}

// tenureOf returns the tenure of an engine, and whether this daemon owns the
// engine and is not draining.
func (p *Pool) tenureOf(engine string) (*tenure, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.tenures[engine]
	return t, ok && !p.draining
}

// EngineLoad returns the load of an engine for placement. It returns false if
// this daemon does not own the engine or the engine takes no calls.
func (p *Pool) EngineLoad(engine string, adapter call.AdapterRef) (placement.EngineLoad, bool) {
	t, ok := p.tenureOf(engine)
	if !ok {
		return placement.EngineLoad{}, false
	}
	return t.engineLoad(adapter)
}

// Pressure returns the sum of (urgency + 1) × seconds waited over the calls
// that wait for an adapter at an engine, or 0 if this daemon does not own it.
func (p *Pool) Pressure(engine string, adapter call.AdapterRef) float64 {
	t, ok := p.tenureOf(engine)
	if !ok {
		return 0
	}
	return t.pressure(adapter, time.Now())
}

func notOwner(engine string) call.Result {
	return call.Failed(call.NotRun, call.CodeNotOwner, "engine "+engine+" has another owner").WithRetryAfter(shortRetryAfter)
}
