package gateway

import (
	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/dissemination"
	"github.com/barleylift/barleylift/internal/mesh"
	"github.com/barleylift/barleylift/internal/replicaload"
)

// shareReplicaLoads registers the entries by which VMs know of each other's requests at the
// replicas of plain services. They are no need for exchanges: without those, the choice of a
// replica is as before.
func (g *Gateway) shareReplicaLoads() {
	g.router.ProduceRequests(dissemination.KindReplicaUse, g.replicaUse)
	g.router.Handle(dissemination.KindReplicaUse, g.receiveReplicaUse)
	g.router.ProduceReplies(dissemination.KindReplicaLoad, g.replicaLoad)
	g.router.Handle(dissemination.KindReplicaLoad, g.receiveReplicaLoad)
}

// replicaUse produces this VM's report to a coordinator.
func (g *Gateway) replicaUse(dissemination.Coordinator) []mesh.Entry {
	report := g.replicaLoads.Report(clock.Boot(), g.locator.ReplicaUses())
	return []mesh.Entry{dissemination.NewEntry(dissemination.KindReplicaUse, report)}
}

// receiveReplicaUse handles a VM's report to this VM as a coordinator.
func (g *Gateway) receiveReplicaUse(from dissemination.Sender, body []byte) error {
	report, err := dissemination.Decode[replicaload.Report](body)
	if err != nil {
		return err
	}
	return g.replicaSums.Record(clock.Boot(), from.VM, from.Incarnation, report)
}

// replicaLoad produces the sums for a VM.
func (g *Gateway) replicaLoad(to dissemination.Sender) []mesh.Entry {
	loads, ok := g.replicaSums.Loads(clock.Boot(), to.VM, to.Incarnation)
	if !ok {
		return nil
	}
	return []mesh.Entry{dissemination.NewEntry(dissemination.KindReplicaLoad, loads)}
}

// receiveReplicaLoad handles the sums of a coordinator.
func (g *Gateway) receiveReplicaLoad(_ dissemination.Sender, body []byte) error {
	loads, err := dissemination.Decode[replicaload.Loads](body)
	if err != nil {
		return err
	}
	return g.replicaLoads.Record(loads)
}

// logReplicaLoads logs when the choice of replicas begins and ceases to use sums.
func (g *Gateway) logReplicaLoads() {
	age, known := g.replicaLoads.Age(clock.Boot())
	if known == g.replicaLoadsKnown {
		return
	}
	g.replicaLoadsKnown = known
	if known {
		g.log.Info("sums of requests at replicas are in use", "age_ms", age.Milliseconds())
	} else {
		g.log.Info("sums of requests at replicas are no longer in use, none was received lately", "age_ms", age.Milliseconds())
	}
}
