package residency

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/topology"
	"pgregory.net/rapid"
)

func adapter(n int) topology.Adapter {
	return topology.Adapter{Model: "m", Name: fmt.Sprint("a", n)}
}

// fakeEngine follows the platform's description of an engine: it counts accepted
// orders, checks that count as a precondition, may carry out an unanswered order
// late, and reports its state with a lag.
type fakeEngine struct {
	t        interface{ Fatalf(string, ...any) }
	slots    int
	orders   int64
	loaded   bool
	held     map[topology.Adapter]int64
	loading  map[topology.Adapter]pendingLoad
	delayed  []delayedOrder
	reports  []topology.EngineReport
	restarts int64
}

type pendingLoad struct {
	version int64
	readyAt time.Duration
}

type delayedOrder struct {
	order   Order
	arrival time.Duration
}

const (
	fakeLoadTime = 200 * time.Millisecond
)

func newFakeEngine(t interface{ Fatalf(string, ...any) }, slots int) *fakeEngine {
	return &fakeEngine{t: t, slots: slots, loaded: true, held: map[topology.Adapter]int64{}, loading: map[topology.Adapter]pendingLoad{}}
}

// advance finishes the loads and carries out the delayed orders that are due.
func (f *fakeEngine) advance(now time.Duration) {
	for a, l := range f.loading {
		if now >= l.readyAt {
			delete(f.loading, a)
			f.held[a] = l.version
		}
	}
	var remaining []delayedOrder
	for _, d := range f.delayed {
		if now >= d.arrival {
			f.carryOut(now, d.order)
		} else {
			remaining = append(remaining, d)
		}
	}
	f.delayed = remaining
}

func (f *fakeEngine) carryOut(now time.Duration, order Order) OrderResult {
	if order.Precondition != f.orders {
		return Conflict
	}
	switch order.Kind {
	case LoadModel:
		if f.loaded {
			return Done
		}
		f.orders++
		f.loaded = true
		return Accepted
	case UnloadAdapter:
		if _, ok := f.held[order.Adapter]; !ok {
			return Done
		}
		f.orders++
		delete(f.held, order.Adapter)
		return Done
	}
	if !f.loaded {
		return Refused
	}
	version := max(order.Version, 1)
	if f.held[order.Adapter] == version {
		return Done
	}
	if l, isLoading := f.loading[order.Adapter]; isLoading && l.version == version {
		return Accepted
	}
	if len(f.loading) >= 4 {
		return Conflict
	}
	if _, isReplacement := f.held[order.Adapter]; !isReplacement && len(f.held)+len(f.loading) >= f.slots {
		f.t.Fatalf("at %v: order exceeds the %d slots: %+v", now, f.slots, order)
	}
	f.orders++
	delete(f.held, order.Adapter)
	f.loading[order.Adapter] = pendingLoad{version: version, readyAt: now + fakeLoadTime}
	return Accepted
}

func (f *fakeEngine) report() topology.EngineReport {
	r := topology.EngineReport{AcceptedOrders: f.orders, Incarnation: 1 + f.restarts}
	if f.loaded {
		model := topology.HeldModel{Name: "m", Version: 1}
		for a, version := range f.held {
			model.Adapters = append(model.Adapters, topology.HeldAdapter{Name: a.Name, Version: version})
		}
		r.Models = []topology.HeldModel{model}
	}
	for a, l := range f.loading {
		r.Loading = append(r.Loading, topology.LoadingAdapter{Adapter: a, Version: l.version})
	}
	return r
}

func (f *fakeEngine) restart() {
	f.restarts++
	f.orders = 0
	f.loaded = false
	f.reports = nil
	clear(f.held)
	clear(f.loading)
}

// Under lost answers, delayed orders, lagging reports and restarts, no order
// exceeds the slots, and a requested adapter becomes ready once faults end.
func TestOrdersNeverExceedTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		f := newFakeEngine(t, slots)
		e := NewEngine(Spec{Capacity: slots, Model: "m"})
		e.Reset(1)
		now := time.Duration(0)
		withFaults := true
		advance := func(by time.Duration) {
			now += by
			f.advance(now)
			f.reports = append(f.reports, f.report())
			runActions(t, f, e, now, withFaults)
		}
		step := func() { advance(time.Duration(rapid.IntRange(1, 120).Draw(t, "ms")) * time.Millisecond) }
		fixedStep := func() { advance(60 * time.Millisecond) }
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "want") == 0 {
				e.RequestLoad(now, adapter(rapid.IntRange(0, 9).Draw(t, "adapter")), int64(rapid.IntRange(0, 2).Draw(t, "version")))
			}
			if rapid.IntRange(0, 60).Draw(t, "restart") == 0 {
				f.restart()
			}
			step()
		}
		withFaults = false
		requested := adapter(0)
		// After maxOrderDelay all slots are used again; the rest covers some loads.
		for deadline := now + maxOrderDelay + 5*time.Second; now < deadline; {
			e.RequestLoad(now, requested, 2)
			if e.Status(requested, 2) == Ready {
				if f.held[requested] >= 2 {
					return
				}
				// The engine refuses a request, as after a restart that has not
				// been reported yet.
				e.MarkDoubtful(now, requested)
			}
			fixedStep()
		}
		t.Fatalf("adapter not ready long after the last fault")
	})
}

