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

// modelEngine is an engine as the platform describes it: it counts accepted
// orders, checks that count as a precondition, may carry an unanswered order out
// later, and reports its state with a lag.
type modelEngine struct {
	t        interface{ Fatalf(string, ...any) }
	slots    int
	orders   int64
	loaded   bool
	held     map[topology.Adapter]int64
	loading  map[topology.Adapter]loadingAdapter
	late     []lateOrder
	reports  []topology.EngineReport
	restarts int64
}

type loadingAdapter struct {
	version int64
	ready   time.Duration
}

type lateOrder struct {
	order Order
	due   time.Duration
}

const (
	modelLoad   = 200 * time.Millisecond
	reportDelay = 100 * time.Millisecond
)

func newModelEngine(t interface{ Fatalf(string, ...any) }, slots int) *modelEngine {
	return &modelEngine{t: t, slots: slots, loaded: true, held: map[topology.Adapter]int64{}, loading: map[topology.Adapter]loadingAdapter{}}
}

// advance carries out what is due.
func (m *modelEngine) advance(now time.Duration) {
	for a, l := range m.loading {
		if now >= l.ready {
			delete(m.loading, a)
			m.held[a] = l.version
		}
	}
	var left []lateOrder
	for _, l := range m.late {
		if now >= l.due {
			m.carryOut(now, l.order)
		} else {
			left = append(left, l)
		}
	}
	m.late = left
}

func (m *modelEngine) carryOut(now time.Duration, order Order) OrderResult {
	if order.Precondition != m.orders {
		return Conflict
	}
	switch order.Kind {
	case LoadModel:
		if m.loaded {
			return Done
		}
		m.orders++
		m.loaded = true
		return Accepted
	case UnloadAdapter:
		if _, ok := m.held[order.Adapter]; !ok {
			return Done
		}
		m.orders++
		delete(m.held, order.Adapter)
		return Done
	}
	if !m.loaded {
		return Refused
	}
	version := max(order.Version, 1)
	if m.held[order.Adapter] == version {
		return Done
	}
	if len(m.loading) >= 4 {
		return Conflict
	}
	if _, replaces := m.held[order.Adapter]; !replaces && len(m.held)+len(m.loading) >= m.slots {
		m.t.Fatalf("at %v: ordered past %d slots: %+v", now, m.slots, order)
	}
	m.orders++
	delete(m.held, order.Adapter)
	m.loading[order.Adapter] = loadingAdapter{version: version, ready: now + modelLoad}
	return Accepted
}

func (m *modelEngine) report() topology.EngineReport {
	r := topology.EngineReport{AcceptedOrders: m.orders, Incarnation: 1 + m.restarts}
	if m.loaded {
		model := topology.HeldModel{Name: "m", Version: 1}
		for a, version := range m.held {
			model.Adapters = append(model.Adapters, topology.HeldAdapter{Name: a.Name, Version: version})
		}
		r.Models = []topology.HeldModel{model}
	}
	for a, l := range m.loading {
		r.Loading = append(r.Loading, topology.LoadingAdapter{Adapter: a, Version: l.version})
	}
	return r
}

func (m *modelEngine) restart() {
	m.restarts++
	m.orders = 0
	m.loaded = false
	m.reports = nil
	clear(m.held)
	clear(m.loading)
}

