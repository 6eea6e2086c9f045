package engine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"pgregory.net/rapid"
)

const testHorizon = 20 * time.Millisecond

// message is something sent to the modelled engine that has not arrived yet.
type message struct {
	// call, load and unload name what the message does to an adapter.
	kind    string
	adapter call.AdapterRef
	id      string
	order   OrderID
	foreign bool
	// blind tells that a restart had made the engine forget the fence when the
	// message was sent: then it can hit a call of a predecessor.
	blind bool
	// gone is when a message whose connection was lost can arrive no more.
	gone time.Time
}

// snapshot is a report of the modelled engine with the time of its making.
type snapshot struct {
	Report
	made time.Time
}

// world is a model engine, its predecessor's messages and the network between.
type world struct {
	*rapid.T
	now      time.Time
	agg      *Engine
	config   Config
	adapters []call.AdapterRef
	intents  []call.AdapterRef

	boot     int
	fenced   bool
	resident []call.AdapterRef
	running  map[string]call.AdapterRef
	history  []snapshot

	flight  []message
	replies []func()
	reports []Report
	polls   uint64
	calls   int
	// alive tells that the predecessor may still send.
	alive bool
	// forgot tells that a restart has made the engine forget the fence and that
	// the owner has not raised it again.
	forgot bool
	own    map[string]bool
}

func newWorld(t *rapid.T) *world {
	w := &world{T: t, now: time.Unix(1000, 0), running: map[string]call.AdapterRef{}, own: map[string]bool{}, alive: true}
	for i := range 3 {
		w.adapters = append(w.adapters, call.AdapterRef{Name: fmt.Sprintf("a%d", i), Version: "1"})
	}
	w.config = Config{
		Slots: 2, MaxRunning: 3, MaxDeliveryDelay: testHorizon, ChecksFencing: rapid.Bool().Draw(t, "fencing"), PredecessorLeaseEnd: w.now.Add(5 * time.Millisecond),
	}
	w.agg = New(w.config)
	w.resident = slices.Clone(w.adapters[:rapid.IntRange(0, 2).Draw(t, "resident")])
	if len(w.resident) > 0 {
		w.running["old-0"] = w.resident[0]
		w.intents = w.resident[len(w.resident)-1:]
		w.flight = append(w.flight, message{kind: "unload", adapter: w.intents[0], foreign: true})
	}
	return w
}

// Check implements rapid.StateMachine; the actions check as they go.
func (w *world) Check(*rapid.T) {}

func (w *world) adapter() call.AdapterRef {
	return rapid.SampledFrom(w.adapters).Draw(w.T, "adapter")
}

// Advance lets time pass; messages of lost connections disappear in the end.
func (w *world) Advance(*rapid.T) {
	w.pass(time.Duration(rapid.IntRange(1, 8).Draw(w.T, "ms")) * time.Millisecond)
}

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.flight = slices.DeleteFunc(w.flight, func(m message) bool { return !m.gone.IsZero() && m.gone.Before(w.now) })
}

// Dispatch sends a call if the aggregate lets it.
func (w *world) Dispatch(*rapid.T) {
	adapter := w.adapter()
	if !w.agg.CanRun(adapter) || !w.agg.HasCapacity() {
		return
	}
	w.calls++
	id := fmt.Sprintf("own-%d", w.calls)
	if err := w.agg.Dispatch(id, adapter, w.now); err != nil {
		w.Fatalf("refused a dispatch that was allowed: %v", err)
	}
	sameProcess := w.agg.BootID() == w.bootID()
	if sameProcess && !slices.Contains(w.resident, adapter) {
		w.Fatalf("dispatched %s to an adapter that the engine does not have", id)
	}
	for _, m := range w.flight {
		if m.kind == "unload" && m.adapter == adapter && (!m.foreign || !w.fenced) && sameProcess {
			w.Fatalf("dispatched %s to %s while an unload of it is under way", id, adapter)
		}
	}
	w.own[id] = true
	w.flight = append(w.flight, message{kind: "call", adapter: adapter, id: id})
}

// Load orders a load if the aggregate lets it.
func (w *world) Load(*rapid.T) {
	adapter := w.adapter()
	if order, ok := w.agg.BeginLoad(adapter, w.now); ok {
		w.flight = append(w.flight, message{kind: "load", adapter: adapter, order: order})
	}
}

// Unload orders an unload if the aggregate lets it.
func (w *world) Unload(*rapid.T) {
	adapter := w.adapter()
	if order, ok := w.agg.BeginUnload(adapter, rapid.Bool().Draw(w.T, "lease"), w.now); ok {
		w.flight = append(w.flight, message{kind: "unload", adapter: adapter, order: order, blind: w.forgot})
	}
}

