package engine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"pgregory.net/rapid"
)

const testMaxDeliveryDelay = 20 * time.Millisecond

// message is something sent to the modelled engine that has not arrived yet.
type message struct {
	// kind is call, load or unload.
	kind            string
	adapter         call.AdapterRef
	id              string
	order           OrderID
	fromPredecessor bool
	// unfenced is set if a restart had made the engine forget the fence when the
	// message was sent: then an unload may affect a call of a predecessor.
	unfenced bool
	// expiresAt is the time after which a message of a lost connection cannot
	// arrive.
	expiresAt time.Time
}

// snapshot is a report of the modelled engine with the time when it was made.
type snapshot struct {
	Report
	madeAt time.Time
}

// simulation models the engine, the predecessor's messages and the network. Its
// exported methods are the actions of a rapid state machine: renaming one changes
// the order of the actions, and with it the meaning of recorded failures in
// testdata.
type simulation struct {
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

	inFlight []message
	replies  []func()
	reports  []Report
	polls    uint64
	calls    int
	// predecessorAlive is set while the predecessor may send.
	predecessorAlive bool
	// fenceLost is set if a restart has made the engine forget the fence and the
	// owner has not raised it again.
	fenceLost bool
	ownCalls  map[string]bool
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{T: t, now: time.Unix(1000, 0), running: map[string]call.AdapterRef{}, ownCalls: map[string]bool{}, predecessorAlive: true}
	for i := range 3 {
		sim.adapters = append(sim.adapters, call.AdapterRef{Name: fmt.Sprintf("a%d", i), Version: "1"})
	}
	sim.config = Config{
		Slots: 2, MaxRunning: 3, MaxDeliveryDelay: testMaxDeliveryDelay, ChecksFencing: rapid.Bool().Draw(t, "fencing"), PredecessorLeaseEnd: sim.now.Add(5 * time.Millisecond),
	}
	sim.agg = New(sim.config)
	sim.resident = slices.Clone(sim.adapters[:rapid.IntRange(0, 2).Draw(t, "resident")])
	if len(sim.resident) > 0 {
		sim.running["old-0"] = sim.resident[0]
		sim.intents = sim.resident[len(sim.resident)-1:]
		sim.inFlight = append(sim.inFlight, message{kind: "unload", adapter: sim.intents[0], fromPredecessor: true})
	}
	return sim
}

// Check implements rapid.StateMachine; the actions do the checks.
func (sim *simulation) Check(*rapid.T) {}

func (sim *simulation) adapter() call.AdapterRef {
	return rapid.SampledFrom(sim.adapters).Draw(sim.T, "adapter")
}

// Advance lets time pass; messages of lost connections expire.
func (sim *simulation) Advance(*rapid.T) {
	sim.advanceClock(time.Duration(rapid.IntRange(1, 8).Draw(sim.T, "ms")) * time.Millisecond)
}

func (sim *simulation) advanceClock(d time.Duration) {
	sim.now = sim.now.Add(d)
	sim.inFlight = slices.DeleteFunc(sim.inFlight, func(m message) bool { return !m.expiresAt.IsZero() && m.expiresAt.Before(sim.now) })
}

// Dispatch sends a call if the aggregate allows it.
func (sim *simulation) Dispatch(*rapid.T) {
	adapter := sim.adapter()
	if !sim.agg.CanRun(adapter) || !sim.agg.HasCapacity() {
		return
	}
	sim.calls++
	id := fmt.Sprintf("own-%d", sim.calls)
	if err := sim.agg.Dispatch(id, adapter, sim.now); err != nil {
		sim.Fatalf("a dispatch that CanRun and HasCapacity allow was refused: %v", err)
	}
	sameProcess := sim.agg.BootID() == sim.bootID()
	if sameProcess && !slices.Contains(sim.resident, adapter) {
		sim.Fatalf("dispatched %s to an adapter that the engine does not have", id)
	}
	for _, m := range sim.inFlight {
		if m.kind == "unload" && m.adapter == adapter && (!m.fromPredecessor || !sim.fenced) && sameProcess {
			sim.Fatalf("dispatched %s to %s while an unload of it is in flight", id, adapter)
		}
	}
	sim.ownCalls[id] = true
	sim.inFlight = append(sim.inFlight, message{kind: "call", adapter: adapter, id: id})
}

// Load orders a load if the aggregate allows it.
func (sim *simulation) Load(*rapid.T) {
	adapter := sim.adapter()
	if order, ok := sim.agg.BeginLoad(adapter, sim.now); ok {
		sim.inFlight = append(sim.inFlight, message{kind: "load", adapter: adapter, order: order})
	}
}

// Unload orders an unload if the aggregate allows it.
func (sim *simulation) Unload(*rapid.T) {
	adapter := sim.adapter()
	if order, ok := sim.agg.BeginUnload(adapter, rapid.Bool().Draw(sim.T, "lease"), sim.now); ok {
		sim.inFlight = append(sim.inFlight, message{kind: "unload", adapter: adapter, order: order, unfenced: sim.fenceLost})
	}
}

