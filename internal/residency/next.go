package residency

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/topology"
)

// OrderKind is the kind of an order.
type OrderKind int

// The kinds of orders.
const (
	// LoadModel loads the base model.
	LoadModel OrderKind = iota
	// LoadAdapter loads an adapter, or a newer version of one.
	LoadAdapter
	// UnloadAdapter unloads an adapter.
	UnloadAdapter
	// CheckLoad repeats the accepted load of an adapter. The engine answers Accepted
	// again while the load runs and Done as soon as the adapter is ready, which its
	// reports show later.
	CheckLoad
)

// String returns the name of the kind.
func (k OrderKind) String() string {
	switch k {
	case LoadModel:
		return "load model"
	case LoadAdapter:
		return "load adapter"
	case CheckLoad:
		return "check load"
	default:
		return "unload adapter"
	}
}

// Order is a command to the engine to load or unload.
type Order struct {
	Kind    OrderKind
	Adapter topology.Adapter
	// Version is the version to load; 0 for the newest.
	Version int64
	// Precondition is the number of orders that the engine must have accepted
	// before this one.
	Precondition int64
}

// Action is the next step for an engine: a report, an order or a wait.
type Action struct {
	// FetchReport is set if the engine's report should be fetched.
	FetchReport bool
	// Order is the order to send; nil for none.
	Order *Order
	// Wait is the time to the next step, if neither of the above is set.
	Wait time.Duration
}

// idleWait is the wait when nothing is due.
const idleWait = time.Second

// Next returns the next action for the engine.
func (e *Engine) Next(now time.Duration) Action {
	e.expire(now)
	if now < e.backoffUntil {
		return Action{Wait: e.backoffUntil - now}
	}
	if !e.synced || e.reportDue(now) {
		return Action{FetchReport: true}
	}
	if order := e.dueLoadCheck(now); order != nil {
		order.Precondition = e.acceptedOrders
		return Action{Order: order}
	}
	if order := e.nextOrder(now); order != nil {
		order.Precondition = e.acceptedOrders
		return Action{Order: order}
	}
	return Action{Wait: e.wait(now)}
}

func (e *Engine) expire(now time.Duration) {
	for adapter, r := range e.loadRequests {
		s := e.slots[adapter]
		fulfilled := s != nil && s.phase == ready && s.version >= r.version
		if fulfilled || now-r.lastRequestedAt > loadRequestExpiry {
			delete(e.loadRequests, adapter)
		}
	}
	isOld := func(sentAt time.Duration) bool { return now-sentAt > maxOrderDelay }
	maps.DeleteFunc(e.unanswered, func(_ int64, sentAt time.Duration) bool { return isOld(sentAt) })
	e.reservedSlots = slices.DeleteFunc(e.reservedSlots, isOld)
	for entry, heartbeatAt := range e.lastHeartbeatAt {
		if now-heartbeatAt > entryTimeout {
			e.RemoveEntry(entry)
		}
	}
}

// entryTimeout is how long an entry's running requests count after its last
// heartbeat. When an entry has died, its requests end with its connections.
const entryTimeout = 5 * time.Second

// reportDue reports whether a report is needed to look up an order's effect.
func (e *Engine) reportDue(now time.Duration) bool {
	if e.modelLoading && now >= e.modelCheckAt() {
		return true
	}
	for _, s := range e.slots {
		if s.phase != ready && now >= s.checkAt && !e.checkedByOrder(now, s) {
			return true
		}
	}
	return false
}

// checkedByOrder reports whether the slot's load is checked by sending its order
// again instead of by a report.
func (e *Engine) checkedByOrder(now time.Duration, s *adapterSlot) bool {
	return s.phase == loading && !s.doubtful && now >= e.reportChecksUntil
}

// dueLoadCheck returns the check that has been due longest, or nil.
func (e *Engine) dueLoadCheck(now time.Duration) *Order {
	var check *Order
	earliest := now
	for adapter, s := range e.slots {
		if s.checkAt <= earliest && e.checkedByOrder(now, s) {
			earliest = s.checkAt
			check = &Order{Kind: CheckLoad, Adapter: adapter, Version: s.target}
		}
	}
	return check
}

// modelCheckAt returns when to look up the load of the base model in a report.
func (e *Engine) modelCheckAt() time.Duration {
	return e.modelCheckedAt + typicalReportLag
}

// wait returns the time to the next check of the engine.
func (e *Engine) wait(now time.Duration) time.Duration {
	wait := idleWait
	for _, s := range e.slots {
		if s.phase != ready {
			wait = min(wait, s.checkAt-now)
		}
	}
	if e.modelLoading {
		wait = min(wait, e.modelCheckAt()-now)
	}
	if !e.modelLoading && !e.HasModel() && e.spec.Model != "" {
		wait = min(wait, e.spec.ModelLoadNotBefore-now)
	}
	if e.PendingLoads() > 0 {
		wait = min(wait, maxCheckInterval/5)
	}
	return max(wait, time.Millisecond)
}

func (e *Engine) nextOrder(now time.Duration) *Order {
	if e.spec.Model == "" || e.modelLoading || e.waitsForRequests() {
		return nil
	}
	if !e.HasModel() {
		if now < e.spec.ModelLoadNotBefore {
			return nil
		}
		return &Order{Kind: LoadModel, Adapter: topology.Adapter{Model: e.spec.Model}}
	}
	for _, requested := range e.adaptersByValue() {
		if order := e.orderFor(now, requested); order != nil {
			return order
		}
	}
	return nil
}

