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
