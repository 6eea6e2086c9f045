package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("vm-%03d", i)
	}
	return list
}

// Notices of a daemon do not grow with the fleet, and yet reach everybody
// within the period that others count on.
func TestNoticesKeepTheirRateInLargeFleets(t *testing.T) {
	const rounds = 200
	for _, n := range []int{1, 8, 16, 17, 60, 300, 509} {
		var a recipientSelector
		last := make(map[string]time.Duration)
		sent := 0
		for round := range rounds {
			now := time.Duration(round+1) * heartbeatInterval
			for _, name := range a.next(now, names(n), nil, false) {
				sent++
				if gap := now - last[name]; gap > heartbeatPeriod(n)+heartbeatInterval {
					t.Fatalf("fleet of %d: %s waits %v for a notice, want at most %v", n, name, gap, heartbeatPeriod(n)+heartbeatInterval)
				}
				last[name] = now
			}
		}
		if len(last) != n {
			t.Errorf("fleet of %d: %d daemons got notices", n, len(last))
		}
		if limit := rounds * rotationSize; sent > limit {
			t.Errorf("fleet of %d: %d notices in %d rounds, want at most %d", n, sent, rounds, limit)
		}
	}
}

// Daemons that share engines hear of each other each time, however large the
// fleet is.
func TestPartnersGetEachNotice(t *testing.T) {
	var a recipientSelector
	partners := map[string]bool{"vm-007": true, "vm-450": true, "gone": true}
	for round := range 50 {
		list := a.next(time.Duration(round)*heartbeatInterval, names(509), partners, false)
		if !slices.Contains(list, "vm-007") || !slices.Contains(list, "vm-450") || slices.Contains(list, "gone") {
			t.Fatalf("round %d: notices to %v", round, list)
		}
		if !slices.IsSorted(list) {
			t.Fatalf("round %d: not in order: %v", round, list)
		}
	}
}

// During an outage each of up to some 200 daemons hears of it from all others
// while their word is still believed, and nobody sends more than 250 notices a
// second.
func TestOutagesAreToldToAll(t *testing.T) {
	for _, n := range []int{8, 60, 200, 509} {
		var a recipientSelector
		sent := 0
		toAll := 0
		const rounds = 100
		for round := range rounds {
			list := a.next(time.Duration(round+1)*heartbeatInterval, names(n), nil, true)
			sent += len(list)
			if len(list) == n {
				toAll++
			}
		}
		seconds := (rounds * heartbeatInterval).Seconds()
		if limit := (1/outageSpacing.Seconds() + rotationSize/heartbeatInterval.Seconds()) * seconds; float64(sent) > limit+float64(n) {
			t.Errorf("fleet of %d: %d notices in %.0f s", n, sent, seconds)
		}
		if period := seconds / float64(toAll); n <= 200 && period > outageReportTTL.Seconds() {
			t.Errorf("fleet of %d: told all each %.1f s, want within %v", n, period, outageReportTTL)
		}
	}
}

// In a large fleet only the users of an engine are told its state.
func TestStatesGoToTheUsersOfAnEngine(t *testing.T) {
	states := make([]ownedState, 2)
	states[0].message.Engine = "a"
	states[0].users = map[string]bool{"vm-1": true}
	states[1].message.Engine = "b"
	tests := []struct {
		name   string
		others int
		want   int
	}{
		{"vm-1", allStatesFleetSize - 1, 2},
		{"vm-2", allStatesFleetSize - 1, 2},
		{"vm-1", allStatesFleetSize, 1},
		{"vm-2", allStatesFleetSize, 0},
	}
	for _, test := range tests {
		if got := statesFor(test.name, states, test.others); len(got) != test.want {
			t.Errorf("%s in a fleet of %d others is told %d states, want %d", test.name, test.others, len(got), test.want)
		}
	}
}