// runActions carries out the actions returned by Next until it returns a wait.
func runActions(t *rapid.T, f *fakeEngine, e *Engine, now time.Duration, withFaults bool) {
	for range 8 {
		action := e.Next(now)
		switch {
		case action.FetchReport:
			lag := 0
			if withFaults {
				lag = rapid.IntRange(0, 2).Draw(t, "lag")
			}
			e.ApplyReport(now, f.reports[max(len(f.reports)-1-lag, 0)])
			f.reports = append(f.reports, f.report())
		case action.Order != nil:
			e.ApplyOrderResult(now, *action.Order, sendOrder(t, f, now, *action.Order, withFaults))
			f.reports = append(f.reports, f.report())
		default:
			return
		}
	}
}

func sendOrder(t *rapid.T, f *fakeEngine, now time.Duration, order Order, withFaults bool) OrderResult {
	if !withFaults {
		return f.carryOut(now, order)
	}
	switch rapid.IntRange(0, 5).Draw(t, "fate") {
	case 0: // carried out, but the answer is lost
		f.carryOut(now, order)
		return Unanswered
	case 1: // delivered late, perhaps after newer orders
		f.delayed = append(f.delayed, delayedOrder{order, now + time.Duration(rapid.IntRange(1, 2000).Draw(t, "late"))*time.Millisecond})
		return Unanswered
	default:
		return f.carryOut(now, order)
	}
}

// After a restart the engine may carry out all unanswered loads, if its order
// count happens to match their preconditions. There must never be more of them
// than slots.
func TestUnansweredLoadsFitIntoTheSlots(t *testing.T) {
	e := syncedEngine(1, 1)
	e.RequestLoad(0, adapter(0), 2)
	first := *e.Next(0).Order
	e.ApplyOrderResult(0, first, Unanswered)
	now := unansweredPause
	if repeated := e.Next(now).Order; repeated == nil || *repeated != first {
		t.Fatalf("next order is %+v, want the same order again, which invalidates the first", repeated)
	}
	// The engine did carry out the first order.
	e.ApplyOrderResult(now, first, Conflict)
	now += conflictPause
	e.ApplyReport(now, topology.EngineReport{Incarnation: 1, AcceptedOrders: 1, Models: []topology.HeldModel{{Name: "m",
		Adapters: []topology.HeldAdapter{{Name: adapter(0).Name, Version: 2}}}}})
	e.RequestLoad(now, adapter(0), 3)
	if second := e.Next(now).Order; second != nil {
		t.Errorf("ordered %+v while a load is unanswered", second)
	}
	now = maxOrderDelay + time.Second
	e.RequestLoad(now, adapter(0), 3)
	if second := e.Next(now).Order; second == nil {
		t.Error("no order after the unanswered load has expired")
	}
}

// An order to an earlier incarnation that is delivered late may undo a
// replacement or an unload in progress. Next must then not wait for that
// order's effect, but send a new order.
func TestOrdersUndoneByForeignOrdersAreRepeated(t *testing.T) {
	for _, order := range []Order{
		{Kind: LoadAdapter, Adapter: adapter(0), Version: 2},
		{Kind: UnloadAdapter, Adapter: adapter(0)},
	} {
		t.Run(order.Kind.String(), func(t *testing.T) {
			e := syncedEngine(1, 1)
			e.ApplyOrderResult(0, order, Accepted)
			now := 2 * time.Second
			e.ApplyReport(now, topology.EngineReport{Incarnation: 1, AcceptedOrders: 2, Models: []topology.HeldModel{{Name: "m",
				Adapters: []topology.HeldAdapter{{Name: adapter(0).Name, Version: 1}}}}})
			e.RequestLoad(now, adapter(0), 2)
			want := Order{Kind: LoadAdapter, Adapter: adapter(0), Version: 2, Precondition: 2}
			if got := e.Next(now).Order; got == nil || *got != want {
				t.Errorf("next order is %+v, want %+v", got, want)
			}
		})
	}
}

