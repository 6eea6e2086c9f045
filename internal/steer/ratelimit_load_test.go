package steer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/ratelimit"
	"github.com/barleylift/barleylift/internal/topology"
)

// The load of the simulation: 9 engines with 17 places, and adapters whose popularity
// is skewed, as on a day of the first deployment.
const (
	simEngines, simPlaces, simAdapters = 9, 17, 3000
	simRate, simSkew                   = 52.0, 1.2
	simLoadTime                        = 270 * time.Millisecond
	simServeTime                       = 150 * time.Millisecond
	simObjective                       = time.Second
	// The limits are named at simLimitsAt; requests count from then on.
	simLimitsAt = 30 * time.Second
	simLength   = 100 * time.Second
)

type simEngine struct {
	id string
	// usedAt and readyAt map held adapters to their last use and the end of their
	// load.
	usedAt, readyAt map[int]time.Duration
	loadsUntil      time.Duration
	limiter         ratelimit.Limiter
}

// load loads an adapter in place of the least recently used one.
func (e *simEngine) load(now time.Duration, adapter int) time.Duration {
	if len(e.usedAt) >= simPlaces {
		victim, oldest := -1, time.Duration(math.MaxInt64)
		for a, used := range e.usedAt {
			if used < oldest {
				victim, oldest = a, used
			}
		}
		delete(e.usedAt, victim)
		delete(e.readyAt, victim)
	}
	e.loadsUntil = max(e.loadsUntil, now) + simLoadTime
	e.readyAt[adapter] = e.loadsUntil
	e.usedAt[adapter] = now
	return e.loadsUntil
}

// simulate returns the share of requests whose first event is in time and the number
// of loads, while the first engines name the limits.
func simulate(limits []float64) (inTime float64, loads int) {
	random := rand.New(rand.NewPCG(7, 7))
	popularity := rand.NewZipf(random, simSkew, 1, simAdapters-1)
	var engines []*simEngine
	for i := range simEngines {
		e := &simEngine{id: fmt.Sprint("e", i), usedAt: map[int]time.Duration{}, readyAt: map[int]time.Duration{}}
		engines = append(engines, e)
	}
	sent, served := 0, 0
	for now := time.Duration(0); now < simLength; now += time.Duration(random.ExpFloat64() / simRate * float64(time.Second)) {
		if now >= simLimitsAt {
			for i, limit := range limits {
				engines[i].limiter.Apply(now, ratelimit.Knowledge{Rate: limit, Limited: true, ReceivedAt: simLimitsAt})
			}
		}
		adapter := int(popularity.Uint64())
		var snapshot []Engine
		for _, e := range engines {
			if e.limiter.Available(now) == 0 {
				continue
			}
			_, holds := e.usedAt[adapter]
			limited := e.limiter.Limited()
			snapshot = append(snapshot, Engine{
				ID: e.id, Holds: holds, RateLimited: limited,
				PendingLoads: int(max(e.loadsUntil-now, 0) / simLoadTime), Slots: 64,
			})
		}
		choice, ok := PickEngine(topology.Adapter{Model: "m", Name: fmt.Sprint("a", adapter)}, snapshot, random.Uint64())
		counts := now >= simLimitsAt
		if counts {
			sent++
		}
		if !ok {
			continue
		}
		e := engines[slices.IndexFunc(engines, func(e *simEngine) bool { return e.id == choice.Engine })]
		e.limiter.Take(now, 1)
		ready := e.readyAt[adapter]
		if choice.NeedsLoad {
			ready = e.load(now, adapter)
			if counts {
				loads++
			}
		}
		e.usedAt[adapter] = now
		if counts && max(ready-now, 0)+simServeTime <= simObjective {
			served++
		}
	}
	return float64(served) / float64(sent), loads
}

// Some engines name a rate limit: callers get more than if these engines were away,
// with fewer loads, as their turns go to requests for adapters that only they hold, or
// that need a load.
func TestTurnsAtLimitedEnginesServeCallers(t *testing.T) {
	for _, limits := range [][]float64{{1, 1.9}, {1, 1.9, 1, 1.5}, {3, 3, 3}, {1, 1, 1, 1, 1, 1}} {
		none := make([]float64, len(limits))
		inTimeAway, loadsAway := simulate(none)
		inTime, loads := simulate(limits)
		t.Logf("limits %v: %.3f in time with %d loads; if they are away %.3f with %d", limits, inTime, loads, inTimeAway, loadsAway)
		if inTime <= inTimeAway || loads >= loadsAway {
			t.Errorf("limits %v: %.3f in time with %d loads, no better than without the engines: %.3f with %d", limits, inTime, loads, inTimeAway, loadsAway)
		}
	}
}
