package steer

import (
	"slices"
	"time"
)

// The fleet of the played loads, from the engines' sheets.
const (
	playVMs, playEngines, playAdapters = 84, 90, 10000
	playRate, playSkew                 = 437.0, 1.2
	playObjective                      = time.Second
	playStep, playStepPerRunning       = 9 * time.Millisecond, 30 * time.Microsecond
	playTokensPerMS, playChunk         = 22.0, 4096
	playTokensPerEvent                 = 3
	playLoad, playReload               = 288 * time.Millisecond, 29 * time.Millisecond
	playFleetLoads                     = 48
	playRecent                         = 96
	// playPerHolder is the number of requests a second for an adapter that one engine serves
	// at first.
	playPerHolder                        = 8.0
	playStall                            = 100 * time.Millisecond
	playReportPeriod, playReportDelay    = 1300 * time.Millisecond, 300 * time.Millisecond
	playLoadCheck                        = 5 * time.Millisecond
	playUserTTL                          = 3 * time.Second
	playHistory                          = 100 * time.Millisecond
	playWarmUp, playMeasured, playJoinAt = 1 * time.Second, 4 * time.Second, 2 * time.Second
)

// playedRequest is a request and what becomes of it.
type playedRequest struct {
	vm, adapter, prompt, output int
	at, firstAt                 time.Duration
	unread, produced            int
}

// playedState is what an engine's owner reports.
type playedState struct {
	work, perToken         time.Duration
	running, queued, loads int
	held, recent           []int
	workAt                 time.Duration
	hasPace                bool
}

type playedEngine struct {
	id             string
	pace           float64
	slots, places  int
	perToken       time.Duration
	stepEnd        time.Duration
	stalls         []time.Duration
	queue          []*playedRequest
	running        []*playedRequest
	usedAt         map[int]time.Duration
	using          map[int]int // requests that wait for prefill or run, by adapter
	waiting        map[int][]*playedRequest
	loads          []int // wait for a load or are being loaded; the first ones run
	loadsCheckedAt time.Duration
	fetching       int // adapter that is being fetched, -1 for none
	loadEnds       map[int]time.Duration
	recent         []int
	history        []playedState
	restartedAt    time.Duration
}

// requestLoad begins or queues the load of an adapter that the engine lacks.
func (e *playedEngine) requestLoad(adapter int) {
	if _, held := e.usedAt[adapter]; !held && !slices.Contains(e.loads, adapter) {
		e.loads = append(e.loads, adapter)
	}
}

func (e *playedEngine) enqueue(now time.Duration, r *playedRequest) {
	r.unread = r.prompt
	if _, held := e.usedAt[r.adapter]; held || r.adapter < 0 {
		if held {
			e.usedAt[r.adapter] = now
		}
		e.queue = append(e.queue, r)
		e.using[r.adapter]++
		return
	}
	e.waiting[r.adapter] = append(e.waiting[r.adapter], r)
	e.requestLoad(r.adapter)
}

// makePlace evicts the least recently used adapter if there is no free place.
func (e *playedEngine) makePlace() bool {
	if len(e.usedAt)+len(e.loadEnds) < e.places {
		return true
	}
	victim := -1
	for a, used := range e.usedAt {
		if e.using[a] == 0 && (victim < 0 || used < e.usedAt[victim] || used == e.usedAt[victim] && a < victim) {
			victim = a
		}
	}
	if victim < 0 {
		return false
	}
	delete(e.usedAt, victim)
	e.recent = append(e.recent, victim)
	if len(e.recent) > playRecent {
		e.recent = e.recent[1:]
	}
	return true
}

func (f *fleet) advanceLoads(e *playedEngine, now time.Duration) {
	if len(e.loads) == 0 || now < e.loadsCheckedAt+playLoadCheck {
		return
	}
	e.loadsCheckedAt = now
	for i := 0; i < len(e.loads); i++ {
		a := e.loads[i]
		end, begun := e.loadEnds[a]
		if begun && end <= now {
			if a == e.fetching {
				e.fetching = -1
				f.fetches--
			}
			delete(e.loadEnds, a)
			e.loads = slices.Delete(e.loads, i, i+1)
			e.usedAt[a] = end
			e.queue = append(e.queue, e.waiting[a]...)
			e.using[a] += len(e.waiting[a])
			delete(e.waiting, a)
			i = -1
			continue
		}
		reload := slices.Contains(e.recent, a)
		if begun || !reload && e.fetching >= 0 || !e.makePlace() {
			continue
		}
		if reload {
			e.loadEnds[a] = now + playReload
			continue
		}
		f.fetches++
		e.fetching = a
		e.loadEnds[a] = now + time.Duration(float64(playLoad)*max(1, float64(f.fetches)/playFleetLoads))
	}
}

// advance runs the engine's steps that begin before a time.
func (f *fleet) advance(e *playedEngine, now time.Duration) {
	f.advanceLoads(e, now)
	for e.stepEnd <= now && len(e.queue)+len(e.running) > 0 {
		e.step(max(e.stepEnd, now-time.Millisecond))
	}
}

func (e *playedEngine) step(now time.Duration) {
	tokens := 0
	for len(e.queue) > 0 && len(e.running) < e.slots && tokens < playChunk {
		r := e.queue[0]
		n := min(r.unread, playChunk-tokens)
		r.unread -= n
		tokens += n
		if r.unread > 0 {
			break
		}
		e.queue = e.queue[1:]
		e.running = append(e.running, r)
	}
	took := float64(playStep+time.Duration(len(e.running))*playStepPerRunning) + float64(tokens)/playTokensPerMS*1e6
	end := now + time.Duration(took/e.pace)
	for len(e.stalls) > 0 && e.stalls[0] <= end {
		end += playStall
		e.stalls = e.stalls[1:]
	}
	e.running = slices.DeleteFunc(e.running, func(r *playedRequest) bool {
		r.produced++
		if r.firstAt == 0 && (r.produced == playTokensPerEvent || r.produced >= r.output) {
			r.firstAt = end
		}
		if r.produced < r.output {
			return false
		}
		e.using[r.adapter]--
		return true
	})
	e.stepEnd = end
}

// workLeft is the time until the engine has prefilled what it has.
func (e *playedEngine) workLeft(now time.Duration) time.Duration {
	tokens := 0
	for _, r := range e.queue {
		tokens += r.unread
	}
	return max(e.stepEnd-now, 0) + time.Duration(tokens)*e.perToken
}

func (e *playedEngine) state(now time.Duration) playedState {
	s := playedState{work: e.workLeft(now), perToken: e.perToken, hasPace: true, running: len(e.running) + len(e.queue), queued: len(e.queue), loads: len(e.loads), recent: e.recent[:len(e.recent):len(e.recent)], workAt: now}
	if e.restartedAt > 0 && now < e.restartedAt+time.Second {
		s.perToken = 55 * time.Microsecond // as nothing has been measured
	}
	for a := range e.usedAt {
		s.held = append(s.held, a)
	}
	return s
}

func (e *playedEngine) restart(now time.Duration) {
	*e = playedEngine{id: e.id, pace: e.pace, slots: e.slots, places: e.places, perToken: e.perToken, stalls: e.stalls, fetching: -1, history: e.history,
		usedAt: map[int]time.Duration{}, using: map[int]int{}, waiting: map[int][]*playedRequest{}, loadEnds: map[int]time.Duration{}, restartedAt: now}
}
