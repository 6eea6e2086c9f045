package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/placement"
	"github.com/barleylift/barleylift/internal/profile"
)

// drainTime is how long a trace runs after its last arrival.
const drainTime = 90 * time.Second

// lastArrival returns when the last call arrives.
func (w Workload) lastArrival() time.Duration {
	if len(w.Arrivals) == 0 {
		return 0
	}
	return w.Arrivals[len(w.Arrivals)-1].At
}

// sorted returns the workload with its arrivals sorted by time and its end set.
func (w Workload) sorted() Workload {
	slices.SortStableFunc(w.Arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	w.Until = w.lastArrival() + drainTime
	return w
}

// cragbookFleet, pixelgateFleet and regionFleet return the two present fleets
// and the fleet of one region of the target. Engines and loads per second are as
// specified; the other values are assumptions of the model.
func cragbookFleet() Fleet {
	return Fleet{Engines: candidates(9), Slots: 6, MaxRunning: 16, LoadsPerSecond: 2, Concurrent: 1}
}

// cragbookCapacity is the number of calls of 150 output and 300 prompt tokens
// that Cragbook's engines complete per second with full batches: running calls
// divided by the steps of a call and the time of a step with a full batch.
const cragbookCapacity = 9 * 16 / ((150 + 1 + 300.0/prefillPerStep) * (0.009 + 16*0.00015))

func pixelgateFleet() Fleet {
	return Fleet{Engines: candidates(12), Slots: 6, MaxRunning: 16, LoadsPerSecond: 3, Concurrent: 1}
}

func regionFleet() Fleet {
	return Fleet{Engines: candidates(675), Slots: 12, MaxRunning: 32, LoadsPerSecond: 75, Concurrent: 25}
}

func candidates(n int) []placement.Candidate {
	candidates := make([]placement.Candidate, n)
	for i := range candidates {
		candidates[i] = placement.Candidate{Engine: fmt.Sprintf("engine-%03d", i)}
	}
	return candidates
}

func adapterRef(i int) call.AdapterRef {
	return call.AdapterRef{Name: fmt.Sprintf("adapter-%05d", i), Version: "1"}
}

// zipf draws ranks from 0 to n-1 with probability proportional to
// 1/(rank+1)^s. Unlike rand.Zipf it allows s up to 1.
type zipf struct {
	cumulative []float64
}

func newZipf(n int, s float64) zipf {
	cumulative := make([]float64, n)
	sum := 0.0
	for i := range cumulative {
		sum += math.Pow(float64(i+1), -s)
		cumulative[i] = sum
	}
	return zipf{cumulative}
}

func (z zipf) draw(r *rand.Rand) int {
	last := z.cumulative[len(z.cumulative)-1]
	return sort.SearchFloat64s(z.cumulative, r.Float64()*last)
}

// source generates calls of one kind.
type source struct {
	rand    *rand.Rand
	rate    float64 // calls per second
	from    time.Duration
	until   time.Duration
	output  float64 // mean output tokens
	prompt  float64 // mean prompt tokens
	urgency profile.Urgency
	// tolerance is the maximum wait before dispatch.
	tolerance time.Duration
	// pick chooses the adapter and the customer of a call.
	pick func(at time.Duration) (adapter int, customer string)
}

// arrivals returns calls of a Poisson process with exponentially distributed
// sizes.
func (s source) arrivals() []Arrival {
	var arrivals []Arrival
	for at := s.from; ; {
		at += time.Duration(s.rand.ExpFloat64() / s.rate * float64(time.Second))
		if at >= s.until {
			return arrivals
		}
		adapter, customer := s.pick(at)
		arrivals = append(arrivals, s.arrival(at, adapter, customer))
	}
}

func (s source) arrival(at time.Duration, adapter int, customer string) Arrival {
	return Arrival{
		At: at, Customer: customer, Urgency: s.urgency, Adapter: adapterRef(adapter),
		PromptTokens: 1 + int(s.rand.ExpFloat64()*s.prompt),
		OutputTokens: 1 + int(s.rand.ExpFloat64()*s.output),
		Tolerance:    s.tolerance,
	}
}

func newRand(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed))
}

func customerOf(adapter, customers int) string {
	return fmt.Sprintf("customer-%02d", adapter%customers)
}

// CragbookBurst is Cragbook's reset night: the everyday calls, and for two
// minutes calls for 120 adapters that were not used before, a few of them far
// more popular than others.
func CragbookBurst(seed uint64) Workload {
	r := newRand(seed)
	const adapters, customers, cold = 3000, 40, 120
	popular, burst := newZipf(adapters-cold, 1.3), newZipf(cold, 0.8)
	steady := source{
		rand: r, rate: 2, until: 420 * time.Second, output: 150, prompt: 300, urgency: profile.Normal, tolerance: 60 * time.Second,
		pick: func(time.Duration) (int, string) {
			a := popular.draw(r)
			return a, customerOf(a, customers)
		},
	}
	reset := source{
		rand: r, rate: 8, from: 240 * time.Second, until: 360 * time.Second, output: 200, prompt: 400, urgency: profile.High, tolerance: 60 * time.Second,
		pick: func(time.Duration) (int, string) {
			a := adapters - cold + burst.draw(r)
			return a, customerOf(a, customers)
		},
	}
	w := Workload{Name: "cragbook-burst", Fleet: cragbookFleet(), MeasureFrom: 240 * time.Second}
	w.Arrivals = append(steady.arrivals(), reset.arrivals()...)
	return w.sorted()
}

