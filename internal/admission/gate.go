package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
)

// Constants of the turns at one engine.
const (
	// pauseShare is the part of the objective for pauses that prompts which
	// are read at once may take; the rest is left to the steps between them.
	pauseShare = 0.6
	// defaultPause stands for routes without an objective for pauses.
	defaultPause = 300 * time.Millisecond
	// breath is kept between the end of some turns and the next ones: two steps
	// of some 9 ms, so that an event of three tokens meets prompts once only.
	breath = 20 * time.Millisecond
	// firstPerToken is the time to read one prompt token until it was measured.
	firstPerToken = 55 * time.Microsecond
	// leastPerToken and mostPerToken bound what is measured.
	leastPerToken = 10 * time.Microsecond
	mostPerToken  = time.Millisecond
	// stepTime is the part of the time to a first event that is no reading of
	// the prompt: some steps and the way of the messages.
	stepTime = 30 * time.Millisecond
	// lostTurn ends a turn of which nothing was heard; it is added to twice
	// the expected time.
	lostTurn = 250 * time.Millisecond
	// askExpiry drops a request that its entry does not repeat.
	askExpiry = 600 * time.Millisecond
	// rankDelay is how much later the first event of a request of one rank
	// lower may be.
	rankDelay = 150 * time.Millisecond
	// lateShare gives each so many-th turn to a request that is late already.
	lateShare = 4
)

// Key names a request: a ticket is unique at its entry.
type Key struct {
	Entry  string
	Ticket uint64
}

// Request asks for a turn.
type Request struct {
	Key
	Adapter topology.Adapter
	Version int64
	// PromptTokens is the size of the prompt.
	PromptTokens int
	// Priority is the urgency; 0 is the most urgent.
	Priority int
	// PauseObjective is the objective for pauses of the request's route.
	PauseObjective time.Duration
	// FirstEventDue is when the first event should come, and Expires when the caller's
	// time is over.
	FirstEventDue time.Duration
	Deadline      time.Duration
}

// waiting is a request that waits for its turn.
type waiting struct {
	Request
	arrived time.Duration
	asked   time.Duration
}

// turn is a request that has begun and whose prompt is being read.
type turn struct {
	adapter topology.Adapter
	tokens  int
	began   time.Duration
	// alone tells that no other prompt is read at the same time.
	alone bool
}

// Gate hands out the turns at one engine. It is not safe for concurrent use.
type Gate struct {
	waiting  map[Key]*waiting
	turns    map[Key]turn
	perToken time.Duration
	// ended is when the last turn ended, if any has.
	ended time.Duration
	// granted counts turns, for the share of late requests.
	granted int
}

// NewGate returns a gate at which nothing waits.
func NewGate() *Gate {
	return &Gate{waiting: make(map[Key]*waiting), turns: make(map[Key]turn), perToken: firstPerToken}
}

// Enqueue adds a request or notes that it still waits.
func (g *Gate) Enqueue(now time.Duration, r Request) {
	if _, begun := g.turns[r.Key]; begun {
		return
	}
	w := g.waiting[r.Key]
	if w == nil {
		w = &waiting{arrived: now}
		g.waiting[r.Key] = w
	}
	w.Request = r
	w.asked = now
}

// Admitted reports whether a request has its turn already, so that its grant must
// have been lost.
func (g *Gate) Admitted(key Key) bool {
	_, begun := g.turns[key]
	return begun
}

// AdmittedAdapter returns the adapter of a request that has its turn.
func (g *Gate) AdmittedAdapter(key Key) (topology.Adapter, bool) {
	t, ok := g.turns[key]
	return t.adapter, ok
}

// Release ends a request's turn: its first event has come, or it has ended.
func (g *Gate) Release(now time.Duration, key Key) {
	t, ok := g.turns[key]
	if !ok {
		delete(g.waiting, key)
		return
	}
	delete(g.turns, key)
	g.ended = now
	if t.alone && t.tokens > 0 {
		g.measure(now-t.began, t.tokens)
	}
}

func (g *Gate) measure(took time.Duration, tokens int) {
	const weight = 0.1
	sample := max(took-stepTime, 0) / time.Duration(tokens)
	sample = min(max(sample, leastPerToken), mostPerToken)
	g.perToken += time.Duration(weight * float64(sample-g.perToken))
}

// Waiting returns the number of requests that wait for their turn.
func (g *Gate) Waiting() int {
	return len(g.waiting)
}

func (g *Gate) reading(tokens int) time.Duration {
	return time.Duration(tokens) * g.perToken
}

