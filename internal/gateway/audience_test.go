package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func names(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("vm-%03d", i)
	}
	return names
}

// A daemon's rate of heartbeats must not grow with the fleet, and yet each other
// daemon must get one within heartbeatPeriod, which liveness checks rely on.
func TestHeartbeatRateIsBoundedInLargeFleets(t *testing.T) {
	const rounds = 200
	for _, n := range []int{1, 8, 16, 17, 60, 300, 509} {
		var selector recipientSelector
		last := make(map[string]time.Duration)
		sent := 0
		for round := range rounds {
			now := time.Duration(round+1) * heartbeatInterval
			for _, name := range selector.next(now, names(n), nil, false) {
				sent++
				if gap := now - last[name]; gap > heartbeatPeriod(n)+heartbeatInterval {
					t.Fatalf("fleet of %d: %s waits %v for a heartbeat, want at most %v", n, name, gap, heartbeatPeriod(n)+heartbeatInterval)
				}
				last[name] = now
			}
		}
		if len(last) != n {
			t.Errorf("fleet of %d: %d daemons got heartbeats", n, len(last))
		}
		if limit := rounds * rotationSize; sent > limit {
			t.Errorf("fleet of %d: %d heartbeats in %d rounds, want at most %d", n, sent, rounds, limit)
		}
	}
}

// Daemons that share engines must get a heartbeat each time, whatever the size
// of the fleet.
func TestPartnersGetEachHeartbeat(t *testing.T) {
	var selector recipientSelector
	partners := map[string]bool{"vm-007": true, "vm-450": true, "gone": true}
	for round := range 50 {
		recipients := selector.next(time.Duration(round)*heartbeatInterval, names(509), partners, false)
		if !slices.Contains(recipients, "vm-007") || !slices.Contains(recipients, "vm-450") || slices.Contains(recipients, "gone") {
			t.Fatalf("round %d: heartbeats to %v", round, recipients)
		}
		if !slices.IsSorted(recipients) {
			t.Fatalf("round %d: not in order: %v", round, recipients)
		}
	}
}

// During an outage in a fleet of up to 200 daemons, each must get the reports of
// all others within outageReportTTL, and none may send more than 250 heartbeats
// a second besides the rotation.
func TestOutagesAreReportedToAll(t *testing.T) {
	for _, n := range []int{8, 60, 200, 509} {
		var selector recipientSelector
		sent := 0
		toAll := 0
		const rounds = 100
		for round := range rounds {
			recipients := selector.next(time.Duration(round+1)*heartbeatInterval, names(n), nil, true)
			sent += len(recipients)
			if len(recipients) == n {
				toAll++
			}
		}
		seconds := (rounds * heartbeatInterval).Seconds()
		if limit := (1/outageSpacing.Seconds() + rotationSize/heartbeatInterval.Seconds()) * seconds; float64(sent) > limit+float64(n) {
			t.Errorf("fleet of %d: %d heartbeats in %.0f s", n, sent, seconds)
		}
		if period := seconds / float64(toAll); n <= 200 && period > outageReportTTL.Seconds() {
			t.Errorf("fleet of %d: reported to all every %.1f s, want within %v", n, period, outageReportTTL)
		}
	}
}

// In a large fleet only the users of an engine get its state.
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
			t.Errorf("%s in a fleet of %d others gets %d states, want %d", test.name, test.others, len(got), test.want)
		}
	}
}

// A VM that is lost must not be offered to callers for long, whatever the size
// of the fleet: 2 s after its last heartbeat, or three of the heartbeats that it
// sends to all while it can't reach the key-value service.
func TestLostDaemonsAreNotOfferedForLong(t *testing.T) {
	const limit = 7 * time.Second
	for _, n := range []int{9, 61, 195, 510} {
		for _, test := range []struct {
			name       string
			peer       peer
			registered bool
		}{
			{"its lease has expired", peer{}, false},
			{"it was lost during an outage", peer{storeDown: true}, true},
		} {
			if !test.peer.isAlive(time.Second, n, test.registered) {
				t.Errorf("fleet of %d: %s: lost 1 s after a heartbeat", n, test.name)
			}
			if test.peer.isAlive(limit, n, test.registered) {
				t.Errorf("fleet of %d: %s: alive %v after its last heartbeat", n, test.name, limit)
			}
		}
		if between := heartbeatPeriod(n) + heartbeatInterval; !(peer{}).isAlive(between, n, true) {
			t.Errorf("fleet of %d: a registered daemon is lost between two heartbeats, after %v", n, between)
		}
	}
}
