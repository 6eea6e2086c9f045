package locator

import (
	"testing"

	"github.com/barleylift/barleylift/internal/replicaload"
	"github.com/barleylift/barleylift/internal/topology"
)

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
