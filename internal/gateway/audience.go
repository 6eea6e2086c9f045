package gateway

import (
	"slices"
	"time"
)

// Constants of who gets a notice.
const (
	// noticeEvery is the time between two notices to each daemon with which
	// engines are shared; it is short against the time in which load moves.
	noticeEvery = 300 * time.Millisecond
	// noticePeers is the number of other daemons that get a notice each time:
	// all of a small fleet. In larger ones they take turns, so that a daemon's
	// rate of datagrams stays the same.
	noticePeers = 16
	// outageSpacing is kept between two notices while this daemon does not
	// reach the key-value service and tells all others so: 250 a second.
	outageSpacing = 4 * time.Millisecond
	// statesToAll is the size of a fleet up to which all daemons are told the
	// state of all engines. In larger ones only those are that use an engine;
	// the others know what its registration says.
	statesToAll = 64
)

// audience decides who gets a notice. The load that it answers: fleets of up to
// some hundred daemons, each of which uses a part of the engines at a time. Its
// cost is that of the sender's own requests, and not of the fleet's size.
type audience struct {
	// last is the last member whose turn it was.
	last string
	// toldAll is when all members last got a notice.
	toldAll time.Duration
}

// next returns who gets a notice now, in name order: the partners, with which
// engines are shared, and those whose turn it is. The members are in name order
// and without this daemon. While toAll is set, everybody gets one as often as
// the spacing allows.
func (a *audience) next(now time.Duration, members []string, partners map[string]bool, toAll bool) []string {
	if toAll && now-a.toldAll >= outagePeriod(len(members)) {
		a.toldAll = now
		return members
	}
	chosen := a.turns(members)
	list := make([]string, 0, len(chosen)+len(partners))
	for _, m := range members {
		if partners[m] || chosen[m] {
			list = append(list, m)
		}
	}
	return list
}

// turns returns the members whose turn it is.
func (a *audience) turns(members []string) map[string]bool {
	chosen := make(map[string]bool, noticePeers)
	start, found := slices.BinarySearch(members, a.last)
	if found {
		start++
	}
	for i := range min(noticePeers, len(members)) {
		a.last = members[(start+i)%len(members)]
		chosen[a.last] = true
	}
	return chosen
}

// outagePeriod is the time between two notices to all of n members.
func outagePeriod(n int) time.Duration {
	return max(noticeEvery, time.Duration(n)*outageSpacing)
}

// noticePeriod returns the longest time between two notices to one daemon in a
// fleet of n.
func noticePeriod(n int) time.Duration {
	return noticeEvery * time.Duration(max(n, noticePeers)) / noticePeers
}

// silenceBound is how long a daemon without notices counts as alive in a fleet
// of n: some of its notices may be lost.
func silenceBound(n int) time.Duration {
	return max(peerSilence, 3*noticePeriod(n))
}
