package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
)

// admitter is what the model asks for admissions.
type admitter interface {
	Enqueue(now time.Duration, r Request)
	Next(now time.Duration, freeSlots int, status func(topology.Adapter, int64) residency.Status) []Decision
	Release(now time.Duration, key Key)
	Withdraw(key Key)
}

// modelEngine describes an engine and its entries: the figures are from the engines' sheets.
type modelEngine struct {
	// pace multiplies all times of the engine.
	pace     float64
	slots    int
	overhead time.Duration
	// stallEvery is the mean time between stalls of modelStall; 0 for none.
	stallEvery time.Duration
	// objective and pauseObjective are those of all requests.
	objective, pauseObjective time.Duration
}

// Constants of the model.
const (
	modelStep        = 9 * time.Millisecond
	modelStepRunning = 30 * time.Microsecond
	modelTokensPerMS = 22.0
	modelStall       = 1500 * time.Millisecond
	modelTick        = time.Millisecond
	modelRepeat      = 120 * time.Millisecond
	modelWarmUp      = 5 * time.Second
)

// modelRequest is a request of the load and what became of it.
type modelRequest struct {
	arrival
	customer uint64
	weight   float64
	key      Key

	admittedAt, prefillableAt time.Duration
	prefilled, produced       int
	eventTokens               int
	firstAt, lastAt, maxPause time.Duration
	asked, ended              bool
}

// modelMessage is a message on its way; it is delivered at a time.
type modelMessage struct {
	at      time.Duration
	deliver func(now time.Duration)
}

// model runs a load through one engine.
type model struct {
	engine   modelEngine
	gate     admitter
	random   *rand.Rand
	messages []modelMessage
	waiting  []*modelRequest
	running  []*modelRequest // at the engine, in the order of their arrival
	admitted int
	stepEnds time.Duration
	inStep   bool
	stallAt  time.Duration
}

func (m *model) send(now time.Duration, deliver func(now time.Duration)) {
	// Messages take 2 ms, and now and then longer on a VM with a small part of a core.
	latency := 2*time.Millisecond + time.Duration(m.random.ExpFloat64()*float64(2*time.Millisecond))
	if m.random.IntN(20) == 0 {
		latency += time.Duration(m.random.IntN(20)) * time.Millisecond
	}
	m.messages = append(m.messages, modelMessage{at: now + latency, deliver: deliver})
}

// run returns the requests of the load once all have ended.
func (e modelEngine) run(gate admitter, load []*modelRequest, seed uint64) []*modelRequest {
	m := &model{engine: e, gate: gate, random: rand.New(rand.NewPCG(seed, 99)), stallAt: 1 << 62}
	if e.stallEvery > 0 {
		m.stallAt = time.Duration(m.random.ExpFloat64() * float64(e.stallEvery))
	}
	next := 0
	for now := time.Duration(0); next < len(load) || len(m.waiting) > 0 || m.admitted > 0; now += modelTick {
		for ; next < len(load) && load[next].at <= now; next++ {
			r := load[next]
			r.key = Key{Entry: fmt.Sprint("vm", next%7), Ticket: uint64(next + 1)}
			r.eventTokens = 3 + m.random.IntN(3)
			m.waiting = append(m.waiting, r)
		}
		m.deliver(now)
		m.ask(now)
		for _, d := range m.gate.Next(now, e.slots-m.admitted, func(topology.Adapter, int64) residency.Status { return residency.Ready }) {
			m.decide(now, d)
		}
		m.step(now)
		m.end(now)
	}
	return load
}

func (m *model) deliver(now time.Duration) {
	due := slices.Clone(m.messages)
	m.messages = slices.DeleteFunc(m.messages, func(x modelMessage) bool { return x.at <= now })
	for _, x := range due {
		if x.at <= now {
			x.deliver(now)
		}
	}
}

// ask sends and repeats the requests for admission.
func (m *model) ask(now time.Duration) {
	for _, r := range m.waiting {
		if since := now - r.at; r.asked && since%modelRepeat >= modelTick {
			continue
		}
		r.asked = true
		request := Request{
			Key: r.key, PromptTokens: r.promptTokens, Priority: r.priority, PauseObjective: m.engine.pauseObjective,
			FirstEventDue: r.at + m.engine.objective, Deadline: r.at + time.Duration(2.6*float64(m.engine.objective)),
			Customer: r.customer, Weight: r.weight,
		}
		m.send(now, func(now time.Duration) {
			if !r.ended && r.admittedAt == 0 {
				m.gate.Enqueue(now, request)
			}
		})
	}
}

func (m *model) decide(now time.Duration, d Decision) {
	i := slices.IndexFunc(m.waiting, func(r *modelRequest) bool { return r.key == d.Key })
	if i < 0 {
		panic("decision on a request that does not wait")
	}
	r := m.waiting[i]
	m.waiting = slices.Delete(m.waiting, i, i+1)
	if d.Status != residency.Ready {
		r.ended = true
		return
	}
	m.admitted++
	r.admittedAt = now
	m.send(now, func(now time.Duration) {
		m.send(now, func(now time.Duration) {
			r.prefillableAt = now + m.engine.overhead
			m.running = append(m.running, r)
		})
	})
}

