package gateway

import (
	"slices"
	"time"
)

// Constants of the recipients of heartbeats.
const (
	// heartbeatInterval is the time between two heartbeats to each daemon that
	// shares engines with this one; load shifts much more slowly.
	heartbeatInterval = 300 * time.Millisecond
	// rotationSize is the number of other daemons that get a heartbeat each time
	// in rotation: all of a small fleet, and a constant rate of datagrams in
	// larger ones.
	rotationSize = 16
	// outageSpacing is the average time between two heartbeats while this daemon
	// can't reach the key-value service and reports that to all others: 250 a
	// second.
	outageSpacing = 4 * time.Millisecond
	// allStatesFleetSize is the size of a fleet up to which all daemons get the
	// states of all engines. In larger ones only the users of an engine do; the
	// others use its registration.
	allStatesFleetSize = 64
)

// recipientSelector selects the recipients of heartbeats. It is made for fleets
// of up to some hundred daemons, each of which uses a part of the engines at a
// time: the cost grows with the sender's own requests, not with the fleet.
type recipientSelector struct {
	// lastInRotation is the last member selected by rotation.
	lastInRotation string
	// lastSentToAll is when all members last got a heartbeat.
	lastSentToAll time.Duration
}

// next returns the recipients of the next heartbeats, in name order: the
// partners, which share engines with this daemon, and the next members in
// rotation. The members are in name order, without this daemon. While toAll is
// set, all members get a heartbeat as often as outageSpacing allows.
func (s *recipientSelector) next(now time.Duration, members []string, partners map[string]bool, toAll bool) []string {
	if toAll && now-s.lastSentToAll >= outagePeriod(len(members)) {
		s.lastSentToAll = now
		return members
	}
	chosen := s.nextInRotation(members)
	recipients := make([]string, 0, len(chosen)+len(partners))
	for _, m := range members {
		if partners[m] || chosen[m] {
			recipients = append(recipients, m)
		}
	}
	return recipients
}

// nextInRotation returns the next members in rotation.
func (s *recipientSelector) nextInRotation(members []string) map[string]bool {
	chosen := make(map[string]bool, rotationSize)
	start, found := slices.BinarySearch(members, s.lastInRotation)
	if found {
		start++
	}
	for i := range min(rotationSize, len(members)) {
		s.lastInRotation = members[(start+i)%len(members)]
		chosen[s.lastInRotation] = true
	}
	return chosen
}

// outagePeriod is the time between two heartbeats to all of n members during an
// outage of the key-value service.
func outagePeriod(n int) time.Duration {
	return max(heartbeatInterval, time.Duration(n)*outageSpacing)
}

// heartbeatPeriod returns the longest time between two heartbeats to one daemon
// in a fleet of n.
func heartbeatPeriod(n int) time.Duration {
	return heartbeatInterval * time.Duration(max(n, rotationSize)) / rotationSize
}

// isAlive reports whether a daemon in a fleet of n counts as alive at now, given
// its last heartbeat. Some of its heartbeats may be lost. One that can't reach
// the key-value service sends heartbeats to all. One without a member key has
// exited, or is about to register again: callers are not sent there on the word
// of an old heartbeat.
func (p peer) isAlive(now time.Duration, n int, registered bool) bool {
	period := heartbeatPeriod(n)
	if p.storeDown || !registered {
		period = outagePeriod(n)
	}
	return now-p.lastHeartbeatAt < max(minLivenessTimeout, 3*period)
}
