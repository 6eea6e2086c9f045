package admission

import (
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
)

// formerPrefill is an admitted request; alone is set if no other was prefilled with it.
type formerPrefill struct {
	tokens     int
	admittedAt time.Duration
	alone      bool
}

// formerGate admits as the build 0de594e did: one batch at a time, the next one 20 ms after
// the first events of all of them, by one figure for time and tokens. Tests compare with it.
type formerGate struct {
	waiting     map[Key]*waiter
	prefills    map[Key]formerPrefill
	now         time.Duration
	perToken    time.Duration
	lastEndedAt time.Duration
	admitted    int
}

func newFormerGate() *formerGate {
	return &formerGate{waiting: make(map[Key]*waiter), prefills: make(map[Key]formerPrefill), perToken: 55 * time.Microsecond}
}

func (g *formerGate) Enqueue(now time.Duration, r Request) {
	if _, admitted := g.prefills[r.Key]; !admitted {
		g.waiting[r.Key] = &waiter{Request: r, lastRequestedAt: now}
	}
}

func (g *formerGate) Release(now time.Duration, key Key) {
	p, ok := g.prefills[key]
	if !ok {
		delete(g.waiting, key)
		return
	}
	delete(g.prefills, key)
	g.lastEndedAt = now
	if p.alone && p.tokens > 0 {
		sample := max(now-p.admittedAt-30*time.Millisecond, 0) / time.Duration(p.tokens)
		sample = min(max(sample, 10*time.Microsecond), time.Millisecond)
		g.perToken += time.Duration(0.1 * float64(sample-g.perToken))
	}
}

func (g *formerGate) Withdraw(key Key) { g.Release(g.now, key) }

func (g *formerGate) prefillTime(tokens int) time.Duration { return time.Duration(tokens) * g.perToken }

func (g *formerGate) Next(now time.Duration, freeSlots int, _ func(topology.Adapter, int64) residency.Status) []Decision {
	g.now = now
	for key, w := range g.waiting {
		if now-w.lastRequestedAt > 600*time.Millisecond || now >= w.Deadline {
			delete(g.waiting, key)
		}
	}
	for key, p := range g.prefills {
		if now-p.admittedAt > 2*g.prefillTime(p.tokens)+250*time.Millisecond {
			delete(g.prefills, key)
			g.lastEndedAt = now
		}
	}
	if len(g.prefills) > 0 || now < g.lastEndedAt+20*time.Millisecond {
		return nil
	}
	var decisions []Decision
	isLate := func(w *waiter) bool {
		return now+g.prefillTime(w.PromptTokens)+30*time.Millisecond > w.FirstEventDue
	}
	total := time.Duration(0)
	for ; len(g.waiting) > 0 && freeSlots > 0; freeSlots-- {
		var ready []*waiter
		for _, w := range g.waiting {
			ready = append(ready, w)
		}
		lateFirst := g.admitted%4 == 3
		best := slices.MinFunc(ready, func(a, b *waiter) int { return compare(a, b, isLate, lateFirst) })
		total += g.prefillTime(best.PromptTokens)
		if len(g.prefills) > 0 && total > time.Duration(0.6*float64(best.PauseObjective)) {
			break
		}
		delete(g.waiting, best.Key)
		for key, p := range g.prefills {
			p.alone = false
			g.prefills[key] = p
		}
		g.prefills[best.Key] = formerPrefill{tokens: best.PromptTokens, admittedAt: now, alone: len(g.prefills) == 0}
		g.admitted++
		decisions = append(decisions, Decision{Request: best.Request, Status: residency.Ready})
	}
	return decisions
}