// PixelgateTrains is Pixelgate's day: everyday calls, and release trains, each a
// burst of calls for one adapter of one customer.
func PixelgateTrains(seed uint64) Workload {
	r := newRand(seed)
	const adapters, customers = 3000, 60
	popular := newZipf(adapters, 1.3)
	steady := source{
		rand: r, rate: 6, until: 300 * time.Second, output: 200, prompt: 600, urgency: profile.Normal, tolerance: 30 * time.Second,
		pick: func(time.Duration) (int, string) {
			a := popular.draw(r)
			return a, customerOf(a, customers)
		},
	}
	train := source{rand: r, output: 200, prompt: 600, urgency: profile.High, tolerance: 60 * time.Second}
	w := Workload{Name: "pixelgate-trains", Fleet: pixelgateFleet(), MeasureFrom: 60 * time.Second}
	w.Arrivals = steady.arrivals()
	for at := time.Duration(0); at < 300*time.Second; at += time.Duration(r.ExpFloat64() * 1.5 * float64(time.Second)) {
		w.Arrivals = append(w.Arrivals, train.burst(at, popular.draw(r), customers)...)
	}
	return w.sorted()
}

// burst returns the calls of one release train, all within three seconds.
func (s source) burst(at time.Duration, adapter, customers int) []Arrival {
	calls := 20 + s.rand.IntN(60)
	arrivals := make([]Arrival, calls)
	for i := range arrivals {
		within := time.Duration(s.rand.Float64() * 3 * float64(time.Second))
		arrivals[i] = s.arrival(at+within, adapter, customerOf(adapter, customers))
	}
	return arrivals
}

// Region is one of the target's four regions at its peak, scaled in time: 675
// engines, 31,000 adapters, 1,575 calls per second, and 17% of the adapters
// changing between idle and active within an hour.
func Region(seed uint64) Workload {
	r := newRand(seed)
	const adapters, customers, active = 31_000, 500, 6_000
	const until = 45 * time.Second
	popular := newZipf(active, 1.0)
	ranks := r.Perm(adapters)
	warm := make([]call.AdapterRef, active)
	for i := range warm {
		warm[i] = adapterRef(ranks[i])
	}
	swaps := 0
	steady := source{
		rand: r, rate: 1575, until: until, output: 254, prompt: 400, urgency: profile.Normal, tolerance: 10 * time.Second,
		pick: func(at time.Duration) (int, string) {
			swaps = swapActive(r, ranks, active, swaps, at)
			a := ranks[popular.draw(r)]
			return a, customerOf(a, customers)
		},
	}
	w := Workload{Name: "region", Fleet: regionFleet(), Warm: warm, MeasureFrom: 15 * time.Second}
	w.Arrivals = steady.arrivals()
	return w.sorted()
}

// swapActive exchanges active adapters for idle ones so that 17% of all adapters
// change within an hour. A swap changes two adapters. It takes the number of
// swaps made before and returns the new total.
func swapActive(r *rand.Rand, ranks []int, active, swaps int, at time.Duration) int {
	target := int(0.17 * float64(len(ranks)) * at.Hours() / 2)
	for ; swaps < target; swaps++ {
		a, b := r.IntN(active), active+r.IntN(len(ranks)-active)
		ranks[a], ranks[b] = ranks[b], ranks[a]
	}
	return swaps
}

// ReversedPopularity is Cragbook's everyday load, with the adapters' popularity
// reversed at one moment.
func ReversedPopularity(seed uint64) Workload {
	r := newRand(seed)
	const adapters, customers = 3000, 40
	const reversal = 180 * time.Second
	popular := newZipf(adapters, 1.2)
	steady := source{
		rand: r, rate: 4, until: 360 * time.Second, output: 150, prompt: 300, urgency: profile.Normal, tolerance: 60 * time.Second,
		pick: func(at time.Duration) (int, string) {
			a := popular.draw(r)
			if at >= reversal {
				a = adapters - 1 - a
			}
			return a, customerOf(a, customers)
		},
	}
	w := Workload{Name: "upside-down", Fleet: cragbookFleet(), MeasureFrom: reversal}
	w.Arrivals = steady.arrivals()
	return w.sorted()
}

// Greedy is ten customers with equal shares that add up to the given fraction of
// the fleet's capacity; the first sends the given multiple of its share.
func Greedy(seed uint64, used, multiple float64) Workload {
	const customers, adaptersEach = 10, 2
	share := cragbookCapacity * used / customers
	w := Workload{Name: fmt.Sprintf("used-%g-one-sends-%gx", used, multiple), Fleet: cragbookFleet(), MeasureFrom: 60 * time.Second}
	for i := range customers {
		r := newRand(seed + uint64(i)*1_000_003)
		rate := share
		if i == 0 {
			rate *= multiple
		}
		s := source{
			rand: r, rate: rate, until: 240 * time.Second, output: 150, prompt: 300, urgency: profile.Normal, tolerance: 20 * time.Second,
			pick: func(time.Duration) (int, string) {
				return i*adaptersEach + r.IntN(adaptersEach), customerOf(i, customers)
			},
		}
		w.Arrivals = append(w.Arrivals, s.arrivals()...)
	}
	return w.sorted()
}

// Overload is a steady load at a multiple of the fleet's capacity.
func Overload(seed uint64, multiple float64) Workload {
	r := newRand(seed)
	const adapters, customers = 50, 40
	popular := newZipf(adapters, 0.6)
	s := source{
		rand: r, rate: cragbookCapacity * multiple, until: 180 * time.Second, output: 150, prompt: 300, urgency: profile.Normal, tolerance: 10 * time.Second,
		pick: func(time.Duration) (int, string) {
			return popular.draw(r), customerOf(r.IntN(customers), customers)
		},
	}
	w := Workload{Name: fmt.Sprintf("load-%gx", multiple), Fleet: cragbookFleet(), MeasureFrom: 60 * time.Second}
	w.Arrivals = s.arrivals()
	return w.sorted()
}
