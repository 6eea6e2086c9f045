package locator

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/cost"
	"github.com/barleylift/barleylift/internal/fragility"
	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/ratelimit"
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
	// SendRequest sends an admission request to the owner of an engine; one
	// without a ticket is a load request. It returns false if no owner is known.
	// The owner's answer arrives by HandleStatus, possibly during the call.
	SendRequest func(engine string, request AdmissionRequest) bool
	// SendProgress reports the progress of an admitted request to the owner of
	// its engine.
	SendProgress func(engine string, ticket uint64, progress orders.AdmissionProgress)
	// SendTurnRequest sends a request for the turn of a request to an upstream
	// without an owner. It returns false if no daemon decides on that. The answer
	// arrives by HandleGrant, possibly during the call.
	SendTurnRequest func(request ratelimit.Request) bool
	// OthersRunning returns the number of requests that other VMs have running at a
	// replica's process; 0 if unknown. It is called with Locator.mu held. It may be nil.
	OthersRunning func(now time.Duration, replica string, incarnation int64) int
	Log           *slog.Logger
}

// Locator is an entry's view of the upstreams. It is safe for concurrent use.
type Locator struct {
	config Config
	log    *slog.Logger

	// mu guards the fields below; it is not held during I/O.
	mu       sync.Mutex
	views    map[string]*view
	services map[string]map[string]*view
	// pauses holds the pauses that upstreams asked for, also of some without a view.
	pauses   map[string]*statedPause
	versions map[topology.Adapter]versions
	// versionsSeenAt holds, by service, when software versions were last in use.
	versionsSeenAt map[string]map[string]time.Duration
	// fragile holds, by service, what upstreams say about the refusals that they bear.
	fragile map[string]fragility.Fragility
	waits   map[waitKey]*wait
	// turns holds the requests that wait for the answer to a SendTurnRequest.
	turns map[waitKey]chan ratelimit.Grant
	// admitted holds the admitted requests whose progress has not been reported.
	admitted   map[waitKey]bool
	lastTicket uint64
}

// New returns a Locator without upstreams.
func New(config Config) (*Locator, error) {
	if config.SendRequest == nil || config.SendProgress == nil || config.SendTurnRequest == nil || config.Log == nil {
		return nil, errors.New("locator: SendRequest, SendProgress, SendTurnRequest and Log are required")
	}
	if config.OthersRunning == nil {
		config.OthersRunning = func(time.Duration, string, int64) int { return 0 }
	}
	return &Locator{
		config:         config,
		log:            config.Log.With("part", "locator"),
		views:          make(map[string]*view),
		services:       make(map[string]map[string]*view),
		pauses:         make(map[string]*statedPause),
		versions:       make(map[topology.Adapter]versions),
		versionsSeenAt: make(map[string]map[string]time.Duration),
		fragile:        make(map[string]fragility.Fragility),
		waits:          make(map[waitKey]*wait),
		turns:          make(map[waitKey]chan ratelimit.Grant),
		admitted:       make(map[waitKey]bool),
		lastTicket:     rand.Uint64(),
	}, nil
}

// SetUpstream adds or replaces the registration of an upstream.
func (l *Locator) SetUpstream(upstream topology.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.views[upstream.ID]
	if v != nil && v.upstream.Service != upstream.Service {
		l.remove(upstream.ID)
		v = nil
	}
	if v != nil {
		l.recordVersion(clock.Boot(), v)
		v.update(clock.Boot(), upstream)
		return
	}
	v = newView(upstream, l.pauseOf(upstream.ID))
	l.views[upstream.ID] = v
	if l.services[upstream.Service] == nil {
		l.services[upstream.Service] = make(map[string]*view)
	}
	l.services[upstream.Service][upstream.ID] = v
}

// RemoveUpstream removes an upstream that is no longer registered.
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
	l.recordVersion(clock.Boot(), v)
	delete(l.views, id)
	delete(l.services[v.upstream.Service], id)
}

// Upstream returns the registration of an upstream to which a request is about to
// be sent, unless it is leaving, pauses, or has a rate limit and the request was not
// granted a turn.
func (l *Locator) Upstream(id string, granted bool) (topology.Upstream, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.views[id]
	if v == nil || v.upstream.Leaving || v.pause.Active(clock.Boot()) || v.rateLimit.Limited && !granted {
		return topology.Upstream{}, false
	}
	return v.upstream, true
}

// ApplyState records the state of an engine as reported by its owner.
func (l *Locator) ApplyState(state orders.EngineState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.views[state.Engine]; v != nil {
		v.applyState(clock.Boot(), state)
	}
}

// Need is what a request needs of an engine.
type Need struct {
	Service string
	Adapter topology.Adapter
	// SoftwareVersion is the version of the software that began the request's
	// stream; empty for any.
	SoftwareVersion string
	// Random is a number of the request.
	Random uint64
	// PromptTokens is the length of the prompt, and Links identify its parts.
	PromptTokens int
	Links        []cost.Link
}