// Whatever engines do with orders and reports, no order goes past the slots,
// and when faults end the wanted adapters are ready.
func TestOrdersNeverGoPastTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		m := newModelEngine(t, slots)
		e := NewEngine(Spec{Capacity: slots, Model: "m"})
		e.Reset(1)
		now := time.Duration(0)
		faults := true
		advance := func(by time.Duration) {
			now += by
			m.advance(now)
			m.reports = append(m.reports, m.report())
			drive(t, m, e, now, faults)
		}
		step := func() { advance(time.Duration(rapid.IntRange(1, 120).Draw(t, "ms")) * time.Millisecond) }
		calmStep := func() { advance(60 * time.Millisecond) }
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "want") == 0 {
				e.RequestLoad(now, adapter(rapid.IntRange(0, 9).Draw(t, "adapter")), int64(rapid.IntRange(0, 2).Draw(t, "version")), 1)
			}
			if rapid.IntRange(0, 60).Draw(t, "restart") == 0 {
				m.restart()
			}
			step()
		}
		faults = false
		wanted := adapter(0)
		// After lateFor all places are used again; the rest covers some loads.
		for deadline := now + lateFor + 5*time.Second; now < deadline; {
			e.RequestLoad(now, wanted, 2, 1)
			if e.Status(wanted, 2) == Ready {
				if m.held[wanted] >= 2 {
					return
				}
				// The engine refuses a request, as it does after a restart that
				// nobody has told of yet.
				e.MarkDoubtful(now, wanted)
			}
			calmStep()
		}
		t.Fatalf("the adapter is not ready long after the last fault")
	})
}

// drive does what the engine's state asks for.
func drive(t *rapid.T, m *modelEngine, e *Engine, now time.Duration, faults bool) {
	for range 8 {
		action := e.Next(now)
		switch {
		case action.FetchReport:
			lag := 0
			if faults {
				lag = rapid.IntRange(0, 2).Draw(t, "lag")
			}
			e.ApplyReport(now, m.reports[max(len(m.reports)-1-lag, 0)])
			m.reports = append(m.reports, m.report())
		case action.Order != nil:
			e.ApplyOrderResult(now, *action.Order, send(t, m, now, *action.Order, faults))
			m.reports = append(m.reports, m.report())
		default:
			return
		}
	}
}

func send(t *rapid.T, m *modelEngine, now time.Duration, order Order, faults bool) OrderResult {
	if !faults {
		return m.carryOut(now, order)
	}
	switch rapid.IntRange(0, 5).Draw(t, "fate") {
	case 0: // carried out, the answer is lost
		m.carryOut(now, order)
		return Unanswered
	case 1: // carried out later, perhaps after newer orders
		m.late = append(m.late, lateOrder{order, now + time.Duration(rapid.IntRange(1, 2000).Draw(t, "late"))*time.Millisecond})
		return Unanswered
	default:
		return m.carryOut(now, order)
	}
}

// Loads without an answer may all be carried out by the engine's next process,
// if its count happens to meet their preconditions. They never are more than
// the slots.
func TestLoadsWithoutAnAnswerFitIntoTheSlots(t *testing.T) {
	e := known(1, 1)
	e.RequestLoad(0, adapter(0), 2, 1)
	first := *e.Next(0).Order
	e.ApplyOrderResult(0, first, Unanswered)
	now := unansweredPause
	if again := e.Next(now).Order; again == nil || *again != first {
		t.Fatalf("next is %+v, want the same order again, which voids the first", again)
	}
	// The engine did carry it out, and has room for the next.
	e.ApplyOrderResult(now, first, Conflict)
	now += conflictPause
	e.ApplyReport(now, topology.EngineReport{Incarnation: 1, AcceptedOrders: 1, Models: []topology.HeldModel{{Name: "m",
		Adapters: []topology.HeldAdapter{{Name: adapter(0).Name, Version: 2}}}}})
	e.RequestLoad(now, adapter(0), 3, 1)
	if second := e.Next(now).Order; second != nil {
		t.Errorf("ordered %+v beside a load without an answer", second)
	}
	now = lateFor + time.Second
	e.RequestLoad(now, adapter(0), 3, 1)
	if second := e.Next(now).Order; second == nil {
		t.Error("nothing is ordered after the first load's time")
	}
}

