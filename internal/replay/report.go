package replay

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/call"
)

// Report is the result of a replay.
type Report struct {
	Calls   int `json:"calls"`
	Retries int `json:"retries"`
	// Outcomes counts the final outcomes by kind of call.
	Outcomes map[Kind]map[call.Outcome]int `json:"outcomes"`
	// Mismatches describes each call with another result than the trace allows.
	Mismatches []string `json:"mismatches"`
	// MissingOutcomes describes each call whose final response had no outcome.
	MissingOutcomes []string `json:"unstated"`
	// FirstToken is the time to the first token, measured from the start of the
	// last attempt.
	FirstToken Quantiles     `json:"first_token"`
	Elapsed    time.Duration `json:"elapsed_ns"`

	// mu guards firstTokens and, while the replay runs, the fields above.
	mu          sync.Mutex
	firstTokens []time.Duration
}

// Quantiles are quantiles of durations.
type Quantiles struct {
	P50 time.Duration `json:"p50_ns"`
	P95 time.Duration `json:"p95_ns"`
	P99 time.Duration `json:"p99_ns"`
}

func newReport() *Report {
	return &Report{Outcomes: map[Kind]map[call.Outcome]int{KindModel: {}, KindKeyed: {}}}
}

func (r *Report) add(number int, item Item, result attemptResult, attempts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Calls++
	r.Retries += attempts - 1
	r.Outcomes[item.Kind][result.outcome]++
	if result.firstToken > 0 {
		r.firstTokens = append(r.firstTokens, result.firstToken)
	}
	mismatch := describeMismatch(number, item, result)
	switch {
	case mismatch == "":
	case result.missingOutcome():
		r.MissingOutcomes = append(r.MissingOutcomes, mismatch)
	default:
		r.Mismatches = append(r.Mismatches, mismatch)
	}
}

func (r *Report) finish(elapsed time.Duration) {
	r.Elapsed = elapsed
	slices.Sort(r.firstTokens)
	r.FirstToken = Quantiles{
		P50: sortedQuantile(r.firstTokens, 0.50),
		P95: sortedQuantile(r.firstTokens, 0.95),
		P99: sortedQuantile(r.firstTokens, 0.99),
	}
}

// Print writes the report in human-readable form.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%d calls, %d retries, %v\n", r.Calls, r.Retries, r.Elapsed.Round(time.Millisecond))
	for _, kind := range []Kind{KindModel, KindKeyed} {
		for _, outcome := range []call.Outcome{call.Done, call.Rejected, call.NotRun, call.Unknown, call.Incomplete, ""} {
			if n := r.Outcomes[kind][outcome]; n > 0 {
				fmt.Fprintf(w, "%s %s: %d\n", kind, outcomeName(outcome), n)
			}
		}
	}
	f := r.FirstToken
	fmt.Fprintf(w, "time to first token: p50 %v, p95 %v, p99 %v\n",
		f.P50.Round(time.Millisecond), f.P95.Round(time.Millisecond), f.P99.Round(time.Millisecond))
	for _, text := range r.Mismatches {
		fmt.Fprintln(w, "not as stated:", text)
	}
	for _, text := range r.MissingOutcomes {
		fmt.Fprintln(w, "no outcome stated:", text)
	}
}

func outcomeName(outcome call.Outcome) string {
	if outcome == "" {
		return "connection lost"
	}
	return string(outcome)
}
