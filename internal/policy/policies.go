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
	// RouteHome uses the engines that the adapter's home chooses among its
	// candidates.
	RouteHome Routing = iota
	// RouteHash uses the first candidate only.
	RouteHash
	// RouteLeastLoaded uses the current load of all engines: it chooses the
	// least loaded one that holds the adapter, or the least loaded of all if
	// none holds it, or if that one is full and the least loaded of all has a
	// free slot.
	RouteLeastLoaded
)

// Policy is a set of rules to compare.
type Policy struct {
	Name    string
	Routing Routing
	// Attempts is the maximum number of engines that a call is offered to.
	Attempts    int
	Home        placement.HomeConfig
	Eviction    placement.EvictionPolicy
	PermitOrder permit.Order
	// Ledger makes each engine take a customer's service at all engines into
	// account.
	Ledger bool
	// WholeBacklog reports all waiting calls of an engine to homes, instead of
	// each customer's up to its share of the batch.
	WholeBacklog bool
	// UpdatePressure sends updates of a request's pressure to the granter.
	UpdatePressure bool
	// MaxLoads is the maximum number of loads that one engine requests or runs
	// at once; 0 means 4.
	MaxLoads int
	// Pressure returns the pressure of a permit request; nil means
	// Demand.Pressure.
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

// Current returns the policy that daemons run.
func Current() Policy {
	return Policy{
		Name:           "barleylift",
		Routing:        RouteHome,
		Home:           placement.HomeConfig{MinCandidates: 4},
		Attempts:       2,
		Eviction:       placement.PickVictim,
		PermitOrder:    permit.OrderPressure,
		UpdatePressure: true,
		Ledger:         true,
	}
}

// HashOne returns the baseline that sends each adapter's calls to one engine by
// hash, evicts the least recently used adapter and grants loads in order of
// arrival.
func HashOne() Policy {
	return Policy{
		Name:        "hash-one",
		Routing:     RouteHash,
		Attempts:    1,
		Eviction:    placement.PickLRU,
		PermitOrder: permit.OrderArrival,
	}
}

// LeastLoaded returns the baseline that sees the load of every engine, sends
// calls to the least loaded one, evicts the least recently used adapter and
// grants loads in order of arrival.
func LeastLoaded() Policy {
	return Policy{
		Name:        "least-loaded-lru",
		Routing:     RouteLeastLoaded,
		Attempts:    2,
		Eviction:    placement.PickLRU,
		PermitOrder: permit.OrderArrival,
	}
}

// Policies returns the policies that are compared side by side.
func Policies() []Policy {
	return []Policy{Current(), HashOne(), LeastLoaded()}
}