// A late order of an earlier process may undo a replacement or an unload that
// is under way. The engine must not be waited for any longer then.
func TestOrdersUndoneByAStrangerAreGivenAgain(t *testing.T) {
	for _, order := range []Order{
		{Kind: LoadAdapter, Adapter: adapter(0), Version: 2},
		{Kind: UnloadAdapter, Adapter: adapter(0)},
	} {
		t.Run(order.Kind.String(), func(t *testing.T) {
			e := known(1, 1)
			e.ApplyOrderResult(0, order, Accepted)
			now := 2 * time.Second
			e.ApplyReport(now, topology.EngineReport{Incarnation: 1, AcceptedOrders: 2, Models: []topology.HeldModel{{Name: "m",
				Adapters: []topology.HeldAdapter{{Name: adapter(0).Name, Version: 1}}}}})
			e.RequestLoad(now, adapter(0), 2, 1)
			want := Order{Kind: LoadAdapter, Adapter: adapter(0), Version: 2, Precondition: 2}
			if got := e.Next(now).Order; got == nil || *got != want {
				t.Errorf("next is %+v, want %+v", got, want)
			}
		})
	}
}

// known returns an engine that holds the first adapters in the given version.
func known(capacity int, versions ...int64) *Engine {
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
		{"an empty place is filled", func(e *Engine) { e.spec.Capacity = 3; e.RequestLoad(later, adapter(5), 4, 1) },
			&Order{Kind: LoadAdapter, Adapter: adapter(5), Version: 4}},
		{"the least used adapter makes room", func(e *Engine) {
			e.RecordUse(0, "entry", []AdapterUse{{Adapter: adapter(0), Count: 9}, {Adapter: adapter(1), Count: 2}})
			e.RequestLoad(later, adapter(5), 0, 1)
		}, &Order{Kind: UnloadAdapter, Adapter: adapter(1)}},
		{"an adapter with running requests stays", func(e *Engine) {
			e.RecordUse(later, "entry", []AdapterUse{{Adapter: adapter(1), Running: 1}})
			e.RequestLoad(later, adapter(5), 0, 1)
		}, &Order{Kind: UnloadAdapter, Adapter: adapter(0)}},
		{"an adapter that was just used stays", func(e *Engine) {
			e.RecordAdmission(later, "entry", 1, adapter(0))
			e.RecordAdmission(later, "entry", 2, adapter(1))
			e.RecordEnd(later, "entry", 1)
			e.RecordEnd(later, "entry", 2)
			e.RequestLoad(later, adapter(5), 0, 1)
		}, nil},
		{"an adapter of a request with a turn stays until its end", func(e *Engine) {
			e.RecordAdmission(0, "entry", 1, adapter(0))
			e.RequestLoad(later, adapter(5), 0, 1)
		}, &Order{Kind: UnloadAdapter, Adapter: adapter(1)}},
		{"a lost news of an end is made up by the entry's notice", func(e *Engine) {
			e.RecordAdmission(0, "entry", 1, adapter(0))
			e.RecordAdmission(0, "entry", 2, adapter(1))
			e.RecordUse(time.Second, "entry", []AdapterUse{{Adapter: adapter(1), Admitted: 1}})
			e.RequestLoad(later, adapter(5), 0, 1)
		}, &Order{Kind: UnloadAdapter, Adapter: adapter(0)}},
		{"a request with a turn of a former owner counts", func(e *Engine) {
			e.RecordUse(later, "entry", []AdapterUse{{Adapter: adapter(1), Admitted: 1}})
			e.RequestLoad(later, adapter(5), 0, 1)
		}, &Order{Kind: UnloadAdapter, Adapter: adapter(0)}},
		{"nothing is ordered while an unload waits for its runs", func(e *Engine) {
			e.ApplyOrderResult(0, Order{Kind: UnloadAdapter, Adapter: adapter(0)}, Accepted)
			e.ApplyReport(later, topology.EngineReport{Incarnation: 1, AcceptedOrders: 1, Models: []topology.HeldModel{{Name: "m",
				Adapters: []topology.HeldAdapter{{Name: "a0", Version: 1}, {Name: "a1", Version: 1}}}}})
			e.RequestLoad(later, adapter(5), 0, 1)
		}, nil},
		{"nothing is ordered while a newer version waits for the runs on the older one", func(e *Engine) {
			e.spec.Capacity = 3
			e.RecordUse(later, "entry", []AdapterUse{{Adapter: adapter(0), Running: 1}})
			e.ApplyOrderResult(later, Order{Kind: LoadAdapter, Adapter: adapter(0), Version: 2}, Accepted)
			e.RequestLoad(later, adapter(5), 0, 1)
		}, nil},
		{"a wanted adapter stays", func(e *Engine) {
			e.RequestLoad(later, adapter(0), 9, 5)
			e.RequestLoad(later, adapter(5), 0, 9)
		}, &Order{Kind: UnloadAdapter, Adapter: adapter(1)}},
		{"a newer version replaces the one held", func(e *Engine) { e.RequestLoad(later, adapter(0), 2, 1) },
			&Order{Kind: LoadAdapter, Adapter: adapter(0), Version: 2}},
		{"the version that is held is enough", func(e *Engine) { e.RequestLoad(later, adapter(0), 1, 1) }, nil},
		{"most value first", func(e *Engine) {
			e.spec.Capacity = 3
			e.RequestLoad(later, adapter(5), 0, 1)
			e.RequestLoad(later, adapter(6), 0, 3)
		}, &Order{Kind: LoadAdapter, Adapter: adapter(6)}},
		{"a request that nobody repeats is dropped", func(e *Engine) { e.spec.Capacity = 3; e.RequestLoad(later-2*wantExpiry, adapter(5), 0, 1) }, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := known(2, 1, 1)
			test.setup(e)
			got := e.Next(later).Order
			if (got == nil) != (test.want == nil) || got != nil && *got != *test.want {
				t.Errorf("next order is %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestLaggingReportChangesNothing(t *testing.T) {
	e := known(2)
	e.RequestLoad(0, adapter(0), 0, 1)
	order := *e.Next(0).Order
	e.ApplyOrderResult(0, order, Accepted)
	e.ApplyReport(50*time.Millisecond, topology.EngineReport{Incarnation: 1, Models: []topology.HeldModel{{Name: "m"}}})
	if len(e.places) != 1 {
		t.Error("a report from before the order freed the place of the load")
	}
}

func TestDoubtedAdapterServesNothingUntilTheReport(t *testing.T) {
	e := known(2, 1)
	e.MarkDoubtful(0, adapter(0))
	if e.Status(adapter(0), 0) != Waiting || !e.Next(0).FetchReport {
		t.Fatal("a doubted adapter must wait for a report")
	}
	e.ApplyReport(time.Millisecond, topology.EngineReport{Incarnation: 1, Models: []topology.HeldModel{{Name: "m"}}})
	if len(e.places) != 0 {
		t.Error("the adapter that the engine does not hold keeps its place")
	}
}

// The load of a start, or of a restart, of all engines, which daemons see in
// batches: in no window more base models are loaded than the rate allows. The
// sizes are those of today's deployments, once grown, between and at the target.
func TestModelDelaySpreadsALargeStart(t *testing.T) {
	const batches, between = 10, 150 * time.Millisecond
	tests := []struct {
		engines int
		rate    float64
	}{{9, 2.1}, {12, 2.1}, {14, 2.1}, {60, 17}, {140, 40}, {230, 40}, {600, 40}, {2700, 60}}
	for _, test := range tests {
		var loads []time.Duration
		for i := range test.engines {
			batch := i * batches / test.engines
			seen := (batch + 1) * test.engines / batches
			delay := ModelLoadDelay(fmt.Sprint("engine-", i), seen, test.engines, test.rate)
			loads = append(loads, time.Duration(batch)*between+delay)
		}
		slices.Sort(loads)
		// Bound of the platform: a tenth and three loads over the rate.
		limit := int(test.rate*loadWindow.Seconds()*1.1) + 3
		for i := limit; i < len(loads); i++ {
			if loads[i]-loads[i-limit] < loadWindow {
				t.Errorf("%d engines at %.1f a second: more than %d loads within %v from %v on", test.engines, test.rate, limit, loadWindow, loads[i-limit])
				break
			}
		}
	}
}

// A few new engines among many do not wait.
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
