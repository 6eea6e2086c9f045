package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/knownred"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
)

func always(topology.Adapter, int64) residency.Status { return residency.Ready }

// Customers that all ask for more than there is get capacity in proportion to their weights,
// by tokens: by requests, one with long prompts would get more.
func TestCustomersGetCapacityByWeight(t *testing.T) {
	g := NewGate()
	random := rand.New(rand.NewPCG(1, 1))
	weights := map[uint64]float64{1: 90_000, 2: 30_000, 3: 10_000}
	served := make(map[uint64]float64)
	waits := make(map[uint64]int)
	ticket := uint64(0)
	for now := time.Minute; now < 3*time.Minute; now += 10 * time.Millisecond {
		for customer, weight := range weights {
			for ; waits[customer] < 20; waits[customer]++ {
				ticket++
				tokens := 200 + random.IntN(400)*int(customer)
				g.Enqueue(now, Request{Key: Key{Ticket: ticket}, PromptTokens: tokens, Customer: customer, Weight: weight, FirstEventDue: now + time.Hour, Deadline: now + time.Hour})
			}
		}
		for key, w := range g.waiting {
			w.lastRequestedAt = now
			g.waiting[key] = w
		}
		for _, d := range g.Next(now, slots, always) {
			served[d.Customer] += float64(d.PromptTokens)
			waits[d.Customer]--
			g.Withdraw(d.Key)
		}
	}
	for customer, weight := range weights {
		got, want := served[customer]/(served[1]+served[2]+served[3]), weight/130_000
		if math.Abs(got-want) > 0.1*want {
			t.Errorf("customer %d of weight %.0f: %.3f of the tokens, want %.3f", customer, weight, got, want)
		}
	}
}

// customerLoad returns a load of four customers of one weight; the first sends factor times
// as much. Its priorities have the shares.
func customerLoad(seed uint64, perSecond, factor float64, shares [3]float64) []*modelRequest {
	load := poisson(seed, perSecond*(3+factor)/4, 40*time.Second)
	random := rand.New(rand.NewPCG(seed, 13))
	for _, r := range load {
		r.customer, r.weight = 1, 1000
		if u := random.Float64() * (3 + factor); u >= factor {
			r.customer = 2 + uint64(u-factor)
		}
		u := random.Float64()
		for r.priority = 0; r.priority < 2 && u >= shares[r.priority]; r.priority++ {
			u -= shares[r.priority]
		}
	}
	return load
}

var customerEngine = modelEngine{pace: 1, overhead: 80 * time.Millisecond, slots: 24, objective: 800 * time.Millisecond, pauseObjective: 300 * time.Millisecond}

// perSecondFor is the rate of requests for a share of the engine's time.
func perSecondFor(rho float64) float64 { return rho / (1180 / modelTokensPerMS / 1000) }

// A less urgent priority must neither starve nor be served better than a more urgent one, by
// more than 5 points in the share served, whichever of them causes the overload.
func TestPrioritiesInOverload(t *testing.T) {
	for name, shares := range map[string][3]float64{
		"even": {1. / 3, 1. / 3, 1. / 3}, "urgent": {0.9, 0.05, 0.05}, "middle": {0.1, 0.8, 0.1}, "less urgent": {0.1, 0.1, 0.8},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, rho := range []float64{0.7, 1.2, 2} {
				var served, starved [3]float64
				requests := customerEngine.run(NewGate(), customerLoad(1, perSecondFor(rho), 1, shares), 1)
				for priority := range served {
					result := customerEngine.summarize(requests, func(r *modelRequest) bool { return r.priority == priority })
					served[priority] = float64(result.timely) / float64(result.all)
					starved[priority] = float64(result.started)
				}
				t.Logf("rho %.1f: shares served in time %.2f", rho, served)
				for priority := 1; priority < 3; priority++ {
					if served[priority] > served[priority-1]+0.05 {
						t.Errorf("rho %.1f: %.2f of priority %d served in time, %.2f of priority %d", rho, served[priority], priority, served[priority-1], priority-1)
					}
					if starved[priority] == 0 {
						t.Errorf("rho %.1f: none of priority %d served", rho, priority)
					}
				}
			}
		})
	}
}

