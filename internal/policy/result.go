package policy

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"
)

// minShareCalls is the minimum number of calls of a customer for its share to
// count in WorstShare.
const minShareCalls = 20

// Result is the measurements of one replay.
type Result struct {
	Workload, Policy string
	Calls            int
	Completed        int
	// Refused is the number of calls refused or shed before their deadline,
	// Expired the number still waiting at their deadline. RefusedWait is the
	// mean wait of the refused calls.
	Refused, Expired int
	RefusedWait      time.Duration
	// HitRatio is the ratio of calls that found their adapter loaded.
	HitRatio float64
	// StallP50, StallP95 and StallP99 are over all calls that were not refused.
	StallP50, StallP95, StallP99 time.Duration
	// StallSum is the summed load stall of all calls.
	StallSum time.Duration
	// StallCharged is StallSum of the completed calls plus the whole tolerance
	// of each call that was not served, so that refusing calls does not lower it.
	StallCharged time.Duration
	// FirstTokenP95 is over completed calls.
	FirstTokenP95 time.Duration
	// Fill is the mean ratio of running calls to the maximum over all decoding
	// steps.
	Fill      float64
	Loads     int
	Evictions int
	// Goodput is the completed calls per second of the measured time.
	Goodput float64
	// WorstShare is the lowest ratio of a customer's served tokens to its fair
	// share (max-min fair among the customers' demands).
	WorstShare    float64
	WorstCustomer string
	// MaxLateness is the longest time after its tolerance at which a call was
	// dispatched or ended unserved.
	MaxLateness time.Duration
	// WaitP95 is, for each customer, the p95 wait before dispatch of its calls.
	WaitP95 map[string]time.Duration
}

// StallPerCompleted returns the summed load stall divided by the number of
// completed calls.
func (r Result) StallPerCompleted() time.Duration {
	return r.StallSum / time.Duration(max(r.Completed, 1))
}

// result summarizes the measured calls.
func (r *replay) result() Result {
	res := Result{Workload: r.workload.Name, Policy: r.policy.Name, Loads: r.loads, Evictions: r.evictions}
	res.WaitP95 = make(map[string]time.Duration)
	calls := r.measuredCalls()
	var stalls, firstTokenLatencies []time.Duration
	waits := make(map[string][]time.Duration)
	hits := 0
	for _, c := range calls {
		res.count(c)
		if c.hit {
			hits++
		}
		if c.outcome != refused {
			stalls = append(stalls, c.stall)
			waits[c.Customer] = append(waits[c.Customer], c.wait)
		}
		if c.outcome == completed {
			firstTokenLatencies = append(firstTokenLatencies, c.firstTokenLatency)
		}
	}
	for customer, w := range waits {
		res.WaitP95[customer] = quantile(w, 0.95)
	}
	res.StallP50, res.StallP95, res.StallP99 = quantile(stalls, 0.5), quantile(stalls, 0.95), quantile(stalls, 0.99)
	res.FirstTokenP95 = quantile(firstTokenLatencies, 0.95)
	res.HitRatio = float64(hits) / float64(max(len(calls), 1))
	res.RefusedWait /= time.Duration(max(res.Refused, 1))
	res.Fill = r.fill()
	res.Goodput = float64(res.Completed) / r.window().Seconds()
	res.WorstCustomer, res.WorstShare = worstShare(calls)
	return res
}

func (r *replay) measuredCalls() []*callState {
	var calls []*callState
	for _, c := range r.calls {
		if c.At >= r.workload.MeasureFrom {
			calls = append(calls, c)
		}
	}
	return calls
}

// window returns the length of the time in which the measured calls arrive.
func (r *replay) window() time.Duration {
	return r.workload.lastArrival() - r.workload.MeasureFrom
}

func (r *replay) fill() float64 {
	var usedSteps, steps float64
	for _, e := range r.engines {
		usedSteps += e.fillSteps
		steps += e.steps
	}
	return usedSteps / max(steps, 1)
}

// count adds one call to the sums.
func (r *Result) count(c *callState) {
	r.Calls++
	r.StallSum += c.stall
	switch c.outcome {
	case completed:
		r.Completed++
		r.StallCharged += c.stall
		r.MaxLateness = max(r.MaxLateness, c.wait-c.Tolerance)
		return
	case refused:
		r.Refused++
		r.RefusedWait += c.endedAt.Sub(c.arrivedAt)
	case expired:
		r.Expired++
	}
	r.StallCharged += c.Tolerance
	if !c.endedAt.IsZero() {
		r.MaxLateness = max(r.MaxLateness, c.endedAt.Sub(c.deadline))
	}
}

