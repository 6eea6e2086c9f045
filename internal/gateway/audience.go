package gateway

import (
	"slices"
	"time"
)

// Constants of who gets a notice.
const (
	// heartbeatInterval is the time between two notices to each daemon with which
	// engines are shared; it is short against the time in which load moves.
	heartbeatInterval = 300 * time.Millisecond
	// rotationSize is the number of other daemons that get a notice each time:
	// all of a small fleet. In larger ones they take turns, so that a daemon's
	// rate of datagrams stays the same.
	rotationSize = 16
	// outageSpacing is kept between two notices while this daemon does not
	// reach the key-value service and tells all others so: 250 a second.
	outageSpacing = 4 * time.Millisecond
	// allStatesFleetSize is the size of a fleet up to which all daemons are told the
	// state of all engines. In larger ones only those are that use an engine;
	// the others know what its registration says.
	allStatesFleetSize = 64
)

// recipientSelector decides who gets a notice. The load that it answers: fleets of up to
// some hundred daemons, each of which uses a part of the engines at a time. Its
// cost is that of the sender's own requests, and not of the fleet's size.
type recipientSelector struct {
	// lastInRotation is the lastInRotation member whose turn it was.
	lastInRotation string
	// lastSentToAll is when all members last got a notice.
	lastSentToAll time.Duration
}

// next returns who gets a notice now, in name order: the partners, with which
// engines are shared, and those whose turn it is. The members are in name order
// and without this daemon. While toAll is set, everybody gets one as often as
// the spacing allows.
func (a *recipientSelector) next(now time.Duration, members []string, partners map[string]bool, toAll bool) []string {
	if toAll && now-a.lastSentToAll >= outagePeriod(len(members)) {
		a.lastSentToAll = now
		return members
	}
	chosen := a.nextInRotation(members)
	list := make([]string, 0, len(chosen)+len(partners))
	for _, m := range members {
		if partners[m] || chosen[m] {
			list = append(list, m)
		}
	}
	return list
}

// nextInRotation returns the members whose turn it is.
func (a *recipientSelector) nextInRotation(members []string) map[string]bool {
	chosen := make(map[string]bool, rotationSize)
	start, found := slices.BinarySearch(members, a.lastInRotation)
	if found {
		start++
	}
	for i := range min(rotationSize, len(members)) {
		a.lastInRotation = members[(start+i)%len(members)]
		chosen[a.lastInRotation] = true
	}
	return chosen
}

// outagePeriod is the time between two notices to all of n members.
func outagePeriod(n int) time.Duration {
	return max(heartbeatInterval, time.Duration(n)*outageSpacing)
}

// heartbeatPeriod returns the longest time between two notices to one daemon in a
// fleet of n.
func heartbeatPeriod(n int) time.Duration {
	return heartbeatInterval * time.Duration(max(n, rotationSize)) / rotationSize
}

// livenessTimeout is how long a daemon without notices counts as alive in a fleet
// of n: some of its notices may be lost.
func livenessTimeout(n int) time.Duration {
	return max(minLivenessTimeout, 3*heartbeatPeriod(n))
}