// step ends the engine's step and begins the next one.
func (m *model) step(now time.Duration) {
	if m.inStep && now < m.stepEnds {
		return
	}
	if m.inStep {
		m.produce(now)
	}
	m.inStep = false
	chunk, active, prefills := 4096, 0, 0
	for _, r := range m.running {
		if r.prefillableAt > now {
			continue
		}
		active++
		n := min(r.promptTokens-r.prefilled, chunk)
		r.prefilled += n
		chunk -= n
		prefills += n
	}
	if active == 0 {
		return
	}
	took := float64(modelStep) + float64(active)*float64(modelStepRunning) + float64(prefills)/modelTokensPerMS*float64(time.Millisecond)
	m.stepEnds = now + time.Duration(m.engine.pace*took)
	if now >= m.stallAt {
		m.stepEnds += modelStall
		m.stallAt = now + modelStall + time.Duration(m.random.ExpFloat64()*float64(m.engine.stallEvery))
	}
	m.inStep = true
}

// produce lets each request whose prompt is prefilled produce a token.
func (m *model) produce(now time.Duration) {
	for _, r := range m.running {
		if r.prefillableAt > now || r.prefilled < r.promptTokens {
			continue
		}
		r.produced++
		if r.produced%r.eventTokens != 0 && r.produced < r.outputTokens {
			continue
		}
		if r.firstAt == 0 {
			r.firstAt = now
			m.send(now, func(now time.Duration) { m.gate.Release(now, r.key) })
		} else {
			r.maxPause = max(r.maxPause, now-r.lastAt)
		}
		r.lastAt = now
	}
}

// end ends requests that are complete, and those whose deadline has passed before they
// were sent.
func (m *model) end(now time.Duration) {
	m.running = slices.DeleteFunc(m.running, func(r *modelRequest) bool {
		if r.produced < r.outputTokens {
			return false
		}
		r.ended = true
		m.send(now, func(now time.Duration) {
			m.admitted--
			m.gate.Withdraw(r.key)
		})
		return true
	})
	m.waiting = slices.DeleteFunc(m.waiting, func(r *modelRequest) bool {
		r.ended = now >= r.at+time.Duration(2.6*float64(m.engine.objective))
		return r.ended
	})
}

// modelResult counts the requests after the warm-up.
type modelResult struct {
	// all is the number of requests, timely that of those with a first event within its
	// objective, and good that of the timely ones with all pauses within theirs.
	all, timely, good int
	// started is the number of streams, and paused that of those with a longer pause.
	started, paused int
	// wait and first are the medians of the wait for admission and of the time to the
	// first event, and first90 is the 90th percentile of the latter.
	wait, first, first90 time.Duration
}

func (r modelResult) String() string {
	return fmt.Sprintf("%d requests, %d timely, %d good, %d of %d streams paused, wait p50 %v, first event p50 %v p90 %v", r.all, r.timely, r.good, r.paused, r.started, r.wait, r.first, r.first90)
}

func (e modelEngine) summarize(requests []*modelRequest, counts func(*modelRequest) bool) modelResult {
	var result modelResult
	var waits, firsts []time.Duration
	for _, r := range requests {
		if r.at < modelWarmUp || counts != nil && !counts(r) {
			continue
		}
		result.all++
		if r.firstAt == 0 {
			continue
		}
		result.started++
		waits, firsts = append(waits, r.admittedAt-r.at), append(firsts, r.firstAt-r.at)
		timely, steady := r.firstAt-r.at <= e.objective, r.maxPause <= e.pauseObjective
		if timely {
			result.timely++
		}
		if timely && steady {
			result.good++
		}
		if !steady {
			result.paused++
		}
	}
	if len(waits) > 0 {
		slices.Sort(waits)
		slices.Sort(firsts)
		result.wait, result.first, result.first90 = waits[len(waits)/2], firsts[len(firsts)/2], firsts[len(firsts)*9/10]
	}
	return result
}

// poisson returns requests that arrive independently, as many entries send them, with
// about 1,180 prompt tokens.
func poisson(seed uint64, perSecond float64, length time.Duration) []*modelRequest {
	random := rand.New(rand.NewPCG(seed, 7))
	var load []*modelRequest
	for at := time.Duration(0); at < length; at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
		load = append(load, &modelRequest{arrival: arrival{
			at: at, promptTokens: min(300+int(random.ExpFloat64()*900), 4000),
			outputTokens: 30 + int(random.ExpFloat64()*70), priority: random.IntN(3),
		}})
	}
	return load
}

// plus returns the sums of the counts, and the means of the times weighted by streams.
func (r modelResult) plus(other modelResult) modelResult {
	mean := func(a, b time.Duration) time.Duration {
		if r.started+other.started == 0 {
			return 0
		}
		return (a*time.Duration(r.started) + b*time.Duration(other.started)) / time.Duration(r.started+other.started)
	}
	return modelResult{
		all: r.all + other.all, timely: r.timely + other.timely, good: r.good + other.good,
		started: r.started + other.started, paused: r.paused + other.paused,
		wait: mean(r.wait, other.wait), first: mean(r.first, other.first), first90: mean(r.first90, other.first90),
	}
}
