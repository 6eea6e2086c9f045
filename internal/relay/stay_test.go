package relay

import (
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/locator"
	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/routing"
	"github.com/barleylift/barleylift/internal/topology"
)

// Requests that give up their places while all engines have about as much to do send
// thousands of messages a second and are served no earlier; those that stay though another
// engine is nearly idle, or behind an owner that says nothing of its queue, wait for nothing.
func TestWaitingRequestsKeepTheirPlaceUnlessAnotherEngineIsClearlyBetter(t *testing.T) {
	const perToken = 50 * time.Microsecond
	adapter := topology.Adapter{Model: "base", Name: "climb"}
	tests := []struct {
		name           string
		here, there    time.Duration
		perToken       time.Duration
		running        int
		otherHolds     bool
		hereIsReported bool
		want           bool
	}{
		{name: "no other engine holds the adapter", here: 2 * time.Second, perToken: perToken, hereIsReported: true, want: true},
		{name: "another one has as much to do", here: 300 * time.Millisecond, there: 250 * time.Millisecond, perToken: perToken, otherHolds: true, hereIsReported: true, want: true},
		{name: "another one is idle", here: 300 * time.Millisecond, perToken: perToken, otherHolds: true, hereIsReported: true},
		{name: "all slots are taken here", here: 10 * time.Millisecond, perToken: perToken, running: 8, hereIsReported: true},
		{name: "the owner is of an earlier build", hereIsReported: true},
		{name: "the owner has reported nothing"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, engines := newTestRelay(t, func(*locator.Locator, string, locator.AdmissionRequest) bool { return false })
			state := func(id string, work time.Duration, held bool) {
				engines.SetUpstream(topology.Upstream{ID: id, Incarnation: 1, Service: "lm", Slots: 8, Models: []topology.HeldModel{{Name: "base", Version: 1}}})
				s := orders.EngineState{Engine: id, Incarnation: 1, Running: test.running, Waiting: int(work / (50 * time.Millisecond)), WaitingWork: work, PrefillPerToken: test.perToken}
				if held {
					s.Held = []residency.HeldAdapter{{Adapter: adapter, Version: 1}}
				}
				if id == "there" || test.hereIsReported {
					engines.ApplyState(s)
				}
			}
			state("here", test.here, true)
			state("there", test.there, test.otherHolds)
			e := &exchange{relay: r, call: &Call{ID: "q", Adapter: adapter}, service: &routing.Service{Name: "lm"}}
			if got := e.mayStay("here"); got != test.want {
				t.Errorf("may stay: %v, want %v", got, test.want)
			}
		})
	}
}
