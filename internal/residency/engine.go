package residency

import (
	"time"

	"github.com/barleylift/barleylift/internal/topology"
)

// Time constants of one engine. Times are readings of any monotonic clock.
const (
	// loadRequestExpiry is how long a load request is valid unless it is repeated.
	loadRequestExpiry = time.Second
	// minIdle is how long an adapter must have been unused to be evicted. It
	// protects requests sent without an admission; admitted ones count as
	// running until they end.
	minIdle = 400 * time.Millisecond
	// declineAfter is how long an adapter waits for a slot before its requests
	// are declined. Requests run for some seconds, so one of 17 slots becomes
	// free about every tenth of a second.
	declineAfter = 700 * time.Millisecond
	// usageHalfLife is the half-life of use counts; demand shifts within some
	// seconds.
	usageHalfLife = 8 * time.Second
	// maxReportLag is how long a report may lag behind an accepted order. A
	// report that shows fewer orders after that corrects the count.
	maxReportLag = 700 * time.Millisecond
	// initialLoadTime is the assumed load time until one has been measured.
	initialLoadTime = 200 * time.Millisecond
	// typicalReportLag is added to the expected end of an order's effect before a
	// report is fetched: reports are some hundred milliseconds old.
	typicalReportLag = 80 * time.Millisecond
	// firstCheckInterval and maxCheckInterval bound the interval between reports
	// fetched for a load that takes longer than expected.
	firstCheckInterval = 60 * time.Millisecond
	maxCheckInterval   = 500 * time.Millisecond
	// firstLoadCheckShare is the share of the expected load time after which a load
	// is checked for the first time: some loads are shorter than expected.
	firstLoadCheckShare = 0.9
	// minLoadCheckInterval and maxLoadCheckInterval bound the interval between the
	// checks of a load. A check takes one short call; the interval delays callers.
	minLoadCheckInterval = 20 * time.Millisecond
	maxLoadCheckInterval = 80 * time.Millisecond
	// reportChecksAfterUnanswered is how long after an unanswered order loads are
	// looked up in reports: an order without an answer blocks the next one.
	reportChecksAfterUnanswered = 2 * time.Second
	// conflictPause follows an order that met a conflict, or an outdated report
	// while the state is unknown.
	conflictPause = 40 * time.Millisecond
	// unansweredPause follows an order or report request without an answer.
	unansweredPause = 20 * time.Millisecond
	// maxOrderDelay is how long after sending an unanswered order may still be
	// carried out.
	maxOrderDelay = 13 * time.Second
	// maxRecentAdapters bounds the list of adapters that the engine held recently.
	maxRecentAdapters = 96
	// reloadFactor is the load time of a recently held adapter relative to that
	// of one fetched from the weight store.
	reloadFactor = 0.1
	// lateValue is the value of serving a request late relative to serving it in
	// time, and speculativeValue that of a load that nobody waits for yet.
	lateValue        = 0.3
	speculativeValue = 0.1
	// longestWaitInterval is the number of loads of which one is for the adapter
	// that was requested first, so that rare adapters get their turn under load.
	longestWaitInterval = 4
	// maxConcurrentFetches bounds the adapters that one engine fetches from the
	// weight store at once. A fleet's engines together reach the store's full
	// speed with it; more fetches only take longer each, and their order can no
	// longer be changed.
	maxConcurrentFetches = 1
	// maxConcurrentLoads bounds all loads of one engine, with those of recently
	// held adapters, which are short. Engines accept four.
	maxConcurrentLoads = 3
)

// phase is the state of an adapter slot.
type phase int

const (
	// ready: the adapter serves requests.
	ready phase = iota
	// loading: the adapter is being loaded.
	loading
	// replacing: a newer version is loaded once the requests that run on the
	// older one have ended.
	replacing
	// unloading: the adapter is unloaded once the requests that run on it have
	// ended.
	unloading
)

