package locator

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/steer"
	"github.com/barleylift/barleylift/internal/topology"
	"github.com/cespare/xxhash/v2"
)

// Config holds the dependencies of a Locator.
type Config struct {
	// Zone is this daemon's availability zone, and Name its VM.
	Zone string
	Name string
	// SendRequest passes an ask on to the owner of an engine; one without a ticket asks
	// for the adapter only. It returns false if no owner is known. The answer
	// comes by Told, perhaps within the call.
	SendRequest func(engine string, ask AdmissionRequest) bool
	// SendProgress tells the owner of an engine that a turn is over, or its request ended.
	SendProgress func(engine string, ticket uint64, progress orders.AdmissionProgress)
	Log          *slog.Logger
}

// Locator is an entry's view of the upstreams. It is safe for concurrent use.
type Locator struct {
	config Config
	log    *slog.Logger

	// mu guards the fields below; it is not held during I/O.
	mu       sync.Mutex
	views    map[string]*view
	services map[string]map[string]*view
	versions map[topology.Adapter]versions
	waits    map[waitKey]*wait
	// admitted are the turns that requests have and that are not over.
	admitted   map[waitKey]bool
	lastTicket uint64
}

// New returns a Locator without upstreams.
func New(config Config) (*Locator, error) {
	if config.SendRequest == nil || config.SendProgress == nil || config.Log == nil {
		return nil, errors.New("locator: Ask, Begun and Log are required")
	}
	return &Locator{
		config:     config,
		log:        config.Log.With("part", "locator"),
		views:      make(map[string]*view),
		services:   make(map[string]map[string]*view),
		versions:   make(map[topology.Adapter]versions),
		waits:      make(map[waitKey]*wait),
		admitted:   make(map[waitKey]bool),
		lastTicket: rand.Uint64(),
	}, nil
}

// SetUpstream takes over a registration that is new or has changed.
func (l *Locator) SetUpstream(upstream topology.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.views[upstream.ID]
	if v != nil && v.upstream.Service != upstream.Service {
		l.remove(upstream.ID)
		v = nil
	}
	if v != nil {
		v.update(clock.Boot(), upstream)
		return
	}
	v = newView(upstream)
	l.views[upstream.ID] = v
	if l.services[upstream.Service] == nil {
		l.services[upstream.Service] = make(map[string]*view)
	}
	l.services[upstream.Service][upstream.ID] = v
}

// RemoveUpstream forgets an upstream that is gone.
func (l *Locator) RemoveUpstream(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(id)
}

func (l *Locator) remove(id string) {
	v := l.views[id]
	if v == nil {
		return
	}
	delete(l.views, id)
	delete(l.services[v.upstream.Service], id)
}

// Upstream returns the registration of an upstream that may get requests.
func (l *Locator) Upstream(id string) (topology.Upstream, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.views[id]
	if v == nil || v.upstream.Leaving {
		return topology.Upstream{}, false
	}
	return v.upstream, true
}

// ApplyState takes over what the owner of an engine told.
func (l *Locator) ApplyState(state orders.EngineState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.views[state.Engine]; v != nil {
		v.applyState(clock.Boot(), state)
	}
}

// Engines returns what is known of the engines of a service for a request for
// an adapter, without those that are leaving, lack the base model or were
// tried before.
func (l *Locator) Engines(service string, adapter topology.Adapter, tried []string) []steer.Engine {
	now := clock.Boot()
	l.mu.Lock()
	defer l.mu.Unlock()
	needed, allowed := l.versions[adapter].at(now)
	list := make([]steer.Engine, 0, len(l.services[service]))
	for id, v := range l.services[service] {
		if v.upstream.Leaving || slices.Contains(tried, id) || !v.holdsModel(adapter.Model) {
			continue
		}
		version, held := v.held[adapter]
		list = append(list, steer.Engine{
			ID:               id,
			Running:          v.estimateRunning(now),
			Slots:            v.upstream.Slots,
			Holds:            held && version >= needed,
			HoldsUsableOlder: held && version < needed && version >= allowed,
			HoldsOlder:       held && version < needed,
			LoadsPaused:      now < v.orderlessUntil,
			PendingLoads:     v.state.PendingLoads,
			Queued:           v.estimateWaiting(now),
			Suspect:          v.failures.get(now) >= suspectThreshold,
		})
	}
	return list
}

