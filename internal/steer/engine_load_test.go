package steer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/topology"
)

// view is what a VM knows of an engine.
func (f *fleet) view(now time.Duration, vm, i int, r *playedRequest) Engine {
	e := f.engines[i]
	phase := time.Duration((vm*7919+i*104729)%1300) * time.Millisecond
	delay := playReportDelay + f.load.stale
	seen := (now-delay-phase)/playReportPeriod*playReportPeriod + phase
	if seen > now-delay {
		seen -= playReportPeriod
	}
	joined := vm < f.load.joins
	if joined && seen < playJoinAt {
		seen = playJoinAt - 3*time.Second // its registration
	}
	s := e.history[min(max(int(seen/playHistory), 0), len(e.history)-1)]
	if joined && now < playJoinAt+playReportPeriod {
		s = playedState{held: s.held}
	}
	own := f.own[vm][i]
	unreported := f.load.partial && (len(own) == 0 || own[len(own)-1].at < seen-playUserTTL)
	if unreported {
		s = playedState{held: s.held, perToken: s.perToken}
	}
	view := Engine{ID: e.id, Slots: e.slots, Holds: slices.Contains(s.held, r.adapter), PendingLoads: s.loads, Running: s.running, Queued: s.queued, WorkAge: time.Hour}
	if s.hasPace {
		view.PrefillPerToken, view.WaitingWork, view.WorkAge = s.perToken, s.work, now-seen-delay+playReportDelay
	}
	if a := f.asked[vm][i]; a.hasPace && a.workAt > seen {
		view.Queued, view.WaitingWork, view.WorkAge, seen = a.queued, a.work, now-a.workAt, a.workAt
	}
	if unreported && len(own) > 0 {
		view.PrefillPerToken = s.perToken // known from the last answer
	}
	view.HeldLately = !view.Holds && slices.Contains(s.recent, r.adapter)
	view.PromptTokens = r.prompt
	for _, sent := range own {
		if sent.at > seen {
			view.Running++
			view.OwnWork += time.Duration(sent.tokens) * cmp.Or(view.PrefillPerToken, 50*time.Microsecond)
		}
	}
	return view
}

type chooser func(f *fleet, now time.Duration, r *playedRequest, random uint64) (engine, spread int)

// play returns the share of requests with a first event within the objective.
func play(load playedLoad, seed uint64, choose chooser) (inTime float64) {
	f := newFleet(load, seed)
	random := rand.New(rand.NewPCG(seed, 3))
	sent := 0
	requests := load.requests(seed)
	nextHistory, restarted := time.Duration(0), false
	for _, r := range requests {
		for ; nextHistory <= r.at; nextHistory += playHistory {
			for _, e := range f.engines {
				f.advance(e, nextHistory)
				e.history = append(e.history, e.state(nextHistory))
			}
		}
		if !restarted && r.at > playJoinAt {
			restarted = true
			for i := range load.restarts {
				e := f.engines[i*playEngines/load.restarts]
				if e.fetching >= 0 {
					f.fetches--
				}
				e.restart(r.at)
			}
		}
		for _, e := range f.engines {
			f.advance(e, r.at)
		}
		engine, spread := choose(f, r.at, r, random.Uint64())
		if spread >= 0 {
			f.engines[spread].requestLoad(r.adapter)
		}
		f.engines[engine].enqueue(r.at, r)
		s := f.engines[engine].state(r.at)
		f.asked[r.vm][engine] = s
		f.own[r.vm][engine] = append(f.own[r.vm][engine], ownSend{r.at, r.prompt})
		if len(f.own[r.vm][engine]) > 32 {
			f.own[r.vm][engine] = f.own[r.vm][engine][1:]
		}
	}
	for at := nextHistory; at < playWarmUp+playMeasured+2*time.Second; at += 10 * time.Millisecond {
		for _, e := range f.engines {
			f.advance(e, at)
		}
	}
	hit := 0
	for _, r := range requests {
		if r.at < playWarmUp {
			continue
		}
		sent++
		if r.firstAt > 0 && r.firstAt-r.at <= playObjective {
			hit++
		}
	}
	return float64(hit) / float64(sent)
}

// chooseBy returns a chooser from the VMs' views.
func chooseBy(pick func(topology.Adapter, []Engine, uint64) (Choice, bool)) chooser {
	return func(f *fleet, now time.Duration, r *playedRequest, random uint64) (engine, spread int) {
		views := make([]Engine, len(f.engines))
		for i := range f.engines {
			views[i] = f.view(now, r.vm, i, r)
		}
		choice, ok := pick(playedAdapter(r.adapter), views, random)
		if !ok {
			panic("no engine")
		}
		spread = -1
		if choice.SpreadTo != "" {
			spread = f.engineOf(choice.SpreadTo)
		}
		return f.engineOf(choice.Engine), spread
	}
}