// Engines returns the engines for a request, without those that are leaving, pause,
// have no room within their rate limit, lack the base model, have another software
// version or were tried before.
func (l *Locator) Engines(need Need, tried []string) []steer.Engine {
	now := clock.Boot()
	adapter := need.Adapter
	l.mu.Lock()
	defer l.mu.Unlock()
	needed, allowed := l.versions[adapter].at(now)
	engines := make([]steer.Engine, 0, len(l.services[need.Service]))
	for id, v := range l.services[need.Service] {
		if slices.Contains(tried, id) || !v.mayServe(need) || now < v.takesAt(need.Random) {
			continue
		}
		version, held := v.held[adapter]
		engine := steer.Engine{
			ID:               id,
			Running:          v.estimateRunning(now),
			Slots:            v.upstream.Slots,
			Holds:            held && version >= needed,
			HoldsUsableOlder: held && version < needed && version >= allowed,
			HoldsOlder:       held && version < needed,
			LoadsPaused:      now < v.loadsPausedUntil,
			RateLimited:      v.rateLimit.Limited && now-v.rateLimit.ReceivedAt < limitFreshness,
			PendingLoads:     v.state.PendingLoads,
			Queued:           v.estimateWaiting(now),
			Suspect:          v.failures.get(now) >= suspectThreshold,
		}
		v.addWork(now, &engine, need)
		engines = append(engines, engine)
	}
	return engines
}

// Replicas returns the replicas of a plain service, without those that are
// leaving, pause, have no room within their rate limit or were tried before. random
// is a number of the request.
func (l *Locator) Replicas(service string, tried []string, random uint64) []steer.Replica {
	now := clock.Boot()
	l.mu.Lock()
	defer l.mu.Unlock()
	views := l.services[service]
	replicas := make([]steer.Replica, 0, len(views))
	for id, v := range views {
		v.isReplica = true
		if v.upstream.Leaving || slices.Contains(tried, id) || now < v.takesAt(random) {
			continue
		}
		failures := v.failures.get(now)
		replicas = append(replicas, steer.Replica{
			ID:            id,
			Running:       v.running,
			OthersRunning: l.config.OthersRunning(now, id, v.upstream.Incarnation),
			Slots:         v.upstream.Slots,
			SameZone:      v.upstream.Zone == l.config.Zone,
			FailureRate:   failures / (failures + 1),
			WorkSeconds:   v.pace.workAt(now).Seconds(),
			WaitSeconds:   v.expectedWait(now).Seconds(),
			TieBreaker:    xxhash.Sum64String(l.config.Name+id) ^ random,
		})
	}
	return replicas
}

// VersionToSend returns the version of an adapter that an engine is assumed to hold, 0 for none,
// and whether a request may begin on it now. It is asked just before each send, as the request may have waited
// for longer than an older version was allowed.
func (l *Locator) VersionToSend(engine string, adapter topology.Adapter) (version int64, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.views[engine]; v != nil {
		version = v.held[adapter]
	}
	_, oldest := l.versions[adapter].at(clock.Boot())
	return version, version >= oldest
}

// BeginRequest counts a request that is about to be sent to an upstream.
// Admitted reports whether the owner has admitted it.
func (l *Locator) BeginRequest(upstream string, adapter topology.Adapter, admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.views[upstream]
	if v == nil {
		return
	}
	if v.running == 0 {
		v.progressAt = clock.Boot()
	}
	v.running++
	if adapter.Name != "" {
		u := v.useOf(adapter)
		u.count++
		u.add(admitted, 1)
	}
}

// RecordPrompt records that a request with these prompt parts is sent to an engine.
func (l *Locator) RecordPrompt(engine string, links []cost.Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.views[engine]; v != nil {
		v.prompts.RecordSent(clock.Boot(), links)
	}
}

// EndRequest records that a request to an upstream has ended.
func (l *Locator) EndRequest(upstream string, adapter topology.Adapter, admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.views[upstream]
	if v == nil {
		return
	}
	v.running--
	v.progressAt = clock.Boot()
	if adapter.Name != "" {
		v.useOf(adapter).add(admitted, -1)
	}
}

// RecordSuccess records that an upstream served a request, and how long that
// took; 0 if the time is not comparable.
func (l *Locator) RecordSuccess(upstream string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.views[upstream]
	if v == nil {
		return
	}
	v.failures.add(clock.Boot(), -successCredit)
	if took > 0 {
		v.pace.record(clock.Boot(), took)
	}
}

// successCredit is the part of a failure that one success cancels.
const successCredit = 0.25

// RecordFailure records that an upstream failed a request and was itself the
// cause.
func (l *Locator) RecordFailure(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.views[upstream]; v != nil {
		v.failures.add(clock.Boot(), 1)
	}
}

// MarkHeld records that an engine serves an adapter in the version or a newer one.
func (l *Locator) MarkHeld(engine string, adapter topology.Adapter, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.views[engine]; v != nil {
		v.held[adapter] = max(v.held[adapter], version)
	}
}

// MarkNotHeld records that an engine refused a request because it does not hold
// the required version of the adapter.
func (l *Locator) MarkNotHeld(engine string, adapter topology.Adapter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.views[engine]; v != nil {
		delete(v.held, adapter)
	}
}

// NewTicket returns a new ticket for an admission request. Tickets begin at a
// random number, so those of a restarted process differ.
func (l *Locator) NewTicket() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastTicket++
	return l.lastTicket
}

// EngineUse is this entry's use of one engine since the last heartbeat.
type EngineUse struct {
	Engine  string
	Running int
	Uses    []residency.AdapterUse
}

// DrainUses returns the use of each engine since the last call and resets the
// counts. For unusedReports calls after its last use it returns an engine with
// no use, because heartbeats may be lost.
func (l *Locator) DrainUses() []EngineUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	var engineUses []EngineUse
	for id, v := range l.views {
		uses := v.drainUses()
		if len(uses) > 0 || v.running > 0 {
			v.unusedReportsLeft = unusedReports
		} else if v.unusedReportsLeft == 0 {
			continue
		} else {
			v.unusedReportsLeft--
		}
		engineUses = append(engineUses, EngineUse{Engine: id, Running: v.running, Uses: uses})
	}
	return engineUses
}

// unusedReports is the number of reports to an owner that an engine is unused.
const unusedReports = 3
