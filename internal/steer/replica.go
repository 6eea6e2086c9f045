package steer

import (
	"cmp"
	"slices"
)

// Replica is a snapshot of a replica of a plain service.
type Replica struct {
	ID string
	// Running is the number of this daemon's requests in flight there.
	Running int
	// OthersRunning is the number of requests that other VMs lately had in flight there; 0 if
	// unknown.
	OthersRunning int
	// Slots is the number of requests that it works on at once; 0 if unknown.
	Slots int
	// SameZone is set if the replica is in this daemon's availability zone.
	SameZone bool
	// FailureRate is the decayed share of requests that failed there recently.
	FailureRate float64
	// WorkSeconds is the learned time of work of a request, without waiting; 0 if unknown.
	WorkSeconds float64
	// WaitSeconds is the wait there lately.
	WaitSeconds float64
	// TieBreaker orders replicas of about equal cost differently for each request, so that
	// not all daemons choose the same one.
	TieBreaker uint64
}

const (
	// failureWeight is the penalty, in running requests, of a replica that always
	// fails: it is chosen only when all others are full.
	failureWeight = 40
	// failingRate is the share of failed requests from which on a replica comes last, as
	// full ones do.
	failingRate = 0.5
	// overfullSlots is the number of known running requests, in slots, from which on a replica
	// comes last. What other VMs had running half a second ago has ended at a replica that
	// works, so only many more than it has slots tell of a stall. If one full replica were
	// enough, most VMs would leave it at once and fill the others: with 1 and 2, replicas
	// that are busy to 72% serve 0.45 and 0.47 of the requests in time while one of them
	// stalls now and then, and with 5 to 10 they serve 0.92 to 0.93.
	overfullSlots = 6
	// usualWork is the time of work, in seconds, that counts as one running request, and
	// leastWork the least one that is distinguished from others.
	usualWork, leastWork = 0.06, 0.02
	// nearlyEqual is the ratio of costs up to which replicas are used alike: less than one
	// in another zone costs more, so that near ones come first at light load.
	nearlyEqual = 1.15
)

// PickReplica chooses a replica by expected wait, failure rate and zone; full and
// failing ones come last. It returns false if there is none.
func PickReplica(replicas []Replica) (string, bool) {
	if available := slices.DeleteFunc(slices.Clone(replicas), Replica.comesLast); len(available) > 0 {
		replicas = available
	}
	if len(replicas) == 0 {
		return "", false
	}
	least := slices.MinFunc(replicas, func(a, b Replica) int { return cmp.Compare(a.cost(), b.cost()) }).cost()
	best := slices.MinFunc(replicas, func(a, b Replica) int {
		if a.isNear(least) != b.isNear(least) {
			if a.isNear(least) {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.TieBreaker, b.TieBreaker)
	})
	return best.ID, true
}

// comesLast reports whether the replica has no room, or fails.
func (r Replica) comesLast() bool {
	isFull := r.Running >= r.Slots || r.Running+r.OthersRunning >= overfullSlots*r.Slots
	return r.Slots > 0 && isFull || r.FailureRate >= failingRate
}

func (r Replica) isNear(least float64) bool { return r.cost() <= least*nearlyEqual }

// cost returns the expected wait, in requests, with a penalty for failures. A
// replica in another zone costs a quarter of a request more: a round trip
// between zones is short compared with the work.
func (r Replica) cost() float64 {
	cost := (float64(r.Running+1)*max(r.WorkSeconds, leastWork)+r.WaitSeconds)/usualWork + failureWeight*r.FailureRate
	if !r.SameZone {
		cost += 0.25
	}
	return cost
}