// chooseFewest sends each request to the engine with the fewest requests.
func chooseFewest(_ topology.Adapter, engines []Engine, random uint64) (Choice, bool) {
	best := slices.MinFunc(engines, func(a, b Engine) int {
		if a.Running != b.Running {
			return cmp.Compare(a.Running, b.Running)
		}
		return cmp.Compare(a.tieBreaker(random), b.tieBreaker(random))
	})
	return Choice{Engine: best.ID}, true
}

// knowingEnough is the time to the first event from which on an omniscient choice loads the
// adapter at a further engine; of 150 to 900 ms it serves most in time on most loads.
const knowingEnough = playObjective / 4

// chooseKnowing knows the state of each engine at the moment and the whole request. Of
// the engines that make it in time it prefers those that need no load.
func chooseKnowing(f *fleet, now time.Duration, r *playedRequest, _ uint64) (engine, spread int) {
	best, bestTime, bestLoads := 0, time.Duration(math.MaxInt64), false
	for i, e := range f.engines {
		at, loads := e.workLeft(now), false
		if len(e.running) >= e.slots {
			at += time.Duration(len(e.queue)+1) * 80 * time.Millisecond
		}
		if len(e.stalls) > 0 && e.stalls[0] < now+at+playObjective/4 {
			at += playStall
		}
		if _, held := e.usedAt[r.adapter]; !held && r.adapter >= 0 {
			load := playReload
			loads = !slices.Contains(e.loads, r.adapter)
			if !slices.Contains(e.recent, r.adapter) {
				ahead := 0
				for _, a := range e.loads {
					if a == r.adapter {
						break
					}
					if !slices.Contains(e.recent, a) {
						ahead++
					}
				}
				load = time.Duration(float64(ahead+1) * float64(playLoad) * max(1, float64(f.fetches+1)/playFleetLoads))
			} else {
				loads = false
			}
			at = max(at, load)
		}
		at += time.Duration(r.prompt)*e.perToken + time.Duration(float64(playTokensPerEvent*playStep)/e.pace)
		bestOK, ok := bestTime <= knowingEnough, at <= knowingEnough
		better := at < bestTime
		if ok != bestOK {
			better = ok
		} else if ok && loads != bestLoads {
			better = bestLoads
		}
		if better {
			best, bestTime, bestLoads = i, at, loads
		}
	}
	return best, -1
}

var playedLoads = []playedLoad{
	{name: "light", rate: 0.3},
	{name: "usual", rate: 1},
	{name: "hot adapters at their homes alone", rate: 1, coldStart: true},
	{name: "busy", rate: 1.7},
	{name: "burst of 2.5", rate: 1, burst: 2.5},
	{name: "base model, busy", rate: 2, plain: true},
	{name: "stale reports", rate: 1.5, stale: time.Second},
	{name: "reports of engines used lately", rate: 1, partial: true},
	{name: "busy, reports of engines used lately", rate: 1.7, partial: true},
	{name: "VMs join", rate: 1.5, joins: 28},
	{name: "engines restart", rate: 1, restarts: 9},
}

// The loads that the choice of an engine is for. Each VM knows only what owners reported
// some time ago, and its own requests. Guards against a choice that closes less than half
// of the gap between the choice by counts and one that knows everything, or serves any of
// these loads worse.
func TestChoiceByTimeServesMoreInTime(t *testing.T) {
	for _, load := range playedLoads {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			const seed = 5
			today := play(load, seed, chooseBy(pickEngineToday))
			byTime := play(load, seed, chooseBy(PickEngine))
			knowing := play(load, seed, chooseKnowing)
			t.Logf(load.name+": in time: today's choice %.4f, by time %.4f, knowing %.4f", today, byTime, knowing)
			if load.rate == 1 && load.burst == 0 {
				if fewest := play(load, seed, chooseBy(chooseFewest)); byTime < fewest {
					t.Errorf("%.4f in time by the fewest requests", fewest)
				}
			}
			if byTime < today || byTime-today < (knowing-today)/2 {
				t.Errorf("%.4f in time by time, %.4f by today's choice, %.4f knowing everything: less than half of the way", byTime, today, knowing)
			}
		})
	}
}
