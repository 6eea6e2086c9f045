package policy

import (
	"container/heap"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/placement"
	"github.com/barleylift/barleylift/internal/queue"
)

const (
	// stepBase is the time of a decoding step without calls.
	stepBase = 9 * time.Millisecond
	// stepPerCall is what each running call adds to a step.
	stepPerCall = 150 * time.Microsecond
	// prefillPerStep is the number of prompt tokens whose prefill takes one step.
	prefillPerStep = 512
)

// stepSeconds returns the time of one decoding step with n running calls.
func stepSeconds(n int) float64 {
	return (stepBase + time.Duration(n)*stepPerCall).Seconds()
}

// engine models one engine and its owner. Running calls advance by one token
// per step; progress counts the steps since the start.
type engine struct {
	name      string
	index     int
	queue     *queue.Queue
	slots     map[call.AdapterRef]*slot
	slotCount int
	running   int
	// max is the maximum number of running calls.
	max        int
	progress   float64
	updatedAt  time.Time
	milestones milestoneHeap
	generation int
	// wholeBacklog is Policy.WholeBacklog.
	wholeBacklog bool
	loads        map[call.AdapterRef]*load
	stall        queue.StallEstimate
	fillSteps    float64
	steps        float64
}

// slot holds one adapter, loaded or being loaded.
type slot struct {
	ready   bool
	pins    int
	lastUse time.Time
	uses    float64
}

// load is a load that waits for its permit or is running.
type load struct {
	adapter        call.AdapterRef
	requestedAt    time.Time
	pressureSentAt time.Time
	running        bool
}

// milestone is the progress at which a call gets its first token or, if final,
// ends.
type milestone struct {
	progress float64
	call     *callState
	final    bool
}

// milestoneHeap orders milestones by progress; it implements heap.Interface.
type milestoneHeap []milestone

func (h milestoneHeap) Len() int           { return len(h) }
func (h milestoneHeap) Less(i, j int) bool { return h[i].progress < h[j].progress }
func (h milestoneHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *milestoneHeap) Push(x any) { *h = append(*h, x.(milestone)) }

// Pop implements heap.Interface.
func (h *milestoneHeap) Pop() any {
	last := len(*h) - 1
	m := (*h)[last]
	*h = (*h)[:last]
	return m
}

// advance moves the running calls forward to now.
func (e *engine) advance(now time.Time, measured bool) {
	elapsed := now.Sub(e.updatedAt).Seconds()
	e.updatedAt = now
	if e.running == 0 || elapsed <= 0 {
		return
	}
	steps := elapsed / stepSeconds(e.running)
	e.progress += steps
	if measured {
		e.steps += steps
		e.fillSteps += steps * float64(e.running) / float64(e.max)
	}
}

// nextMilestone returns the time of the next milestone, false if nothing runs.
func (e *engine) nextMilestone() (time.Time, bool) {
	if len(e.milestones) == 0 {
		return time.Time{}, false
	}
	steps := max(e.milestones[0].progress-e.progress, 0)
	return e.updatedAt.Add(time.Duration(steps*stepSeconds(e.running)*float64(time.Second)) + 1), true
}

// startCall starts a call whose adapter is ready.
func (e *engine) startCall(now time.Time, c *callState) {
	s := e.slots[c.Adapter]
	s.pins++
	s.recordUse(now)
	e.running++
	first := e.progress + 1 + float64(c.PromptTokens)/prefillPerStep
	heap.Push(&e.milestones, milestone{progress: first, call: c})
	heap.Push(&e.milestones, milestone{progress: first + float64(c.OutputTokens), call: c, final: true})
}

func (s *slot) recordUse(now time.Time) {
	s.uses = placement.DecayUses(s.uses, now.Sub(s.lastUse)) + 1
	s.lastUse = now
}

// endCall ends a call that has its last token.
func (e *engine) endCall(c *callState) {
	e.running--
	e.slots[c.Adapter].pins--
}

// ready reports whether calls for the adapter can be dispatched.
func (e *engine) ready(adapter call.AdapterRef) bool {
	s, ok := e.slots[adapter]
	return ok && s.ready
}

// evictable returns the loaded adapters that no call uses or waits for.
func (e *engine) evictable(now time.Time, loadTime time.Duration) []placement.Resident {
	demanded := e.demanded(now)
	var residents []placement.Resident
	for adapter, s := range e.slots {
		if s.ready && s.pins == 0 && !demanded[adapter] {
			residents = append(residents, placement.Resident{
				Adapter: adapter, LastUse: s.lastUse, Uses: s.uses, LoadTime: loadTime,
			})
		}
	}
	sortResidents(residents)
	return residents
}

func (e *engine) demanded(now time.Time) map[call.AdapterRef]bool {
	demanded := make(map[call.AdapterRef]bool)
	for _, d := range e.queue.Demands(now) {
		demanded[d.Adapter] = true
	}
	return demanded
}

// freeSlots returns the number of slots that further loads could use: those that
// are empty or whose adapter is unused, less those needed by loads that wait for
// a permit.
func (e *engine) freeSlots(now time.Time) int {
	free := e.slotCount - len(e.slots)
	demanded := e.demanded(now)
	for adapter, s := range e.slots {
		if s.ready && s.pins == 0 && !demanded[adapter] {
			free++
		}
	}
	for _, l := range e.loads {
		if !l.running {
			free--
		}
	}
	return free
}

// backlog returns the number of waiting calls that the owner reports to homes.
func (e *engine) backlog() int {
	if e.wholeBacklog {
		return e.queue.Len()
	}
	return e.queue.Backlog(e.max)
}

// engineLoad returns the load that the owner reports to homes.
func (e *engine) engineLoad(now time.Time, adapter call.AdapterRef) placement.EngineLoad {
	s, held := e.slots[adapter]
	_, loading := e.loads[adapter]
	return placement.EngineLoad{
		Engine:     e.name,
		Running:    e.running,
		MaxRunning: e.max,
		Waiting:    e.backlog(),
		FreeSlots:  max(e.freeSlots(now), 0),
		Resident:   held && s.ready,
		Loading:    loading || !held && e.queue.Waiting(adapter) > 0,
	}
}
