package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/permit"
	"github.com/barleylift/barleylift/internal/placement"
	"github.com/barleylift/barleylift/internal/queue"
)

// variantSeeds is the number of seeds that a variant's results are averaged over.
const variantSeeds = 5

// variant returns the daemon's policy with one change.
func variant(name string, change func(*Policy)) Policy {
	p := Current()
	change(&p)
	p.Name = name
	return p
}

// variants returns the policies that the decision records compare.
func variants() []Policy {
	return append(Policies(),
		variant("permits-by-arrival", func(p *Policy) { p.PermitOrder = permit.OrderArrival }),
		variant("pressure-not-updated", func(p *Policy) { p.UpdatePressure = false }),
		variant("pressure-by-count", func(p *Policy) {
			p.Pressure = func(now time.Time, d queue.Demand) float64 {
				return 100*float64(d.Waiting) + now.Sub(d.OldestEnqueuedAt).Seconds()
			}
		}),
		variant("pressure-by-oldest", func(p *Policy) {
			p.Pressure = func(now time.Time, d queue.Demand) float64 { return now.Sub(d.OldestEnqueuedAt).Seconds() }
		}),
		variant("evict-lru", func(p *Policy) { p.Eviction = placement.PickLRU }),
		variant("candidates-1", func(p *Policy) { p.Home.MinCandidates = 1 }),
		variant("candidates-2", func(p *Policy) { p.Home.MinCandidates = 2 }),
		variant("candidates-9", func(p *Policy) { p.Home.MinCandidates = 9 }),
		variant("loads-at-once-1", func(p *Policy) { p.MaxLoads = 1 }),
		variant("loads-at-once-16", func(p *Policy) { p.MaxLoads = 16 }),
		variant("spread-at-1.5", func(p *Policy) { p.Home.SpreadFill = 1.5 }),
		variant("spread-demand-0.5", func(p *Policy) { p.Home.SpreadDemand = 0.5 }),
		variant("shrink-after-5s", func(p *Policy) { p.Home.ShrinkDelay = 5 * time.Second }),
		variant("round-robin", func(p *Policy) { p.Queue.Order = queue.OrderRoundRobin }),
		variant("refuse-at-deadline", func(p *Policy) { p.Queue.Refusal = queue.RefuseAtDeadline }),
		variant("fair-by-engine", func(p *Policy) { p.Ledger = false }),
		variant("whole-backlog", func(p *Policy) { p.WholeBacklog = true }),
		variant("attempts-1", func(p *Policy) { p.Attempts = 1 }),
	)
}

// BenchmarkVariants replays each workload under each variant, averaged over five
// seeds. With -v it prints the results side by side.
func BenchmarkVariants(b *testing.B) {
	workloads := []func(seed uint64) Workload{
		CragbookBurst, PixelgateTrains, ReversedPopularity,
		func(seed uint64) Workload { return Greedy(seed, 0.9, 1) },
		func(seed uint64) Workload { return Greedy(seed, 0.9, 10) },
		func(seed uint64) Workload { return Overload(seed, 1) },
		func(seed uint64) Workload { return Overload(seed, 2) },
	}
	var results []Result
	for _, workload := range workloads {
		for _, p := range variants() {
			var result Result
			b.Run(fmt.Sprintf("%s/%s", workload(1).Name, p.Name), func(b *testing.B) {
				for b.Loop() {
					result = runSeeds(workload, p)
				}
				b.ReportMetric(result.StallSum.Seconds(), "stall-s")
				b.ReportMetric(result.Fill, "fill")
				b.ReportMetric(float64(result.Refused+result.Expired), "not-run")
			})
			if result.Policy != "" {
				results = append(results, result)
			}
		}
	}
	var table strings.Builder
	if err := WriteTable(&table, results); err != nil {
		b.Fatal(err)
	}
	b.Log("\n" + table.String())
}

// runSeeds returns the mean result of several seeds.
func runSeeds(workload func(seed uint64) Workload, p Policy) Result {
	var results []Result
	for seed := range uint64(variantSeeds) {
		results = append(results, Run(workload(seed+1), p))
	}
	return Mean(results)
}
