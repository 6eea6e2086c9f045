package steer

import (
	"cmp"
	"slices"
)

// Replica is what is known of a replica of a plain service.
type Replica struct {
	ID string
	// Running is the number of requests in flight there from this daemon.
	Running int
	Slots   int
	// SameZone tells that the replica is in this daemon's availability zone.
	SameZone bool
	// FailureRate is the aged share of requests that failed there lately.
	FailureRate float64
	// LatencySeconds is the aged duration of its answers in seconds; 0 if unknown.
	LatencySeconds float64
	// TieBreaker breaks ties between daemons, so that they do not all choose alike.
	TieBreaker uint64
}

// failureWeight is the number of running requests that a replica which always
// fails is worth: it is then chosen only when all others are full.
const failureWeight = 40

// PickReplica chooses a replica, or returns false if there is none. It weighs
// the expected wait, the share of failures and the distance.
func PickReplica(replicas []Replica) (string, bool) {
	if len(replicas) == 0 {
		return "", false
	}
	best := slices.MinFunc(replicas, func(a, b Replica) int {
		if c := cmp.Compare(a.cost(), b.cost()); c != 0 {
			return c
		}
		return cmp.Compare(a.TieBreaker, b.TieBreaker)
	})
	return best.ID, true
}

// cost is the expected number of requests to wait for, with a penalty for
// failures. A far replica costs a quarter of a request: a round trip between
// zones is short against the work.
func (r Replica) cost() float64 {
	cost := float64(r.Running+1)*max(r.LatencySeconds, 0.02)/0.06 + failureWeight*r.FailureRate
	if !r.SameZone {
		cost += 0.25
	}
	return cost
}