// A customer that sends 7.5 times its usual cost must not lengthen the time to the first event
// of the others to more than 1.25 times.
func TestGreedyCustomerDoesNotDelayOthers(t *testing.T) {
	t.Parallel()
	others := func(r *modelRequest) bool { return r.customer != 1 }
	shares := [3]float64{0, 1, 0}
	worst := 0.0
	for _, rho := range []float64{0.2, 0.35} {
		for seed := range uint64(2) {
			first := func(gate admitter, factor float64) modelResult {
				return customerEngine.summarize(customerEngine.run(gate, customerLoad(seed, perSecondFor(rho), factor, shares), seed), others)
			}
			usual, greedy, former := first(NewGate(), 1), first(NewGate(), 7.5), first(newFormerGate(), 7.5)
			t.Logf("rho %.2f, usual: %v", rho, usual)
			t.Logf("rho %.2f, greedy: %v", rho, greedy)
			t.Logf("rho %.2f, greedy, former gate: %v", rho, former)
			worst = max(worst, float64(greedy.first)/float64(usual.first))
			if greedy.timely <= former.timely {
				t.Errorf("rho %.2f, seed %d: %d of the others' requests in time, %d before", rho, seed, greedy.timely, former.timely)
			}
		}
	}
	switch holds, listed := worst <= 1.25, knownred.Listed(t, t.Name()); {
	case holds && listed:
		t.Error("the bound is met: remove the test from KNOWN-RED.txt")
	case !holds && listed:
		t.Logf("known red: the others' first events after %.2f times the usual time, want 1.25", worst)
	case !holds:
		t.Errorf("the others' first events after %.2f times the usual time, want 1.25", worst)
	}
}

// At 1.7 to 2.5 times the load that an engine serves, at least 0.9 as many requests must be
// served in time as at that load.
func TestOverloadServesAsManyInTime(t *testing.T) {
	t.Parallel()
	counts := make(map[float64]int)
	for _, rho := range []float64{0.6, 1.02, 1.5} {
		for seed := range uint64(2) {
			counts[rho] += customerEngine.summarize(customerEngine.run(NewGate(), customerLoad(seed, perSecondFor(rho), 1, [3]float64{0.3, 0.4, 0.3}), seed), nil).timely
		}
	}
	t.Logf("requests in time by load: %v", counts)
	for rho, n := range counts {
		if float64(n) < 0.9*float64(counts[0.6]) {
			t.Errorf("%d in time at %.2f, %d at 0.6", n, rho, counts[0.6])
		}
	}
}

// Late requests of customers get their share of admissions too.
func TestLateRequestsOfCustomersAreNotStarved(t *testing.T) {
	g := NewGate()
	late, all := 0, 0
	for n := range uint64(400) {
		now := time.Minute + time.Duration(n)*time.Second
		g.Enqueue(now, Request{Key: Key{Ticket: 1<<40 + n}, PromptTokens: 3000, Customer: 1, Weight: 1, FirstEventDue: 0, Deadline: time.Hour})
		g.Enqueue(now, Request{Key: Key{Ticket: n + 1}, PromptTokens: 3000, Customer: 1, Weight: 1, FirstEventDue: now + time.Second, Deadline: time.Hour})
		for _, d := range g.Next(now, slots, always) {
			all++
			if d.Ticket >= 1<<40 {
				late++
			}
			g.Release(now+200*time.Millisecond, d.Key)
		}
	}
	if share := float64(late) / float64(all); share < 0.8*minLateShare || share > 1.5*minLateShare {
		t.Errorf("%.3f of the admissions are late requests, want about %.2f", share, minLateShare)
	}
}