// adapterSlot is an occupied adapter slot of the engine.
type adapterSlot struct {
	phase   phase
	version int64
	// target is the version that is being loaded.
	target int64
	// orderCount is the number of accepted orders right after the slot's last
	// order.
	orderCount int64
	// orderedAt is when that order was accepted, and checkAt when its effect is
	// to be looked up in a report.
	orderedAt     time.Duration
	checkAt       time.Duration
	checkInterval time.Duration
	// isReload is set while an adapter that the engine held recently is loaded,
	// and isFetch while this daemon's load fetches it from the weight store, which
	// gives a sample of the load time.
	isReload bool
	isFetch  bool
	// readyAt is when the last load ended.
	readyAt time.Duration
	// doubtful is set while only a report can show whether the engine holds the
	// adapter.
	doubtful   bool
	lastUsedAt time.Duration
	// decayedUses is the exponentially decayed request count as of decayedAt.
	decayedUses float64
	decayedAt   time.Duration
}

// loadRequest is a request for an adapter that is not ready in the version.
type loadRequest struct {
	version          int64
	demand           Demand
	firstRequestedAt time.Duration
	lastRequestedAt  time.Duration
	// declined is set while the engine can't load the adapter.
	declined bool
}

// Spec describes what an engine can hold.
type Spec struct {
	// Capacity is the number of adapters at once, including those being loaded.
	Capacity int
	// Model is the base model that the engine should hold.
	Model string
	// ModelLoadNotBefore is the earliest time to order a load of the base model.
	ModelLoadNotBefore time.Duration
}

// Engine is the owner's view of one engine. It is not safe for concurrent use.
type Engine struct {
	spec        Spec
	incarnation int64
	// synced is set while the state below is that of the engine after
	// acceptedOrders orders.
	synced         bool
	acceptedOrders int64
	lastAcceptedAt time.Duration
	// loadCount is the number of adapter loads ordered by this daemon.
	loadCount    int
	backoffUntil time.Duration
	// reportChecksUntil is until when loads are looked up in reports.
	reportChecksUntil time.Duration
	models            map[string]int64
	// modelCheckedAt is when a load of the base model was accepted or, if that
	// is later, last looked up.
	modelCheckedAt time.Duration
	modelLoading   bool
	slots          map[topology.Adapter]*adapterSlot
	loadRequests   map[topology.Adapter]*loadRequest
	// reportedRunning counts each entry's running requests as of its last
	// heartbeat: those sent without an admission and those admitted by another
	// daemon.
	reportedRunning map[string]map[topology.Adapter]int
	// admitted holds the requests that this daemon admitted and that have not
	// ended.
	admitted          map[requestKey]admittedRequest
	lastHeartbeatAt   map[string]time.Duration
	recentAdapters    []topology.Adapter
	estimatedLoadTime time.Duration
	// unanswered maps the preconditions of unanswered loads to when they were
	// sent. As long as the engine's process lives, a later order invalidates
	// them. After a restart the new order count may match them by chance:
	// reservedSlots holds the send times of those from earlier incarnations, and
	// a slot is kept free for each.
	unanswered    map[int64]time.Duration
	reservedSlots []time.Duration
}

// NewEngine returns an engine whose state is unknown until the first report.
func NewEngine(spec Spec) *Engine {
	return &Engine{
		spec:              spec,
		models:            make(map[string]int64),
		slots:             make(map[topology.Adapter]*adapterSlot),
		loadRequests:      make(map[topology.Adapter]*loadRequest),
		reportedRunning:   make(map[string]map[topology.Adapter]int),
		admitted:          make(map[requestKey]admittedRequest),
		lastHeartbeatAt:   make(map[string]time.Duration),
		estimatedLoadTime: initialLoadTime,

		unanswered: make(map[int64]time.Duration),
	}
}

// SetSpec replaces the engine's spec.
func (e *Engine) SetSpec(spec Spec) {
	e.spec = spec
}

// Invalidate marks the state as out of sync, as another daemon may have sent
// orders.
func (e *Engine) Invalidate() {
	e.synced = false
}