// Predecessor sends something under the old token.
func (w *world) Predecessor(*rapid.T) {
	if !w.alive {
		return
	}
	kind := rapid.SampledFrom([]string{"call", "load"}).Draw(w.T, "kind")
	w.calls++
	w.flight = append(w.flight, message{kind: kind, adapter: w.adapter(), id: fmt.Sprintf("old-%d", w.calls), foreign: true})
}

// TakeOver does the next step of the takeover.
func (w *world) TakeOver(*rapid.T) {
	switch {
	case w.agg.NeedsFence():
		w.fenced, w.forgot = true, false
		boot := w.bootID()
		w.replies = append(w.replies, func() { w.agg.RecordFence(boot, w.now) })
	case w.agg.NeedsPredecessorIntents():
		w.agg.RecordPredecessorIntents(w.intents, w.now)
	case w.agg.NeedsPredecessorsStopped() && rapid.Bool().Draw(w.T, "clear"):
		w.alive = false
		for i := range w.flight {
			if w.flight[i].foreign {
				w.flight[i].gone = w.now.Add(testHorizon)
			}
		}
		w.agg.RecordPredecessorsStopped(w.now)
	}
}

// Arrive lets any message reach the engine.
func (w *world) Arrive(*rapid.T) {
	if len(w.flight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.flight)-1).Draw(w.T, "message")
	m := w.flight[i]
	w.flight = slices.Delete(w.flight, i, i+1)
	if m.foreign && w.fenced {
		return
	}
	w.fenced = w.fenced || w.config.ChecksFencing && !m.foreign
	reply, boot := w.execute(m), w.bootID()
	switch {
	case m.foreign:
	case m.kind == "load":
		w.replies = append(w.replies, func() { w.agg.EndLoad(m.order, reply, boot, w.now) })
	case m.kind == "unload":
		w.replies = append(w.replies, func() { w.agg.EndUnload(m.order, reply, boot, w.now) })
	case reply == ReplyRefused:
		w.replies = append(w.replies, func() { w.agg.EndCall(m.id, w.now); w.agg.MarkDoubtful(m.adapter, w.now) })
	}
}

func (w *world) execute(m message) Reply {
	has := slices.Contains(w.resident, m.adapter)
	switch m.kind {
	case "call":
		if !has {
			return ReplyRefused
		}
		w.running[m.id] = m.adapter
	case "load":
		if has || len(w.resident) >= w.config.Slots {
			return ReplyRefused
		}
		w.resident = append(w.resident, m.adapter)
	case "unload":
		for id, adapter := range w.running {
			if adapter == m.adapter && (w.own[id] || !m.foreign && !m.blind) {
				w.Fatalf("unloaded %s (foreign %t) while %s runs on it", m.adapter, m.foreign, id)
			}
		}
		w.resident = slices.DeleteFunc(w.resident, func(a call.AdapterRef) bool { return a == m.adapter })
	}
	return ReplyConfirmed
}

// Reply delivers a reply, which may come again later.
func (w *world) Reply(*rapid.T) {
	if len(w.replies) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.replies)-1).Draw(w.T, "reply")
	w.replies[i]()
	if rapid.Bool().Draw(w.T, "once") {
		w.replies = slices.Delete(w.replies, i, i+1)
	}
}

// Lose breaks the connection of a message under way or of a running call.
func (w *world) Lose(*rapid.T) {
	for i := range w.flight {
		m := &w.flight[i]
		if m.foreign || !m.gone.IsZero() || !rapid.Bool().Draw(w.T, "lose") {
			continue
		}
		m.gone = w.now.Add(testHorizon)
		w.lost(*m)
		return
	}
	for id := range w.running {
		if w.own[id] {
			w.agg.MarkCallLost(id, w.now)
			return
		}
	}
}

func (w *world) lost(m message) {
	switch m.kind {
	case "call":
		w.agg.MarkCallLost(m.id, w.now)
	case "load":
		w.agg.EndLoad(m.order, ReplyLost, "", w.now)
	case "unload":
		w.agg.EndUnload(m.order, ReplyLost, "", w.now)
	}
}

// Finish ends a running call.
func (w *world) Finish(*rapid.T) {
	for _, id := range slices.Sorted(maps(w.running)) {
		if rapid.Bool().Draw(w.T, "finish") {
			delete(w.running, id)
			w.replies = append(w.replies, func() { w.agg.EndCall(id, w.now) })
			return
		}
	}
}

func maps(running map[string]call.AdapterRef) func(func(string) bool) {
	return func(yield func(string) bool) {
		for id := range running {
			if !yield(id) {
				return
			}
		}
	}
}