// WaitingAdapters calls yield for each adapter that requests wait for, with the sum of
// their weights.
func (g *Gate) WaitingAdapters(yield func(adapter topology.Adapter, version int64, weight float64)) {
	type wanted struct {
		adapter topology.Adapter
		version int64
	}
	sums := make(map[wanted]float64)
	for _, w := range g.waiting {
		sums[wanted{w.Adapter, w.Version}] += weight(w.Priority)
	}
	for key, sum := range sums {
		yield(key.adapter, key.version, sum)
	}
}

// weight is a request's value in the queue for adapters.
func weight(rank int) float64 {
	const lowest = 4
	return float64(1 + max(lowest-rank, 0))
}

// Decision is what an entry is to be told.
type Decision struct {
	Request
	Status residency.Status
}

// Next drops what has expired and returns the requests that may begin, and
// those that should go elsewhere. Status tells how an adapter stands, and free
// is the number of requests that the engine can run beside those that it does:
// beyond it, requests would wait there and preempt each other, which reads
// prompts again.
func (g *Gate) Next(now time.Duration, free int, status func(topology.Adapter, int64) residency.Status) []Decision {
	g.expire(now)
	var decisions []Decision
	var ready []*waiting
	for key, w := range g.waiting {
		stands := status(w.Adapter, w.Version)
		switch stands {
		case residency.Ready:
			ready = append(ready, w)
		case residency.Declined, residency.Unreachable:
			decisions = append(decisions, Decision{Request: w.Request, Status: stands})
			delete(g.waiting, key)
		}
	}
	if len(g.turns) > 0 || now < g.ended+breath {
		return decisions
	}
	for ; len(ready) > 0 && free > 0; free-- {
		i := g.pick(now, ready)
		if !g.fits(ready[i].Request) {
			break
		}
		g.begin(now, ready[i].Request)
		decisions = append(decisions, Decision{Request: ready[i].Request, Status: residency.Ready})
		ready = slices.Delete(ready, i, i+1)
	}
	return decisions
}

func (g *Gate) expire(now time.Duration) {
	for key, w := range g.waiting {
		if now-w.asked > askExpiry || now >= w.Deadline {
			delete(g.waiting, key)
		}
	}
	for key, t := range g.turns {
		if now-t.began > 2*g.reading(t.tokens)+lostTurn {
			delete(g.turns, key)
			g.ended = now
		}
	}
}

// fits reports whether a prompt may begin together with those that just did.
func (g *Gate) fits(r Request) bool {
	if len(g.turns) == 0 {
		return true
	}
	pause := r.PauseObjective
	if pause <= 0 {
		pause = defaultPause
	}
	reading := g.reading(r.PromptTokens)
	for _, t := range g.turns {
		reading += g.reading(t.tokens)
	}
	return reading <= time.Duration(pauseShare*float64(pause))
}

// pick returns the request that begins next: of those that can still meet
// their objective the one that is due first, by rank; each lateShare-th turn
// goes to the oldest one that can't.
func (g *Gate) pick(now time.Duration, ready []*waiting) int {
	late := func(w *waiting) bool { return now+g.reading(w.PromptTokens)+stepTime > w.FirstEventDue }
	lateFirst := g.granted%lateShare == lateShare-1
	best := 0
	for i := range ready {
		if compare(ready[i], ready[best], late, lateFirst) < 0 {
			best = i
		}
	}
	return best
}

func compare(a, b *waiting, late func(*waiting) bool, lateFirst bool) int {
	if late(a) != late(b) {
		if late(a) == lateFirst {
			return -1
		}
		return 1
	}
	due := func(w *waiting) time.Duration { return w.FirstEventDue + time.Duration(w.Priority)*rankDelay }
	if c := cmp.Compare(due(a), due(b)); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Entry, b.Entry); c != 0 {
		return c
	}
	return cmp.Compare(a.Ticket, b.Ticket)
}

func (g *Gate) begin(now time.Duration, r Request) {
	delete(g.waiting, r.Key)
	for key, t := range g.turns {
		t.alone = false
		g.turns[key] = t
	}
	g.turns[r.Key] = turn{adapter: r.Adapter, tokens: r.PromptTokens, began: now, alone: len(g.turns) == 0}
	g.granted++
}

// NextCheckDelay returns how soon turns may begin, or end by themselves.
func (g *Gate) NextCheckDelay(now time.Duration) time.Duration {
	wait := time.Second
	if len(g.turns) == 0 && len(g.waiting) > 0 && g.ended+breath > now {
		wait = g.ended + breath - now
	}
	for _, t := range g.turns {
		wait = min(wait, t.began+2*g.reading(t.tokens)+lostTurn-now)
	}
	return max(wait, time.Millisecond)
}