// Predecessor sends a call or a load with the old token.
func (sim *simulation) Predecessor(*rapid.T) {
	if !sim.predecessorAlive {
		return
	}
	kind := rapid.SampledFrom([]string{"call", "load"}).Draw(sim.T, "kind")
	sim.calls++
	sim.inFlight = append(sim.inFlight, message{kind: kind, adapter: sim.adapter(), id: fmt.Sprintf("old-%d", sim.calls), fromPredecessor: true})
}

// TakeOver performs the next step of the takeover.
func (sim *simulation) TakeOver(*rapid.T) {
	switch {
	case sim.agg.NeedsFence():
		sim.fenced, sim.fenceLost = true, false
		boot := sim.bootID()
		sim.replies = append(sim.replies, func() { sim.agg.RecordFence(boot, sim.now) })
	case sim.agg.NeedsPredecessorIntents():
		sim.agg.RecordPredecessorIntents(sim.intents, sim.now)
	case sim.agg.NeedsPredecessorsStopped() && rapid.Bool().Draw(sim.T, "clear"):
		sim.predecessorAlive = false
		for i := range sim.inFlight {
			if sim.inFlight[i].fromPredecessor {
				sim.inFlight[i].expiresAt = sim.now.Add(testMaxDeliveryDelay)
			}
		}
		sim.agg.RecordPredecessorsStopped(sim.now)
	}
}

// Arrive delivers one of the messages in flight to the engine.
func (sim *simulation) Arrive(*rapid.T) {
	if len(sim.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(sim.inFlight)-1).Draw(sim.T, "message")
	m := sim.inFlight[i]
	sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
	if m.fromPredecessor && sim.fenced {
		return
	}
	sim.fenced = sim.fenced || sim.config.ChecksFencing && !m.fromPredecessor
	reply, boot := sim.execute(m), sim.bootID()
	switch {
	case m.fromPredecessor:
	case m.kind == "load":
		sim.replies = append(sim.replies, func() { sim.agg.EndLoad(m.order, reply, boot, sim.now) })
	case m.kind == "unload":
		sim.replies = append(sim.replies, func() { sim.agg.EndUnload(m.order, reply, boot, sim.now) })
	case reply == ReplyRefused:
		sim.replies = append(sim.replies, func() { sim.agg.EndCall(m.id, sim.now); sim.agg.MarkDoubtful(m.adapter, sim.now) })
	}
}

func (sim *simulation) execute(m message) Reply {
	has := slices.Contains(sim.resident, m.adapter)
	switch m.kind {
	case "call":
		if !has {
			return ReplyRefused
		}
		sim.running[m.id] = m.adapter
	case "load":
		if has || len(sim.resident) >= sim.config.Slots {
			return ReplyRefused
		}
		sim.resident = append(sim.resident, m.adapter)
	case "unload":
		for id, adapter := range sim.running {
			if adapter == m.adapter && (sim.ownCalls[id] || !m.fromPredecessor && !m.unfenced) {
				sim.Fatalf("unloaded %s (by predecessor: %t) while %s runs on it", m.adapter, m.fromPredecessor, id)
			}
		}
		sim.resident = slices.DeleteFunc(sim.resident, func(a call.AdapterRef) bool { return a == m.adapter })
	}
	return ReplyConfirmed
}

// Reply delivers a reply, which may be delivered again later.
func (sim *simulation) Reply(*rapid.T) {
	if len(sim.replies) == 0 {
		return
	}
	i := rapid.IntRange(0, len(sim.replies)-1).Draw(sim.T, "reply")
	sim.replies[i]()
	if rapid.Bool().Draw(sim.T, "once") {
		sim.replies = slices.Delete(sim.replies, i, i+1)
	}
}

// Lose breaks the connection of a message in flight or of a running call.
func (sim *simulation) Lose(*rapid.T) {
	for i := range sim.inFlight {
		m := &sim.inFlight[i]
		if m.fromPredecessor || !m.expiresAt.IsZero() || !rapid.Bool().Draw(sim.T, "lose") {
			continue
		}
		m.expiresAt = sim.now.Add(testMaxDeliveryDelay)
		sim.markLost(*m)
		return
	}
	for id := range sim.running {
		if sim.ownCalls[id] {
			sim.agg.MarkCallLost(id, sim.now)
			return
		}
	}
}

func (sim *simulation) markLost(m message) {
	switch m.kind {
	case "call":
		sim.agg.MarkCallLost(m.id, sim.now)
	case "load":
		sim.agg.EndLoad(m.order, ReplyLost, "", sim.now)
	case "unload":
		sim.agg.EndUnload(m.order, ReplyLost, "", sim.now)
	}
}

// Finish ends a running call.
func (sim *simulation) Finish(*rapid.T) {
	for _, id := range slices.Sorted(callIDs(sim.running)) {
		if rapid.Bool().Draw(sim.T, "finish") {
			delete(sim.running, id)
			sim.replies = append(sim.replies, func() { sim.agg.EndCall(id, sim.now) })
			return
		}
	}
}

func callIDs(running map[string]call.AdapterRef) func(func(string) bool) {
	return func(yield func(string) bool) {
		for id := range running {
			if !yield(id) {
				return
			}
		}
	}
}

