package residency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/topology"
)

// coldRequest is a request for an adapter that nothing else asks for.
type coldRequest struct {
	adapter  topology.Adapter
	due      time.Duration
	deadline time.Duration
}

// coldLoad returns requests for different adapters at a mean rate.
func coldLoad(random *rand.Rand, perSecond float64, length, objective, patience time.Duration) []coldRequest {
	var requests []coldRequest
	for at := time.Duration(0); at < length; {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		name := fmt.Sprint("cold-", len(requests))
		requests = append(requests, coldRequest{topology.Adapter{Model: "m", Name: name}, at + objective, at + patience})
	}
	return requests
}

// serveCold plays requests at one engine and returns how many get their adapter
// in time, and how many late.
func serveCold(t *testing.T, requests []coldRequest, patience time.Duration) (timely, late int) {
	t.Helper()
	const step = 5 * time.Millisecond
	f := newFakeEngine(t, 2000)
	e := syncedEngine(2000)
	var waiting []coldRequest
	for now := time.Duration(0); len(requests) > 0 || len(waiting) > 0; now += step {
		for len(requests) > 0 && requests[0].deadline-patience <= now {
			waiting, requests = append(waiting, requests[0]), requests[1:]
		}
		f.advance(now)
		var still []coldRequest
		for _, r := range waiting {
			ready := e.Status(r.adapter, 0) == Ready
			switch {
			case ready && now <= r.due:
				timely++
			case ready:
				late++
			case now < r.deadline:
				still = append(still, r)
				e.RequestLoad(now, r.adapter, 0)
				e.SetDemand(r.adapter, demandOf(now+e.ExpectedLoadTime(), r))
			}
		}
		waiting = still
		for action := e.Next(now); action.Order != nil; action = e.Next(now) {
			e.ApplyOrderResult(now, *action.Order, f.carryOut(now, *action.Order))
		}
	}
	return timely, late
}

func demandOf(readyAt time.Duration, r coldRequest) Demand {
	switch {
	case readyAt <= r.due:
		return Demand{Timely: 1, Due: r.due}
	case readyAt <= r.deadline:
		return Demand{Late: 1}
	default:
		return Demand{}
	}
}

// The load: for half a minute, requests for cold adapters arrive at 1.4 times
// the rate at which the engine can load them. Callers wait 1.5 s and count as
// served in time within 0.6 s. Of those that can be served, most must be in time.
func TestOverloadOfColdAdaptersServesMostInTime(t *testing.T) {
	const (
		objective = 600 * time.Millisecond
		patience  = 1500 * time.Millisecond
		length    = 30 * time.Second
		excess    = 1.4
		minShare  = 0.6
	)
	loadsPerSecond := maxConcurrentFetches / fakeLoadTime.Seconds()
	for seed := range uint64(5) {
		requests := coldLoad(rand.New(rand.NewPCG(seed, 0)), excess*loadsPerSecond, length, objective, patience)
		timely, late := serveCold(t, requests, patience)
		possible := loadsPerSecond * length.Seconds()
		if share := float64(timely) / possible; share < minShare {
			t.Errorf("seed %d: %d of %d requests in time and %d late, %.2f of the %.0f possible, want %.2f", seed, timely, len(requests), late, share, possible, minShare)
		}
	}
}