// Restart starts the engine cold; connections to the old process are dead.
func (w *world) Restart(*rapid.T) {
	if rapid.IntRange(0, 3).Draw(w.T, "restart") > 0 {
		return
	}
	w.boot++
	w.fenced, w.forgot = false, w.config.ChecksFencing
	for _, id := range slices.Sorted(maps(w.running)) {
		w.replies = append(w.replies, func() { w.agg.EndCall(id, w.now) })
	}
	for _, m := range w.flight {
		if m.kind == "call" && !m.foreign {
			w.replies = append(w.replies, func() { w.agg.MarkCallLost(m.id, w.now) })
		}
	}
	w.resident, w.running, w.history = nil, map[string]call.AdapterRef{}, nil
	w.flight = slices.DeleteFunc(w.flight, func(m message) bool { return !m.foreign })
}

func (w *world) bootID() string {
	return fmt.Sprintf("boot-%d", w.boot)
}

// MakeReport lets the engine take a report, which it may serve much later.
func (w *world) MakeReport(*rapid.T) {
	running := map[string]call.AdapterRef{}
	for id, adapter := range w.running {
		running[id] = adapter
	}
	w.history = append(w.history, snapshot{made: w.now, Report: Report{BootID: w.bootID(), Sequence: uint64(len(w.history) + 1), Running: running, Resident: slices.Clone(w.resident)}})
}

// ServeReport answers a poll with one of the engine's reports.
func (w *world) ServeReport(*rapid.T) {
	if len(w.history) == 0 {
		return
	}
	s := rapid.SampledFrom(w.history).Draw(w.T, "report")
	w.polls++
	s.Poll = w.polls
	s.NotBefore = s.made.Add(-time.Duration(rapid.IntRange(0, 3).Draw(w.T, "latency")) * time.Millisecond)
	w.reports = append(w.reports, s.Report)
}

// ReadReport delivers a report, in any order and perhaps twice.
func (w *world) ReadReport(*rapid.T) {
	if len(w.reports) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.reports)-1).Draw(w.T, "read")
	w.agg.Apply(w.reports[i], w.now)
	if rapid.Bool().Draw(w.T, "last") {
		w.reports = slices.Delete(w.reports, i, i+1)
	}
}

// Poll reads a report that was made just now.
func (w *world) Poll(*rapid.T) {
	w.pass(time.Millisecond)
	w.MakeReport(nil)
	w.polls++
	fresh := w.history[len(w.history)-1]
	fresh.Poll, fresh.NotBefore = w.polls, w.now
	w.agg.Apply(fresh.Report, w.now)
}

// settle delivers or loses everything and then reads fresh reports.
func (w *world) settle() {
	for _, m := range w.flight {
		if !m.foreign {
			w.lost(m)
		}
	}
	w.flight = nil
	for id := range w.running {
		w.agg.MarkCallLost(id, w.now)
	}
	w.running = map[string]call.AdapterRef{}
	for _, id := range slices.Sorted(maps(w.agg.pinned())) {
		w.agg.MarkCallLost(id, w.now)
	}
	for order := range w.agg.orders + 1 {
		w.agg.EndLoad(order, ReplyLost, "", w.now)
		w.agg.EndUnload(order, ReplyLost, "", w.now)
	}
	for range 4 {
		w.alive = false
		w.agg.RecordFence(w.bootID(), w.now)
		w.agg.RecordPredecessorIntents(nil, w.now)
		w.agg.RecordPredecessorsStopped(w.now)
		w.now = w.now.Add(2 * testHorizon)
		w.Poll(nil)
	}
}

// pinned returns the adapters of the calls that hold pins.
func (e *Engine) pinned() map[string]call.AdapterRef {
	adapters := map[string]call.AdapterRef{}
	for id, p := range e.pins {
		adapters[id] = p.adapter
	}
	return adapters
}

// TestNoEventOrderUnloadsAnAdapterInUse drives the aggregate against a model
// engine with lost, late and repeated replies, lagging reports, restarts and a
// predecessor that goes on sending.
func TestNoEventOrderUnloadsAnAdapterInUse(t *testing.T) {
	for round := range 20 {
		t.Run(fmt.Sprint(round), func(t *testing.T) { rapid.Check(t, checkEventOrder) })
	}
}

func checkEventOrder(t *rapid.T) {
	w := newWorld(t)
	for range 4 {
		t.Repeat(rapid.StateMachineActions(w))
	}
	w.settle()
	if w.agg.Running() != 0 || w.agg.Unsettled() || !w.agg.MayUnload(true) {
		t.Fatalf("not settled: %d pins, slots %+v, tenure %+v", w.agg.Running(), w.agg.Slots(), w.agg.tenure)
	}
	for _, slot := range w.agg.Slots() {
		if slot.Pins != 0 || (slot.State == Ready) != slices.Contains(w.resident, slot.Adapter) {
			t.Fatalf("settled to %+v while the engine has %v", slot, w.resident)
		}
	}
}