// quantile returns the nearest-rank quantile, 0 for none.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(rank, 0)]
}

// worstShare returns the customer with the lowest ratio of served tokens to its
// fair share, and that ratio.
func worstShare(calls []*callState) (string, float64) {
	demand, served, count := map[string]float64{}, map[string]float64{}, map[string]int{}
	total := 0.0
	for _, c := range calls {
		demand[c.Customer] += float64(c.cost())
		count[c.Customer]++
		if c.outcome == completed {
			served[c.Customer] += float64(c.cost())
			total += float64(c.cost())
		}
	}
	level := waterLevel(demand, total)
	customer, worst := "", math.Inf(1)
	for name, d := range demand {
		share := served[name] / min(d, level)
		if count[name] >= minShareCalls && (share < worst || share == worst && name < customer) {
			customer, worst = name, share
		}
	}
	return customer, worst
}

// waterLevel returns the level at which max-min fairness caps the demands so
// that they sum to the total.
func waterLevel(demand map[string]float64, total float64) float64 {
	var demands []float64
	for _, d := range demand {
		demands = append(demands, d)
	}
	slices.Sort(demands)
	for i, d := range demands {
		level := total / float64(len(demands)-i)
		if level <= d {
			return level
		}
		total -= d
	}
	return math.Inf(1)
}

// WriteTable writes results as a table with a row each.
func WriteTable(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "workload\tpolicy\tcalls\tdone\trefused\tafter\texpired\thits\tstall p50\tp95\tp99\tsum\tcharged\tper done\tfirst token p95\tfill\tloads\tevictions\tgoodput/s\tworst share\tmax late\t")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%s\t%d\t%.3f\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.3f\t%d\t%d\t%.2f\t%.3f\t%s\t\n",
			r.Workload, r.Policy, r.Calls, r.Completed, r.Refused, formatSeconds(r.RefusedWait), r.Expired, r.HitRatio,
			formatSeconds(r.StallP50), formatSeconds(r.StallP95), formatSeconds(r.StallP99), formatSeconds(r.StallSum), formatSeconds(r.StallCharged), formatSeconds(r.StallPerCompleted()),
			formatSeconds(r.FirstTokenP95), r.Fill, r.Loads, r.Evictions, r.Goodput, r.WorstShare, formatSeconds(r.MaxLateness))
	}
	return t.Flush()
}

// formatSeconds formats a duration in seconds.
func formatSeconds(d time.Duration) string {
	return fmt.Sprintf("%.2fs", d.Seconds())
}

// Mean returns the mean of the results of one policy on several seeds of one
// workload; MaxLateness and WorstShare are the worst of them.
func Mean(results []Result) Result {
	n := len(results)
	mean := Result{Workload: results[0].Workload, Policy: results[0].Policy, WorstShare: math.Inf(1)}
	for _, r := range results {
		mean.Calls += r.Calls
		mean.Completed += r.Completed
		mean.Refused += r.Refused
		mean.Expired += r.Expired
		mean.Loads += r.Loads
		mean.Evictions += r.Evictions
		mean.HitRatio += r.HitRatio / float64(n)
		mean.Fill += r.Fill / float64(n)
		mean.Goodput += r.Goodput / float64(n)
		mean.RefusedWait += r.RefusedWait / time.Duration(n)
		mean.StallP50 += r.StallP50 / time.Duration(n)
		mean.StallP95 += r.StallP95 / time.Duration(n)
		mean.StallP99 += r.StallP99 / time.Duration(n)
		mean.StallSum += r.StallSum / time.Duration(n)
		mean.StallCharged += r.StallCharged / time.Duration(n)
		mean.FirstTokenP95 += r.FirstTokenP95 / time.Duration(n)
		mean.MaxLateness = max(mean.MaxLateness, r.MaxLateness)
		if r.WorstShare < mean.WorstShare {
			mean.WorstShare, mean.WorstCustomer = r.WorstShare, r.WorstCustomer
		}
	}
	for _, count := range []*int{&mean.Calls, &mean.Completed, &mean.Refused, &mean.Expired, &mean.Loads, &mean.Evictions} {
		*count = (*count + n/2) / n
	}
	return mean
}