// syncedEngine returns an engine that holds one adapter in each given version.
func syncedEngine(capacity int, versions ...int64) *Engine {
	e := NewEngine(Spec{Capacity: capacity, Model: "m"})
	e.Reset(1)
	model := topology.HeldModel{Name: "m", Version: 1}
	for i, version := range versions {
		model.Adapters = append(model.Adapters, topology.HeldAdapter{Name: adapter(i).Name, Version: version})
	}
	e.ApplyReport(0, topology.EngineReport{Incarnation: 1, Models: []topology.HeldModel{model}})
	return e
}

func TestNextOrder(t *testing.T) {
	const later = 10 * time.Second
	tests := []struct {
		name  string
		setup func(e *Engine)
		want  *Order
	}{
		{"an empty slot is filled", func(e *Engine) { e.spec.Capacity = 3; e.RequestLoad(later, adapter(5), 4) },
			&Order{Kind: LoadAdapter, Adapter: adapter(5), Version: 4}},
		{"the least used adapter is evicted", func(e *Engine) {
			e.RecordUse(0, "entry", []AdapterUse{{Adapter: adapter(0), Count: 9}, {Adapter: adapter(1), Count: 2}})
			e.RequestLoad(later, adapter(5), 0)
		}, &Order{Kind: UnloadAdapter, Adapter: adapter(1)}},
		{"an adapter with running requests stays", func(e *Engine) {
			e.RecordUse(later, "entry", []AdapterUse{{Adapter: adapter(1), Running: 1}})
			e.RequestLoad(later, adapter(5), 0)
		}, &Order{Kind: UnloadAdapter, Adapter: adapter(0)}},
		{"a recently used adapter stays", func(e *Engine) {
			e.RecordAdmission(later, "entry", 1, adapter(0))
			e.RecordAdmission(later, "entry", 2, adapter(1))
			e.RecordEnd(later, "entry", 1)
			e.RecordEnd(later, "entry", 2)
			e.RequestLoad(later, adapter(5), 0)
		}, nil},
		{"an adapter with an admitted request stays until that ends", func(e *Engine) {
			e.RecordAdmission(0, "entry", 1, adapter(0))
			e.RequestLoad(later, adapter(5), 0)
		}, &Order{Kind: UnloadAdapter, Adapter: adapter(1)}},
		{"the entry's heartbeat replaces a lost report of a request's end", func(e *Engine) {
			e.RecordAdmission(0, "entry", 1, adapter(0))
			e.RecordAdmission(0, "entry", 2, adapter(1))
			e.RecordUse(time.Second, "entry", []AdapterUse{{Adapter: adapter(1), Admitted: 1}})
			e.RequestLoad(later, adapter(5), 0)
		}, &Order{Kind: UnloadAdapter, Adapter: adapter(0)}},
		{"a request admitted by the previous owner counts", func(e *Engine) {
			e.RecordUse(later, "entry", []AdapterUse{{Adapter: adapter(1), Admitted: 1}})
			e.RequestLoad(later, adapter(5), 0)
		}, &Order{Kind: UnloadAdapter, Adapter: adapter(0)}},
		{"nothing is ordered while an unload waits for running requests", func(e *Engine) {
			e.ApplyOrderResult(0, Order{Kind: UnloadAdapter, Adapter: adapter(0)}, Accepted)
			e.ApplyReport(later, topology.EngineReport{Incarnation: 1, AcceptedOrders: 1, Models: []topology.HeldModel{{Name: "m",
				Adapters: []topology.HeldAdapter{{Name: "a0", Version: 1}, {Name: "a1", Version: 1}}}}})
			e.RequestLoad(later, adapter(5), 0)
		}, nil},
		{"nothing is ordered while a newer version waits for requests on the older one", func(e *Engine) {
			e.spec.Capacity = 3
			e.RecordUse(later, "entry", []AdapterUse{{Adapter: adapter(0), Running: 1}})
			e.ApplyOrderResult(later, Order{Kind: LoadAdapter, Adapter: adapter(0), Version: 2}, Accepted)
			e.RequestLoad(later, adapter(5), 0)
		}, nil},
		{"a requested adapter stays", func(e *Engine) {
			e.RequestLoad(later, adapter(0), 9)
			e.RequestLoad(later, adapter(5), 0)
			e.SetDemand(adapter(0), Demand{Timely: 5})
			e.SetDemand(adapter(5), Demand{Timely: 9})
		}, &Order{Kind: UnloadAdapter, Adapter: adapter(1)}},
		{"a newer version replaces the held one", func(e *Engine) { e.RequestLoad(later, adapter(0), 2) },
			&Order{Kind: LoadAdapter, Adapter: adapter(0), Version: 2}},
		{"a held version that suffices is not reloaded", func(e *Engine) { e.RequestLoad(later, adapter(0), 1) }, nil},
		{"a second cold adapter waits for the first one's fetch", func(e *Engine) {
			e.spec.Capacity = 4
			e.ApplyOrderResult(later, Order{Kind: LoadAdapter, Adapter: adapter(4)}, Accepted)
			e.RequestLoad(later, adapter(5), 0)
		}, nil},
		{"a recently held adapter does not wait for a fetch", func(e *Engine) {
			e.spec.Capacity = 4
			e.addRecent(adapter(5))
			e.ApplyOrderResult(later, Order{Kind: LoadAdapter, Adapter: adapter(4)}, Accepted)
			e.RequestLoad(later, adapter(5), 0)
		}, &Order{Kind: LoadAdapter, Adapter: adapter(5), Precondition: 1}},
		{"the highest weight comes first", func(e *Engine) {
			e.spec.Capacity = 3
			e.RequestLoad(later, adapter(5), 0)
			e.RequestLoad(later, adapter(6), 0)
			e.SetDemand(adapter(5), Demand{Timely: 1})
			e.SetDemand(adapter(6), Demand{Timely: 3})
		}, &Order{Kind: LoadAdapter, Adapter: adapter(6)}},
		{"a load request that is not repeated expires", func(e *Engine) { e.spec.Capacity = 3; e.RequestLoad(later-2*loadRequestExpiry, adapter(5), 0) }, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := syncedEngine(2, 1, 1)
			test.setup(e)
			got := e.Next(later).Order
			if (got == nil) != (test.want == nil) || got != nil && *got != *test.want {
				t.Errorf("next order is %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestLaggingReportIsIgnored(t *testing.T) {
	e := syncedEngine(2)
	e.RequestLoad(0, adapter(0), 0)
	order := *e.Next(0).Order
	e.ApplyOrderResult(0, order, Accepted)
	e.ApplyReport(50*time.Millisecond, topology.EngineReport{Incarnation: 1, Models: []topology.HeldModel{{Name: "m"}}})
	if len(e.slots) != 1 {
		t.Error("a report older than the order freed the slot of the load")
	}
}

func TestDoubtedAdapterServesNothingUntilTheReport(t *testing.T) {
	e := syncedEngine(2, 1)
	e.MarkDoubtful(0, adapter(0))
	if e.Status(adapter(0), 0) != Waiting || !e.Next(0).FetchReport {
		t.Fatal("a doubtful adapter must wait for a report")
	}
	e.ApplyReport(time.Millisecond, topology.EngineReport{Incarnation: 1, Models: []topology.HeldModel{{Name: "m"}}})
	if len(e.slots) != 0 {
		t.Error("an adapter that the engine does not hold keeps its slot")
	}
}

// When all engines start or restart, daemons see them in batches. In no window
// may more base models be loaded than the rate allows. The sizes are those of
// today's deployments, of grown ones, in between and of the target.
func TestModelLoadDelaySpreadsALargeStart(t *testing.T) {
	const batches, batchInterval = 10, 150 * time.Millisecond
	tests := []struct {
		engines int
		rate    float64
	}{{9, 2.1}, {12, 2.1}, {14, 2.1}, {60, 17}, {140, 40}, {230, 40}, {600, 40}, {2700, 60}}
	for _, test := range tests {
		var loads []time.Duration
		for i := range test.engines {
			batch := i * batches / test.engines
			registered := (batch + 1) * test.engines / batches
			delay := ModelLoadDelay(fmt.Sprint("engine-", i), registered, test.engines, test.rate)
			loads = append(loads, time.Duration(batch)*batchInterval+delay)
		}
		slices.Sort(loads)
		// The platform's bound: a tenth plus three loads over the rate.
		limit := int(test.rate*rateWindow.Seconds()*1.1) + 3
		for i := limit; i < len(loads); i++ {
			if loads[i]-loads[i-limit] < rateWindow {
				t.Errorf("%d engines at %.1f a second: more than %d loads within %v from %v on", test.engines, test.rate, limit, rateWindow, loads[i-limit])
				break
			}
		}
	}
}

// A few new engines among many load their models without delay.
func TestFewNewEnginesLoadAtOnce(t *testing.T) {
	for _, test := range []struct {
		lacking, all int
		rate         float64
	}{{1, 9, 2.1}, {2, 30, 2.1}, {3, 12, 2.1}, {20, 140, 40}, {40, 2700, 40}} {
		if d := ModelLoadDelay("e", test.lacking, test.all, test.rate); d != 0 {
			t.Errorf("%d of %d engines wait %v", test.lacking, test.all, d)
		}
	}
}