// Reset records a new incarnation of the engine, which holds nothing.
func (e *Engine) Reset(incarnation int64) {
	for _, sentAt := range e.unanswered {
		e.reservedSlots = append(e.reservedSlots, sentAt)
	}
	clear(e.unanswered)
	e.incarnation = incarnation
	e.synced = false
	e.acceptedOrders = 0
	e.modelLoading = false
	clear(e.models)
	clear(e.slots)
	clear(e.reportedRunning)
	clear(e.admitted)
}

// Incarnation returns the start time of the engine's process in Unix
// milliseconds.
func (e *Engine) Incarnation() int64 {
	return e.incarnation
}

// Demand is what the requests that wait for an adapter gain from its load. A
// load without such requests prepares for later ones.
type Demand struct {
	// Timely is the total weight of the requests that meet their objective if the
	// load starts now, and Due the earliest time at which one of these is due.
	Timely float64
	Due    time.Duration
	// Late is the total weight of those that are served late.
	Late float64
}

// isWaitedFor reports whether a request waits that a load now would serve.
func (d Demand) isWaitedFor() bool {
	return d.Timely > 0 || d.Late > 0
}

// value returns what a load now is worth.
func (d Demand) value() float64 {
	return speculativeValue + d.Timely + lateValue*d.Late
}

// RequestLoad requests an adapter in the version or a newer one.
func (e *Engine) RequestLoad(now time.Duration, adapter topology.Adapter, version int64) {
	r := e.loadRequests[adapter]
	if r == nil {
		r = &loadRequest{firstRequestedAt: now}
		e.loadRequests[adapter] = r
	}
	r.version = max(r.version, version)
	r.lastRequestedAt = now
}

// SetDemand sets the demand for a requested adapter.
func (e *Engine) SetDemand(adapter topology.Adapter, demand Demand) {
	if r := e.loadRequests[adapter]; r != nil {
		r.demand = demand
	}
}

// requestKey identifies a request by its entry and its ticket there.
type requestKey struct {
	entry  string
	ticket uint64
}

// admittedRequest is a request that was admitted and has not ended.
type admittedRequest struct {
	adapter    topology.Adapter
	admittedAt time.Duration
}

// admissionSettleTime is how long after its admission a request may be missing
// from its entry's heartbeats, as these may have been sent before.
const admissionSettleTime = 500 * time.Millisecond

// RecordAdmission records that a request was admitted and is about to be sent.
func (e *Engine) RecordAdmission(now time.Duration, entry string, ticket uint64, adapter topology.Adapter) {
	e.admitted[requestKey{entry, ticket}] = admittedRequest{adapter: adapter, admittedAt: now}
	if s := e.slots[adapter]; s != nil {
		s.lastUsedAt = now
	}
}

// RecordEnd records that an admitted request has ended.
func (e *Engine) RecordEnd(now time.Duration, entry string, ticket uint64) {
	request, ok := e.admitted[requestKey{entry, ticket}]
	if !ok {
		return
	}
	delete(e.admitted, requestKey{entry, ticket})
	if s := e.slots[request.adapter]; s != nil {
		s.lastUsedAt = now
	}
}

// RecordUse records the requests that an entry has sent to the engine since its
// last heartbeat, and those that still run.
func (e *Engine) RecordUse(now time.Duration, entry string, uses []AdapterUse) {
	running := make(map[topology.Adapter]int, len(uses))
	admitted := make(map[topology.Adapter]int, len(uses))
	for _, use := range uses {
		admitted[use.Adapter] = use.Admitted
		if use.Running > 0 {
			running[use.Adapter] = use.Running
		}
		if s := e.slots[use.Adapter]; s != nil && (use.Count > 0 || use.Running > 0) {
			s.lastUsedAt = now
			s.decayedUses = s.usesAt(now) + float64(use.Count)
			s.decayedAt = now
		}
	}
	for key, request := range e.admitted {
		switch {
		case key.entry != entry:
		case admitted[request.adapter] > 0:
			admitted[request.adapter]--
		case now-request.admittedAt > admissionSettleTime:
			// The message that reported its end was lost.
			delete(e.admitted, key)
		}
	}
	for adapter, n := range admitted {
		running[adapter] += n
	}
	e.reportedRunning[entry] = running
	e.lastHeartbeatAt[entry] = now
}

