package policy

import (
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/placement"
	"github.com/barleylift/barleylift/internal/profile"
)

// Arrival is one call of a trace.
type Arrival struct {
	// At is the time of arrival since the start of the trace.
	At           time.Duration
	Customer     string
	Urgency      profile.Urgency
	Adapter      call.AdapterRef
	PromptTokens int
	OutputTokens int
	// Tolerance is the maximum wait before dispatch.
	Tolerance time.Duration
}

// cost returns the estimate in tokens that is passed to the queue.
func (a Arrival) cost() int {
	return a.PromptTokens + a.OutputTokens
}

// Fleet is the engines and the weight store that a trace runs on.
type Fleet struct {
	Engines []placement.Candidate
	// Slots is the number of adapters that each engine holds.
	Slots int
	// MaxRunning is the number of calls that each engine batches.
	MaxRunning int
	// LoadsPerSecond and Concurrent are the weight store's limits; one load
	// takes Concurrent / LoadsPerSecond seconds.
	LoadsPerSecond float64
	Concurrent     int
}

func (f Fleet) loadTime() time.Duration {
	return time.Duration(float64(f.Concurrent) / f.LoadsPerSecond * float64(time.Second))
}

// Workload is a fleet and the calls that arrive at it, in order of time.
type Workload struct {
	Name     string
	Fleet    Fleet
	Arrivals []Arrival
	// Warm lists the adapters that are loaded before the trace starts, the most
	// popular first, while there are empty slots.
	Warm []call.AdapterRef
	// MaxInFlight is the profile's bound on each customer's calls in flight; 0
	// means none.
	MaxInFlight int
	// MeasureFrom excludes the calls that arrive before it from the result, so
	// that the initial loads of an empty fleet are not measured.
	MeasureFrom time.Duration
	// Until is the end of the trace.
	Until time.Duration
}