// Restart starts a new engine process without adapters; connections to the old
// process are closed.
func (sim *simulation) Restart(*rapid.T) {
	if rapid.IntRange(0, 3).Draw(sim.T, "restart") > 0 {
		return
	}
	sim.boot++
	sim.fenced, sim.fenceLost = false, sim.config.ChecksFencing
	for _, id := range slices.Sorted(callIDs(sim.running)) {
		sim.replies = append(sim.replies, func() { sim.agg.EndCall(id, sim.now) })
	}
	for _, m := range sim.inFlight {
		if m.kind == "call" && !m.fromPredecessor {
			sim.replies = append(sim.replies, func() { sim.agg.MarkCallLost(m.id, sim.now) })
		}
	}
	sim.resident, sim.running, sim.history = nil, map[string]call.AdapterRef{}, nil
	sim.inFlight = slices.DeleteFunc(sim.inFlight, func(m message) bool { return !m.fromPredecessor })
}

func (sim *simulation) bootID() string {
	return fmt.Sprintf("boot-%d", sim.boot)
}

// MakeReport makes a report of the engine, which may be served much later.
func (sim *simulation) MakeReport(*rapid.T) {
	running := map[string]call.AdapterRef{}
	for id, adapter := range sim.running {
		running[id] = adapter
	}
	sim.history = append(sim.history, snapshot{madeAt: sim.now, Report: Report{BootID: sim.bootID(), Sequence: uint64(len(sim.history) + 1), Running: running, Resident: slices.Clone(sim.resident)}})
}

// ServeReport responds to a poll with one of the engine's reports.
func (sim *simulation) ServeReport(*rapid.T) {
	if len(sim.history) == 0 {
		return
	}
	s := rapid.SampledFrom(sim.history).Draw(sim.T, "report")
	sim.polls++
	s.Poll = sim.polls
	s.NotBefore = s.madeAt.Add(-time.Duration(rapid.IntRange(0, 3).Draw(sim.T, "latency")) * time.Millisecond)
	sim.reports = append(sim.reports, s.Report)
}

// ReadReport delivers a report, in any order and possibly more than once.
func (sim *simulation) ReadReport(*rapid.T) {
	if len(sim.reports) == 0 {
		return
	}
	i := rapid.IntRange(0, len(sim.reports)-1).Draw(sim.T, "read")
	sim.agg.Apply(sim.reports[i], sim.now)
	if rapid.Bool().Draw(sim.T, "last") {
		sim.reports = slices.Delete(sim.reports, i, i+1)
	}
}

// Poll reads a report that was made just now.
func (sim *simulation) Poll(*rapid.T) {
	sim.advanceClock(time.Millisecond)
	sim.MakeReport(nil)
	sim.polls++
	fresh := sim.history[len(sim.history)-1]
	fresh.Poll, fresh.NotBefore = sim.polls, sim.now
	sim.agg.Apply(fresh.Report, sim.now)
}

// settle loses all messages in flight, running calls and outstanding orders, and
// then applies fresh reports.
func (sim *simulation) settle() {
	for _, m := range sim.inFlight {
		if !m.fromPredecessor {
			sim.markLost(m)
		}
	}
	sim.inFlight = nil
	for id := range sim.running {
		sim.agg.MarkCallLost(id, sim.now)
	}
	sim.running = map[string]call.AdapterRef{}
	for _, id := range slices.Sorted(callIDs(sim.agg.pinned())) {
		sim.agg.MarkCallLost(id, sim.now)
	}
	for order := range sim.agg.lastOrder + 1 {
		sim.agg.EndLoad(order, ReplyLost, "", sim.now)
		sim.agg.EndUnload(order, ReplyLost, "", sim.now)
	}
	for range 4 {
		sim.predecessorAlive = false
		sim.agg.RecordFence(sim.bootID(), sim.now)
		sim.agg.RecordPredecessorIntents(nil, sim.now)
		sim.agg.RecordPredecessorsStopped(sim.now)
		sim.now = sim.now.Add(2 * testMaxDeliveryDelay)
		sim.Poll(nil)
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
// engine with lost, late and repeated replies, late reports, restarts and a
// predecessor that continues to send.
func TestNoEventOrderUnloadsAnAdapterInUse(t *testing.T) {
	for round := range 20 {
		t.Run(fmt.Sprint(round), func(t *testing.T) { rapid.Check(t, checkEventOrder) })
	}
}

func checkEventOrder(t *rapid.T) {
	sim := newSimulation(t)
	for range 4 {
		t.Repeat(rapid.StateMachineActions(sim))
	}
	sim.settle()
	if sim.agg.Running() != 0 || sim.agg.Unsettled() || !sim.agg.MayUnload(true) {
		t.Fatalf("not settled: %d pins, slots %+v, tenure %+v", sim.agg.Running(), sim.agg.Slots(), sim.agg.tenure)
	}
	for _, slot := range sim.agg.Slots() {
		if slot.Pins != 0 || (slot.State == Ready) != slices.Contains(sim.resident, slot.Adapter) {
			t.Fatalf("settled to %+v while the engine has %v", slot, sim.resident)
		}
	}
}
