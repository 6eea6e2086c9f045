package policy

import (
	"time"

	"github.com/barleylift/barleylift/internal/permit"
	"github.com/barleylift/barleylift/internal/placement"
	"github.com/barleylift/barleylift/internal/queue"
)

// Routing chooses the engine for a call.
type Routing int

// The ways to choose an engine.
const (
	// RouteHome asks the adapter's home among its candidates.
	RouteHome Routing = iota
	// RouteHash uses the first candidate only.
	RouteHash
	// RouteLeastLoaded knows all engines as they are now: the least loaded
	// one that holds the adapter, or if there is none or all are full, the
	// least loaded of all.
	RouteLeastLoaded
)

// Policy is a set of rules to compare.
type Policy struct {
	Name    string
	Routing Routing
	// Attempts is the number of engines that a refused call tries.
	Attempts int
	Home     placement.HomeConfig
	Victim   placement.EvictionPolicy
	Permits  permit.Order
	// Ledger makes engines fair by a customer's service at all of them.
	Ledger bool
	// WholeBacklog tells homes all waiting calls of an engine in place of each
	// customer's up to its part of the batch.
	WholeBacklog bool
	// UpdatePressure sends the granter the pressure as it grows.
	UpdatePressure bool
	// MaxLoads bounds the loads that one engine prepares at once; 0 means 4.
	MaxLoads int
	// Pressure is what the granter orders by; nil means the demand's pressure.
	Pressure func(now time.Time, d queue.Demand) float64
	Queue    queue.Config
}

func (p Policy) maxLoads() int {
	if p.MaxLoads == 0 {
		return defaultMaxLoads
	}
	return p.MaxLoads
}

func (p Policy) pressure(now time.Time, d queue.Demand) float64 {
	if p.Pressure == nil {
		return d.Pressure
	}
	return p.Pressure(now, d)
}

// Current is what daemons run.
func Current() Policy {
	return Policy{
		Name:           "barleylift",
		Routing:        RouteHome,
		Home:           placement.HomeConfig{MinCandidates: 4},
		Attempts:       2,
		Victim:         placement.PickVictim,
		Permits:        permit.OrderPressure,
		UpdatePressure: true,
		Ledger:         true,
	}
}

// HashOne is the baseline that sends each adapter's calls to one engine by
// hash, evicts the least recently used and loads in order of arrival.
func HashOne() Policy {
	return Policy{
		Name:     "hash-one",
		Routing:  RouteHash,
		Attempts: 1,
		Victim:   placement.PickLRU,
		Permits:  permit.OrderArrival,
	}
}

// LeastLoaded is the baseline that knows every engine, sends calls to the
// least loaded one, evicts the least recently used and loads in order of
// arrival.
func LeastLoaded() Policy {
	return Policy{
		Name:     "least-loaded-lru",
		Routing:  RouteLeastLoaded,
		Attempts: 2,
		Victim:   placement.PickLRU,
		Permits:  permit.OrderArrival,
	}
}

// Policies returns the policies that are compared side by side.
func Policies() []Policy {
	return []Policy{Current(), HashOne(), LeastLoaded()}
}
