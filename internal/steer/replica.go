package steer

import (
	"cmp"
	"slices"
)

// Replica is a snapshot of a replica of a plain service.
type Replica struct {
	ID string
	// Running is the number of requests in flight there from this daemon.
	Running int
	Slots   int
	// SameZone is set if the replica is in this daemon's availability zone.
	SameZone bool
	// FailureRate is the decayed share of requests that failed there recently.
	FailureRate float64
	// LatencySeconds is the moving average of its response times; 0 if unknown.
	LatencySeconds float64
	// TieBreaker orders replicas of equal cost differently at each daemon, so that
	// not all daemons choose the same one.
	TieBreaker uint64
}

// failureWeight is the penalty, in running requests, of a replica that always
// fails: it is chosen only when all others are full.
const failureWeight = 40

// PickReplica chooses a replica by expected wait, failure rate and zone. It
// returns false if there is none.
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

// cost returns the expected wait, in requests, with a penalty for failures. A
// replica in another zone costs a quarter of a request more: a round trip
// between zones is short compared with the work.
func (r Replica) cost() float64 {
	cost := float64(r.Running+1)*max(r.LatencySeconds, 0.02)/0.06 + failureWeight*r.FailureRate
	if !r.SameZone {
		cost += 0.25
	}
	return cost
}
