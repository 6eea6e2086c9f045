package gateway

import (
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/dissemination"
	"github.com/barleylift/barleylift/internal/replicaload"
)

// Guards against entries that a coordinator or its reply does not decode, and against a
// malformed one that is taken over.
func TestReplicaLoadsReachVMs(t *testing.T) {
	coordinator := &Gateway{replicaSums: replicaload.NewSums()}
	vm := &Gateway{}
	now := clock.Boot()
	entry := dissemination.NewEntry(dissemination.KindReplicaUse, vm.replicaLoads.Report(now, []replicaload.Use{{Upstream: "r", Incarnation: 1, Running: 2}}))
	self := dissemination.Sender{VM: "a", Incarnation: 1}
	if err := coordinator.receiveReplicaUse(self, entry.Body); err != nil {
		t.Fatal(err)
	}
	other := replicaload.Report{SentAt: 1, Uses: []replicaload.Use{{Upstream: "r", Incarnation: 1, Running: 3}}}
	if err := coordinator.replicaSums.Record(now, "b", 1, other); err != nil {
		t.Fatal(err)
	}
	if entries := coordinator.replicaLoad(dissemination.Sender{VM: "c", Incarnation: 1}); entries != nil {
		t.Errorf("reply %v to a VM that has reported nothing", entries)
	}
	loads, ok := coordinator.replicaSums.Loads(now+1500*time.Millisecond, "a", 1)
	if !ok {
		t.Fatal("no sums")
	}
	if err := vm.receiveReplicaLoad(dissemination.Sender{}, dissemination.NewEntry(dissemination.KindReplicaLoad, loads).Body); err != nil {
		t.Fatal(err)
	}
	if n := vm.replicaLoads.Others(now, "r", 1); n != 3 {
		t.Errorf("%d requests of other VMs, want 3", n)
	}
	for _, body := range [][]byte{nil, {0xff}, {0x01}} {
		if coordinator.receiveReplicaUse(self, body) == nil || vm.receiveReplicaLoad(self, body) == nil {
			t.Errorf("malformed body %x is accepted", body)
		}
	}
}
