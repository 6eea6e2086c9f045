package policy

import (
	"fmt"
	"strings"
	"testing"
)

// benchmarkSeed is the seed of the traces whose results the decision records
// quote.
const benchmarkSeed = 1

// BenchmarkPolicy replays each workload under each policy. With -v it prints
// the results side by side.
func BenchmarkPolicy(b *testing.B) {
	var results []Result
	for _, w := range []Workload{
		CragbookBurst(benchmarkSeed), PixelgateTrains(benchmarkSeed), ReversedPopularity(benchmarkSeed), Region(benchmarkSeed),
		Greedy(benchmarkSeed, 0.7, 1), Greedy(benchmarkSeed, 0.7, 10), Greedy(benchmarkSeed, 0.9, 1), Greedy(benchmarkSeed, 0.9, 10), Overload(benchmarkSeed, 1), Overload(benchmarkSeed, 2),
	} {
		for _, p := range Policies() {
			var result Result
			b.Run(fmt.Sprintf("%s/%s", w.Name, p.Name), func(b *testing.B) {
				for b.Loop() {
					result = Run(w, p)
				}
				b.ReportMetric(result.StallSum.Seconds(), "stall-s")
				b.ReportMetric(result.StallCharged.Seconds(), "charged-s")
				b.ReportMetric(result.Fill, "fill")
				b.ReportMetric(result.FirstTokenP95.Seconds(), "ttft-p95-s")
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