// AdapterUse is an entry's use of one adapter at the engine.
type AdapterUse struct {
	Adapter topology.Adapter
	// Count is the number of requests sent since the last heartbeat.
	Count int
	// Running is the number of running requests that were sent without an
	// admission, Admitted that of those with one.
	Running  int
	Admitted int
}

// RemoveEntry removes an entry and its requests.
func (e *Engine) RemoveEntry(entry string) {
	delete(e.reportedRunning, entry)
	delete(e.lastHeartbeatAt, entry)
	for key := range e.admitted {
		if key.entry == entry {
			delete(e.admitted, key)
		}
	}
}

func (e *Engine) runningRequests(adapter topology.Adapter) int {
	total := 0
	for _, running := range e.reportedRunning {
		total += running[adapter]
	}
	for _, request := range e.admitted {
		if request.adapter == adapter {
			total++
		}
	}
	return total
}

func (s *adapterSlot) usesAt(now time.Duration) float64 {
	return s.decayedUses * decayFactor(now-s.decayedAt)
}

// Running returns the number of requests that run at the engine, as far as this
// daemon knows.
func (e *Engine) Running() int {
	total := len(e.admitted)
	for _, running := range e.reportedRunning {
		for _, n := range running {
			total += n
		}
	}
	return total
}

// Status is the status of a requested adapter that is reported to its entry.
type Status int

// The values of Status.
const (
	// Waiting: the adapter is being loaded or waits to be.
	Waiting Status = iota
	// Ready: the adapter serves requests.
	Ready
	// Declined: the engine can't load the adapter soon.
	Declined
	// Unreachable: no process answers at the engine's address.
	Unreachable
	// NoRoom: the engine's rate limit leaves no room for the request in time.
	NoRoom
	// TooLate: the request's turn would come after its deadline. Only requests of
	// customers get it: builds that don't know it send none.
	TooLate
)

// Status returns the status of an adapter in the version or a newer one.
func (e *Engine) Status(adapter topology.Adapter, version int64) Status {
	s := e.slots[adapter]
	switch {
	case !e.synced:
		return Waiting
	case s != nil && s.phase == ready && s.version >= version:
		return Ready
	case s != nil && (s.phase == unloading || s.phase == replacing) && e.runningRequests(adapter) > 0:
		return Declined
	case s == nil && e.loadRequests[adapter] != nil && e.loadRequests[adapter].declined:
		return Declined
	default:
		return Waiting
	}
}

// HeldAdapters returns the adapters that serve requests.
func (e *Engine) HeldAdapters() []HeldAdapter {
	held := make([]HeldAdapter, 0, len(e.slots))
	for adapter, s := range e.slots {
		if s.phase == ready {
			held = append(held, HeldAdapter{Adapter: adapter, Version: s.version})
		}
	}
	return held
}

// HeldAdapter is an adapter that serves requests.
type HeldAdapter struct {
	Adapter topology.Adapter
	Version int64
}

// HasModel reports whether the engine holds the base model of its spec.
func (e *Engine) HasModel() bool {
	_, ok := e.models[e.spec.Model]
	return ok
}

// Synced reports whether the recorded state matches the engine.
func (e *Engine) Synced() bool {
	return e.synced
}

// PendingLoads returns the number of adapters that are being loaded or wait for
// a load.
func (e *Engine) PendingLoads() int {
	n := 0
	for adapter := range e.loadRequests {
		if s := e.slots[adapter]; s == nil || s.phase != ready {
			n++
		}
	}
	return n
}