// Replicas returns what is known of the replicas of a plain service.
func (l *Locator) Replicas(service string, tried []string) []steer.Replica {
	now := clock.Boot()
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]steer.Replica, 0, len(l.services[service]))
	for id, v := range l.services[service] {
		if v.upstream.Leaving || slices.Contains(tried, id) {
			continue
		}
		failures := v.failures.get(now)
		list = append(list, steer.Replica{
			ID:             id,
			Running:        v.running,
			Slots:          v.upstream.Slots,
			SameZone:       v.upstream.Zone == l.config.Zone,
			FailureRate:    failures / (failures + 1),
			LatencySeconds: v.latency.Seconds(),
			TieBreaker:     xxhash.Sum64String(l.config.Name + id),
		})
	}
	return list
}

// HeldVersion returns the version of an adapter that an engine is believed to hold.
func (l *Locator) HeldVersion(engine string, adapter topology.Adapter) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.views[engine]; v != nil {
		return v.held[adapter]
	}
	return 0
}

// BeginRequest counts a request that is about to be sent to an upstream. Turned tells
// that it has a turn there.
func (l *Locator) BeginRequest(upstream string, adapter topology.Adapter, turned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.views[upstream]
	if v == nil {
		return
	}
	v.running++
	if adapter.Name != "" {
		u := v.useOf(adapter)
		u.count++
		u.add(turned, 1)
	}
}

// EndRequest takes over that a request to an upstream has ended.
func (l *Locator) EndRequest(upstream string, adapter topology.Adapter, turned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.views[upstream]
	if v == nil {
		return
	}
	v.running--
	if adapter.Name != "" {
		v.useOf(adapter).add(turned, -1)
	}
}

// RecordSuccess takes over that an upstream served a request, and how long the
// work took; 0 if that says nothing.
func (l *Locator) RecordSuccess(upstream string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.views[upstream]
	if v == nil {
		return
	}
	v.failures.add(clock.Boot(), -successCredit)
	if took > 0 {
		const weight = 0.1
		v.latency += time.Duration(weight * float64(took-v.latency))
	}
}

// successCredit is what a success takes off the aged failures.
const successCredit = 0.25

// RecordFailure takes over that an upstream failed a request on its own account.
func (l *Locator) RecordFailure(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.views[upstream]; v != nil {
		v.failures.add(clock.Boot(), 1)
	}
}

// MarkNotHeld takes over that an engine refused a request because it does not
// hold the adapter in the version.
func (l *Locator) MarkNotHeld(engine string, adapter topology.Adapter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.views[engine]; v != nil {
		delete(v.held, adapter)
	}
}

// NewTicket returns a new ticket for a turn. Tickets of a restarted process differ.
func (l *Locator) NewTicket() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastTicket++
	return l.lastTicket
}

// EngineUse is this entry's use of one engine since the last notice.
type EngineUse struct {
	Engine  string
	Running int
	Uses    []residency.AdapterUse
}

// DrainUses returns the use of each engine that is used, and for some calls
// after its last use that it is not any more: news of that may be lost.
func (l *Locator) DrainUses() []EngineUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []EngineUse
	for id, v := range l.views {
		uses := v.drainUses()
		if len(uses) > 0 || v.running > 0 {
			v.unusedReportsLeft = unusedReports
		} else if v.unusedReportsLeft == 0 {
			continue
		} else {
			v.unusedReportsLeft--
		}
		list = append(list, EngineUse{Engine: id, Running: v.running, Uses: uses})
	}
	return list
}

// unusedReports is how often an owner is told that an engine is not used.
const unusedReports = 3
