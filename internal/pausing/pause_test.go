package pausing

import (
	"math/rand/v2"
	"testing"
	"time"
)

const second = time.Second

func TestExtended(t *testing.T) {
	tests := []struct {
		name    string
		pause   Pause
		now     time.Duration
		length  time.Duration
		want    time.Duration
		rampEnd time.Duration
	}{
		{"first", Pause{}, 10 * second, 2 * second, 12 * second, 13 * second},
		{"a later end holds", Pause{10 * second, 12 * second}, 11 * second, 5 * second, 16 * second, 19 * second},
		{"an earlier end is ignored", Pause{10 * second, 14 * second}, 11 * second, second, 14 * second, 16 * second},
		{"a new pause in the ramp", Pause{10 * second, 12 * second}, 12*second + 1, 2 * second, 14*second + 1, 15*second + 1},
		{"minutes", Pause{}, 0, 5 * time.Minute, 5 * time.Minute, 5*time.Minute + maxRamp},
		{"too long", Pause{}, 0, time.Hour, Max, Max + maxRamp},
		{"very short", Pause{}, 0, time.Millisecond, time.Millisecond, time.Millisecond + minRamp},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := test.pause.Extended(test.now, test.length)
			if p.Until() != test.want || p.Over(test.rampEnd-1) || !p.Over(test.rampEnd) {
				t.Errorf("ends at %v, ramp over %t and %t, want %v and %v", p.Until(), p.Over(test.rampEnd-1), p.Over(test.rampEnd), test.want, test.rampEnd)
			}
		})
	}
}

func TestZeroPauseTakesAll(t *testing.T) {
	if p := (Pause{}); p.Active(0) || !p.Over(0) || !p.Takes(0, 1<<63) {
		t.Error("an upstream that never asked for a pause does not get all requests")
	}
}

// engine is an engine that serves a request for 100 ms.
type engine struct {
	pause   Pause
	running []time.Duration
	// asks returns the length of the pause that the engine asks for; 0 for none.
	asks func(now time.Duration, running int) time.Duration
	// inPause counts the requests that arrived during a pause.
	inPause int
	peak    int
}

const (
	workTime = 100 * time.Millisecond
	patience = 3 * second
)

// outcome counts what callers got.
type outcome struct {
	served, refused int
	// wrongAdvice counts refusals after which the caller, back at the advised
	// time, was refused again.
	wrongAdvice int
}

// play sends requests evenly at a rate, each to the least busy engine that takes
// it. Refused callers come back once, when they were told to.
func play(random *rand.Rand, engines []*engine, perSecond int, duration time.Duration) outcome {
	var result outcome
	type request struct {
		at      time.Duration
		isRetry bool
	}
	step := second / time.Duration(perSecond)
	retries := []request{}
	for now := second; now < duration; now += step {
		due := []request{{now, false}}
		for i := 0; i < len(retries); i++ {
			if retries[i].at <= now {
				due = append(due, retries[i])
				retries = append(retries[:i], retries[i+1:]...)
				i--
			}
		}
		for _, r := range due {
			wait, served := serve(engines, now, random.Uint64())
			switch {
			case served:
				result.served++
			case r.isRetry:
				result.refused++
				result.wrongAdvice++
			case wait > patience:
				result.refused++
			default:
				retries = append(retries, request{now + wait, true})
			}
		}
	}
	return result
}

// serve sends a request, or returns after which time its caller should come back.
func serve(engines []*engine, now time.Duration, random uint64) (wait time.Duration, served bool) {
	var best *engine
	wait = Max
	for _, e := range engines {
		for len(e.running) > 0 && e.running[0] <= now {
			e.running = e.running[1:]
		}
		if !e.pause.Takes(now, random) {
			wait = min(wait, e.pause.ReturnAt(random)-now)
			continue
		}
		if best == nil || len(e.running) < len(best.running) {
			best = e
		}
	}
	if best == nil {
		return wait, false
	}
	if best.pause.Active(now) {
		best.inPause++
	}
	if length := best.asks(now, len(best.running)); length > 0 {
		best.pause = best.pause.Extended(now, length)
		return serve(engines, now, random)
	}
	best.running = append(best.running, now+workTime)
	best.peak = max(best.peak, len(best.running))
	return 0, true
}

func never(time.Duration, int) time.Duration { return 0 }

// Three of nine engines pause at a time, in turn. The others have room for all.
func TestPausesInTurnCostNoRequest(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	var engines []*engine
	for i := range 9 {
		asked := time.Duration(-1)
		engines = append(engines, &engine{asks: func(now time.Duration, _ int) time.Duration {
			turn := now / (2 * second)
			if int(turn)%3 != i%3 || turn == asked {
				return 0
			}
			asked = turn
			return second
		}})
	}
	result := play(random, engines, 200, 30*second)
	if result.refused > 0 || result.served == 0 {
		t.Errorf("%d served, %d refused, want none refused", result.served, result.refused)
	}
	for i, e := range engines {
		if e.inPause > 0 {
			t.Errorf("engine %d got %d requests in its pauses", i, e.inPause)
		}
	}
}

// All engines pause at once. Refused callers come back spread over the ramp, and
// the engines aren't met by all of them in one instant.
func TestReturnAfterACommonPauseIsSpread(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 0))
	var engines []*engine
	for range 3 {
		asked := false
		engines = append(engines, &engine{asks: func(now time.Duration, _ int) time.Duration {
			if now < 3*second || asked {
				return 0
			}
			asked = true
			return 2 * second
		}})
	}
	const perSecond = 150
	result := play(random, engines, perSecond, 12*second)
	if result.wrongAdvice > 0 {
		t.Errorf("%d of the callers that came back when told were refused again", result.wrongAdvice)
	}
	// The refused callers of two seconds and of half the ramp come back within one
	// second, beside the usual requests.
	const usual = perSecond / 3 * int(workTime/time.Millisecond) / 1000
	for i, e := range engines {
		if e.peak > 5*usual {
			t.Errorf("engine %d ran %d requests at once, usually %d", i, e.peak, usual)
		}
	}
}

// One engine asks for a pause again at each return. The others serve all.
func TestEngineThatKeepsPausingGetsFewRequests(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 0))
	attempts := 0
	keepsPausing := &engine{asks: func(time.Duration, int) time.Duration { attempts++; return 2 * second }}
	engines := []*engine{keepsPausing, {asks: never}, {asks: never}}
	const length = 30
	if result := play(random, engines, 100, length*second); result.refused > 0 {
		t.Errorf("%d refused, want none", result.refused)
	}
	if attempts > length/2+1 {
		t.Errorf("%d requests met the engine in %d s, want at most one in each 2 s", attempts, length)
	}
}
