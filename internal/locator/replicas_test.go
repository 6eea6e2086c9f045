package locator

import (
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/replicaload"
	"github.com/barleylift/barleylift/internal/topology"
)

// Guards against a choice that never learns what other VMs have running, or takes what they
// had at the process before.
func TestReplicasTellWhatOthersHaveRunning(t *testing.T) {
	o := newOwner(t)
	o.locator.config.OthersRunning = func(_ time.Duration, replica string, incarnation int64) int {
		if replica == "r" && incarnation == 3 {
			return 7
		}
		return 0
	}
	r := topology.Upstream{ID: "r", Incarnation: 3, Service: "plain", Slots: 6}
	for _, want := range []int{7, 0} {
		o.locator.SetUpstream(r)
		if got := o.locator.Replicas("plain", nil, 0); got[0].OthersRunning != want {
			t.Errorf("%d requests of others, want %d", got[0].OthersRunning, want)
		}
		r.Incarnation++
	}
}

// Guards against reports that list engines, replicas without requests, or nothing.
func TestReplicaUses(t *testing.T) {
	o := newOwner(t)
	o.locator.SetUpstream(engine("e", nil))
	for _, id := range []string{"r", "idle"} {
		o.locator.SetUpstream(topology.Upstream{ID: id, Incarnation: 3, Service: "plain", Slots: 6})
	}
	o.locator.Replicas("plain", nil, 0)
	o.locator.BeginRequest("e", climb, false)
	o.locator.BeginRequest("r", topology.Adapter{}, false)
	if got := o.locator.ReplicaUses(); len(got) != 1 || got[0] != (replicaload.Use{Upstream: "r", Incarnation: 3, Running: 1}) {
		t.Errorf("got %v", got)
	}
	o.locator.EndRequest("r", topology.Adapter{}, false)
	if got := o.locator.ReplicaUses(); len(got) != 0 {
		t.Errorf("got %v after the end", got)
	}
}
