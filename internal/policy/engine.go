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
	// prefillPerStep is the number of prompt tokens that cost one step.
	prefillPerStep = 512
)

// stepSeconds returns the time of one decoding step with n running calls.
func stepSeconds(n int) float64 {
	return (stepBase + time.Duration(n)*stepPerCall).Seconds()
}

// engine models one engine and its owner. Running calls advance by one token
// a step; progress counts the steps since the start.
type engine struct {
	name     string
	index    int
	queue    *queue.Queue
	slots    map[call.AdapterRef]*slot
	size     int
	running  int
	max      int
	progress float64
	updated  time.Time
	marks    markHeap
	schedule int
	// wholeBacklog tells all waiting calls in place of the fair backlog.
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

// load is a load that waits for its permit or runs.
type load struct {
	adapter call.AdapterRef
	began   time.Time
	asked   time.Time
	running bool
}

// mark is the progress at which a call gets its first token or ends.
type mark struct {
	at    float64
	call  *callState
	final bool
}

// markHeap orders marks by progress; it implements heap.Interface.
type markHeap []mark

func (h markHeap) Len() int           { return len(h) }
func (h markHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h markHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *markHeap) Push(x any) { *h = append(*h, x.(mark)) }

// Pop implements heap.Interface.
func (h *markHeap) Pop() any {
	last := len(*h) - 1
	m := (*h)[last]
	*h = (*h)[:last]
	return m
}

// advance moves the running calls on to now.
func (e *engine) advance(now time.Time, measured bool) {
	elapsed := now.Sub(e.updated).Seconds()
	e.updated = now
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

// nextMark returns the time of the next mark, false if nothing runs.
func (e *engine) nextMark() (time.Time, bool) {
	if len(e.marks) == 0 {
		return time.Time{}, false
	}
	steps := max(e.marks[0].at-e.progress, 0)
	return e.updated.Add(time.Duration(steps*stepSeconds(e.running)*float64(time.Second)) + 1), true
}

// start runs a call whose adapter is ready.
func (e *engine) start(now time.Time, c *callState) {
	s := e.slots[c.Adapter]
	s.pins++
	s.use(now)
	e.running++
	first := e.progress + 1 + float64(c.PromptTokens)/prefillPerStep
	heap.Push(&e.marks, mark{at: first, call: c})
	heap.Push(&e.marks, mark{at: first + float64(c.OutputTokens), call: c, final: true})
}

func (s *slot) use(now time.Time) {
	s.uses = placement.DecayUses(s.uses, now.Sub(s.lastUse)) + 1
	s.lastUse = now
}

// end releases a call that has its last token.
func (e *engine) end(c *callState) {
	e.running--
	e.slots[c.Adapter].pins--
}

// ready tells that calls for the adapter can be dispatched.
func (e *engine) ready(adapter call.AdapterRef) bool {
	s, ok := e.slots[adapter]
	return ok && s.ready
}

// victims returns the loaded adapters that no call uses or waits for.
func (e *engine) victims(now time.Time, loadTime time.Duration) []placement.Resident {
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

// room returns the slots that further loads could use: empty ones and those
// that nothing uses, less those that loads under way will take.
func (e *engine) room(now time.Time) int {
	free := e.size - len(e.slots)
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

// backlog returns the waiting calls that the owner tells of.
func (e *engine) backlog() int {
	if e.wholeBacklog {
		return e.queue.Len()
	}
	return e.queue.Backlog(e.max)
}

// load returns what the owner tells of its engine.
func (e *engine) load(now time.Time, adapter call.AdapterRef) placement.EngineLoad {
	s, held := e.slots[adapter]
	_, loading := e.loads[adapter]
	return placement.EngineLoad{
		Engine:     e.name,
		Running:    e.running,
		MaxRunning: e.max,
		Waiting:    e.backlog(),
		FreeSlots:  max(e.room(now), 0),
		Resident:   held && s.ready,
		Loading:    loading || !held && e.queue.Waiting(adapter) > 0,
	}
}