// waitsForRequests reports whether an unload, or the load of a newer version,
// waits for running requests to end. Until then the engine refuses all other
// orders.
func (e *Engine) waitsForRequests() bool {
	for adapter, s := range e.slots {
		if s.phase == unloading || s.phase == replacing && e.runningRequests(adapter) > 0 {
			return true
		}
	}
	return false
}

// adaptersByValue returns the requested adapters in the order in which to load
// them: by the value of the requests that wait for them, then the one due first.
// When more is requested than can be loaded, this serves the most requests in
// time; in the order of their arrival all would be late. Every
// longestWaitInterval-th load is for the adapter requested first.
func (e *Engine) adaptersByValue() []topology.Adapter {
	adapters := make([]topology.Adapter, 0, len(e.loadRequests))
	for adapter := range e.loadRequests {
		adapters = append(adapters, adapter)
	}
	longestWaitFirst := e.loadCount%longestWaitInterval == longestWaitInterval-1
	slices.SortFunc(adapters, func(a, b topology.Adapter) int {
		return e.loadRequests[a].compare(e.loadRequests[b], longestWaitFirst, a.Name, b.Name)
	})
	return adapters
}

// compare orders two requests by which adapter is loaded first.
func (r *loadRequest) compare(other *loadRequest, longestWaitFirst bool, name, otherName string) int {
	byValue := cmp.Compare(other.demand.value(), r.demand.value())
	byWait := cmp.Compare(r.firstRequestedAt, other.firstRequestedAt)
	byName := cmp.Compare(name, otherName)
	if !longestWaitFirst {
		return cmp.Or(byValue, cmp.Compare(r.demand.Due, other.demand.Due), byWait, byName)
	}
	if isWaited, otherIsWaited := r.demand.isWaitedFor(), other.demand.isWaitedFor(); isWaited != otherIsWaited {
		if isWaited {
			return -1
		}
		return 1
	}
	return cmp.Or(byWait, byName)
}

// orderFor returns the next order towards loading a requested adapter, or nil
// if none can be sent now.
func (e *Engine) orderFor(now time.Duration, adapter topology.Adapter) *Order {
	r := e.loadRequests[adapter]
	r.declined = false
	s := e.slots[adapter]
	load := &Order{Kind: LoadAdapter, Adapter: adapter, Version: r.version}
	switch {
	case adapter.Model != e.spec.Model:
		r.declined = true
		return nil
	case !e.canOrderLoad():
		r.declined = s == nil && now-r.firstRequestedAt > declineAfter
		return nil
	case s != nil && s.phase == ready:
		return load // replaces the held version by a newer one
	case s != nil:
		return nil
	case !e.hasRoomForLoad(adapter):
		return nil
	case len(e.slots)+len(e.reservedSlots) < e.spec.Capacity:
		return load
	}
	evicted, ok := e.evictionCandidate(now)
	if !ok {
		r.declined = now-r.firstRequestedAt > declineAfter
		return nil
	}
	return &Order{Kind: UnloadAdapter, Adapter: evicted}
}

// canOrderLoad reports whether another load may be ordered, given that it may
// remain unanswered. After a restart the engine might carry out all unanswered
// loads, whatever they replaced, so there must never be more than it has slots.
func (e *Engine) canOrderLoad() bool {
	if _, isRepeat := e.unanswered[e.acceptedOrders]; isRepeat {
		return true
	}
	return len(e.unanswered)+len(e.reservedSlots) < e.spec.Capacity
}

// hasRoomForLoad reports whether the engine may load the adapter beside the
// loads in progress.
func (e *Engine) hasRoomForLoad(adapter topology.Adapter) bool {
	loads, fetches := 0, 0
	for _, s := range e.slots {
		if s.phase != loading && s.phase != replacing {
			continue
		}
		loads++
		if !s.isReload {
			fetches++
		}
	}
	if e.heldRecently(adapter) {
		return loads < maxConcurrentLoads
	}
	return loads < maxConcurrentLoads && fetches < maxConcurrentFetches
}

// evictionCandidate returns the adapter with the smallest decayed use count
// among those that are idle and not requested; ties go to the least recently
// used.
func (e *Engine) evictionCandidate(now time.Duration) (topology.Adapter, bool) {
	var best topology.Adapter
	bestUses, bestLastUsedAt := math.Inf(1), time.Duration(math.MaxInt64)
	for adapter, s := range e.slots {
		if s.phase != ready || e.loadRequests[adapter] != nil || now-s.lastUsedAt < minIdle || e.runningRequests(adapter) > 0 {
			continue
		}
		uses := s.usesAt(now)
		better := uses < bestUses || uses == bestUses && (s.lastUsedAt < bestLastUsedAt || s.lastUsedAt == bestLastUsedAt && adapter.Name < best.Name)
		if better {
			best, bestUses, bestLastUsedAt = adapter, uses, s.lastUsedAt
		}
	}
	return best, best.Name != ""
}

// decayFactor returns the factor by which a use count decays over a time.
func decayFactor(age time.Duration) float64 {
	return math.Exp2(-age.Seconds() / usageHalfLife.Seconds())
}
