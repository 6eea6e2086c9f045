package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/residency"
)

// minRoomIn is the shortest time after which the caller of a declined request comes back.
const minRoomIn = 100 * time.Millisecond

// minHeld is the number of requests of each priority, timely and late, that are held though
// more urgent ones take all of the engine: the minimum share goes to requests that wait.
const minHeld = 2

// hopelessInterval is the time between two looks for requests that are too late; a look
// takes longer the more requests wait.
const hopelessInterval = 50 * time.Millisecond

// hopeless returns the requests of customers whose turn comes only after their deadline, with
// the time at which there is room. The estimate is the work ahead of a request now, without
// that of later arrivals: late answers are still worth something, so a request that may
// begin before its deadline goes on waiting.
func (g *Gate) hopeless(now time.Duration, ready []*waiter) []Decision {
	begin := max(now, g.pacer.nextBatchAt())
	if now < g.hopelessCheckedAt+hopelessInterval || !g.anyHopeless(begin, ready) {
		return nil
	}
	g.hopelessCheckedAt = now
	queue := slices.SortedFunc(slices.Values(ready), func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(g.rank(now, a), g.rank(now, b)), compareDue(a, b))
	})
	var decisions []Decision
	ahead := make(map[int]*rankWork)
	inFront := time.Duration(0) // the work of all ranks before
	for i, w := range queue {
		rank := g.rank(now, w)
		if i > 0 && rank != g.rank(now, queue[i-1]) {
			inFront += ahead[g.rank(now, queue[i-1])].total
		}
		if ahead[rank] == nil {
			ahead[rank] = newRankWork(g, now, rank, queue)
		}
		inRank := ahead[rank].before(w, queue)
		turnAt := begin + g.turnWork(inFront+inRank, w.PauseObjective)
		if w.Customer != 0 && turnAt > w.Deadline && ahead[rank].count >= minHeld {
			decisions = append(decisions, Decision{Request: w.Request, Status: residency.TooLate, RoomIn: max(turnAt-w.Deadline, minRoomIn)})
			continue
		}
		ahead[rank].add(w, g.prefillTime(w.PromptTokens))
	}
	return decisions
}

// anyHopeless reports whether a request may be hopeless, if it is the last in the queue.
func (g *Gate) anyHopeless(begin time.Duration, ready []*waiter) bool {
	work, objective := time.Duration(0), time.Duration(0)
	for _, w := range ready {
		work += g.prefillTime(w.PromptTokens)
		if objective == 0 || w.PauseObjective < objective {
			objective = w.PauseObjective
		}
	}
	lastTurn := begin + g.turnWork(work, objective)
	return slices.ContainsFunc(ready, func(w *waiter) bool { return w.Customer != 0 && lastTurn > w.Deadline })
}

// rank returns the place of a request's class in the order of admissions.
func (g *Gate) rank(now time.Duration, w *waiter) int {
	if g.isLate(now, w) {
		return priorityCount + classOf(w)
	}
	return classOf(w)
}

// turnWork returns the time that an engine needs for some prefill work and the steps between.
func (g *Gate) turnWork(work, objective time.Duration) time.Duration {
	return work + time.Duration(float64(work)/float64(batchLimit(objective))*float64(g.pacer.gap()))
}

// rankWork is the work of the requests of one rank that are not declined.
type rankWork struct {
	total  time.Duration
	count  int
	own    map[uint64]time.Duration
	weight float64 // the sum of the weights of the customers of the rank
}

func newRankWork(g *Gate, now time.Duration, rank int, queue []*waiter) *rankWork {
	r := &rankWork{own: make(map[uint64]time.Duration)}
	seen := make(map[uint64]bool)
	for _, w := range queue {
		if g.rank(now, w) == rank && !seen[w.Customer] {
			seen[w.Customer] = true
			r.weight += weightOf(w, queue)
		}
	}
	return r
}

func (r *rankWork) add(w *waiter, work time.Duration) {
	r.total += work
	r.count++
	r.own[w.Customer] += work
}

// before returns the work that is admitted before a request of the rank: that of its own
// customer, and what the others get meanwhile by their weights.
func (r *rankWork) before(w *waiter, queue []*waiter) time.Duration {
	fair := time.Duration(float64(r.own[w.Customer]) * r.weight / weightOf(w, queue))
	return min(fair, r.total)
}
