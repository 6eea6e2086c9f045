package gateway

import (
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/mesh"
	"github.com/barleylift/barleylift/internal/orders"
)

// An entry that loses a field of an engine's state, or takes an absurd one for true,
// chooses engines on wrong figures.
func TestWaitingWorkReachesEntries(t *testing.T) {
	state := orders.EngineState{Engine: "e", Incarnation: 3, Running: 2, Waiting: 4, WaitingWork: 70 * time.Millisecond, PrefillPerToken: 52 * time.Microsecond}
	if got := stateOf(stateMessage(state)); !reflect.DeepEqual(got, state) {
		t.Errorf("state %+v arrives as %+v", state, got)
	}
	for _, ms := range []int64{math.MinInt64, math.MaxInt64} {
		got := stateOf(mesh.EngineState{WaitingWork: ms, PrefillPerToken: ms})
		if got.WaitingWork < 0 || got.WaitingWork > maxWaitingWork || got.PrefillPerToken < 0 {
			t.Errorf("%d ms of work arrive as %+v", ms, got)
		}
	}
}

// A copy that was complete after a daemon's second last heartbeat didn't confirm that one, and with heartbeats each 300 ms hardly any.
func TestHeartbeatsThatArrivedByAProofAreConfirmed(t *testing.T) {
	var p peer
	for n := range 6 {
		p.recent = p.with(heardHeartbeat{arrivedAt: time.Duration(n) * time.Second, sentAt: int64(100 + n)})
	}
	if len(p.recent) != keptHeartbeats {
		t.Errorf("%d heartbeats are kept, want %d", len(p.recent), keptHeartbeats)
	}
	for asOf, want := range map[time.Duration]int64{9 * time.Second: 105, 5 * time.Second: 105, 5*time.Second - 1: 104, 2 * time.Second: 102, 2*time.Second - 1: 0} {
		if sentAt, ok := p.arrivedBy(asOf); sentAt != want || ok != (want != 0) {
			t.Errorf("a copy as of %v confirms the heartbeat of %d, %v, want %d", asOf, sentAt, ok, want)
		}
	}
}
