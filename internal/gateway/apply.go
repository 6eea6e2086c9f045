package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/mirror"
	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/routing"
	"github.com/barleylift/barleylift/internal/topology"
)

// apply applies changes of the key-value service and forwards those that are not
// routine.
func (g *Gateway) apply(changes []mirror.Change, revision int64) {
	isNewEra := g.era.Swap(int64(infra.EraOf(revision))) != int64(infra.EraOf(revision))
	if isNewEra {
		g.options.Meters.StoreEra(g.era.Load())
		// Registrations that the service has lost are written again.
		g.storeRegainedAt.Store(int64(clock.Boot()))
	}
	var forwarded []forwardedChange
	var superseded []mirror.Change
	for _, change := range changes {
		g.applyQuarantineKey(change)
		g.applySuspectKey(change)
		g.applySoftwareKey(change)
		decodingAt := clock.Boot()
		update, err := g.decode(change, superseded)
		if u := g.urgencyOf(change, update, err); u > routine {
			forwarded = append(forwarded, forwardedChange{change, u})
		}
		if err != nil {
			g.log.Warn("invalid value in the key-value service", "key", change.Entry.Key, "revision", change.Entry.ModRevision, "error", err)
		}
		switch {
		case update.ConfigSuperseded:
			superseded = append(superseded, change)
		case update.Config != nil:
			g.options.Meters.ConfigStep("decode", clock.Boot()-decodingAt)
			g.applyConfig(*update.Config, len(superseded), clock.Boot()-decodingAt)
		case update.Upstream != nil:
			g.noteProcess(change.Entry, *update.Upstream)
			g.applyUpstream(*update.Upstream)
		case update.RemovedUpstream != "":
			g.applyRemoval(update.RemovedUpstream)
		case update.Version != nil:
			g.locator.SetVersion(update.Version.Adapter, update.Version.Version)
			g.log.Info("adapter version set", "adapter", update.Version.Adapter.String(), "version", update.Version.Version)
		}
	}
	g.keeper.Apply(changes, revision)
	if g.softwareSeenFrom.CompareAndSwap(0, int64(clock.Boot())) && g.settings.Load().FirstStart && !g.keeper.HadProcess() {
		g.budgets.beginFirstStart()
	}
	if g.firstReadApplied.Swap(true) && !isNewEra {
		// The first read of an era is not forwarded: the other daemons make it too.
		g.forwardChanges(forwarded)
	}
	if members := g.keeper.KnownVMs(); g.budgets.raiseMembers(members) {
		g.log.Info("retry budgets are shared by more VMs", "vms", members)
	}
}

// decode decodes a change. In place of an invalid configuration it returns, beside the error, the newest
// valid one of those that it has superseded.
func (g *Gateway) decode(change mirror.Change, superseded []mirror.Change) (Update, error) {
	update, err := g.platform.Decode(change)
	if err == nil {
		return update, nil
	}
	for _, earlier := range slices.Backward(superseded) {
		if earlier.Entry.Key != change.Entry.Key {
			continue
		}
		earlier.Superseded = false
		if valid, earlierErr := g.platform.Decode(earlier); earlierErr == nil {
			return valid, err
		}
	}
	return update, err
}

// applyConfig puts a configuration in force. It is logged with the number of older ones that came
// with it and were left out, and with the time that its decoding took.
func (g *Gateway) applyConfig(config routing.Config, superseded int, decoding time.Duration) {
	began := clock.Boot()
	table, err := routing.NewTable(config)
	if err != nil {
		g.log.Error("configuration rejected, any current one stays in force", "version", config.Version, "error", err)
		return
	}
	if !g.relay.SetTable(table) {
		g.log.Info("older configuration ignored", "version", config.Version)
		return
	}
	g.proof.SetVersion(config.Version)
	g.options.Meters.Version(config.Version)
	putting := clock.Boot() - began
	g.options.Meters.ConfigStep("put in force", putting)
	g.log.Info("configuration in force", "version", config.Version, "routes", len(config.Routes), "services", len(config.Services),
		"requires_keys", config.RequiresKeys, "customers", len(config.Customers),
		"superseded", superseded, "decode_ms", decoding.Milliseconds(), "apply_ms", putting.Milliseconds())
	g.signalReassign()
}

// applyUpstream applies a registration. It ignores one of an earlier process. A
// process that was leaving stays marked as leaving.
func (g *Gateway) applyUpstream(upstream topology.Upstream) {
	g.mu.Lock()
	current, ok := g.upstreams[upstream.ID]
	if ok && upstream.Incarnation < current.Incarnation {
		g.mu.Unlock()
		g.log.Info("registration of an earlier process ignored", "upstream", upstream.ID)
		return
	}
	if ok && upstream.SameProcess(current) && g.registeredLeaving(current) {
		upstream.Leaving = true
	}
	upstream = g.applyStatement(upstream)
	delete(g.removals, upstream.ID)
	g.upstreams[upstream.ID] = upstream
	if ok && upstream.Incarnation != current.Incarnation {
		delete(g.modelLoadNotBefore, processKey{current.ID, current.Incarnation})
	}
	g.mu.Unlock()
	g.locator.SetUpstream(upstream)
	switch {
	case !ok || !upstream.SameProcess(current):
		g.log.Info("upstream registered", "upstream", upstream.ID, "service", upstream.Service, "address", upstream.Address.String(),
			"born", upstream.Incarnation, "software", upstream.SoftwareVersion, "leaving", upstream.Leaving, "models", len(upstream.Models))
	case upstream.Leaving && !current.Leaving:
		g.log.Info("upstream is leaving", "upstream", upstream.ID, "remaining_ms", upstream.RemainingLifetime.Milliseconds())
	}
	g.signalReassign()
}

// setStoreReachable records whether the key-value service is reachable.
func (g *Gateway) setStoreReachable(reachable bool) {
	if reachable && g.storeDown.Load() {
		g.storeRegainedAt.Store(int64(clock.Boot()))
	}
	g.storeDown.Store(!reachable)
}

// noteStoreReturn notes the end of an outage, of which the watch or the lease have learned.
func (g *Gateway) noteStoreReturn() {
	watched := g.storeRegainedAt.Load()
	regained := int64(g.outage.regainedAt(clock.Boot(), g.storeDisconnected(), time.Duration(watched)))
	if regained != watched {
		// If the watch has found the service back meanwhile, that holds.
		g.storeRegainedAt.CompareAndSwap(watched, regained)
	}
}

func (g *Gateway) signalReassign() {
	select {
	case g.reassign <- struct{}{}:
	default:
	}
}

// runAssignments updates the engines to claim and the order workers when the
// registrations, the configuration or the ownership change.
func (g *Gateway) runAssignments(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.reassign:
			g.assign(ctx)
		}
	}
}

func (g *Gateway) assign(ctx context.Context) {
	table := g.relay.Table()
	if table == nil {
		return
	}
	engines := g.engines(table)
	ids := make([]string, 0, len(engines))
	for _, e := range engines {
		ids = append(ids, e.Engine.ID)
	}
	g.keeper.SetEngines(ids)
	owned := g.keeper.OwnedEngines()
	var assignments []orders.Assignment
	for _, e := range engines {
		if slices.Contains(owned, e.Engine.ID) {
			assignments = append(assignments, e)
		}
	}
	g.orders.Assign(ctx, assignments)
}

// engineCount counts a service's engines, and those without a base model.
type engineCount struct {
	all, withoutModel int
}

// engines lists the registered model engines and what each can hold.
func (g *Gateway) engines(table *routing.Table) []orders.Assignment {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := make(map[string]engineCount)
	for _, u := range g.upstreams {
		count := counts[u.Service]
		count.all++
		if len(u.Models) == 0 {
			count.withoutModel++
		}
		counts[u.Service] = count
	}
	var assignments []orders.Assignment
	for _, u := range g.upstreams {
		service := table.Service(u.Service)
		if service == nil || service.Engines == nil {
			continue
		}
		assignments = append(assignments, orders.Assignment{Engine: u, Spec: g.specOf(u, service.Engines, counts[u.Service])})
	}
	return assignments
}

// specOf returns what an engine is to hold: the base model that it has, or else
// one chosen by its identifier. When it may load the model is decided once per
// process, from the number of engines that lacked theirs at that time. The
// caller holds mu.
func (g *Gateway) specOf(u topology.Upstream, spec *routing.EngineSpec, count engineCount) residency.Spec {
	model := spec.Models[residency.HashBucket(u.ID, len(spec.Models))]
	for _, held := range u.Models {
		if configured, ok := spec.Model(held.Name); ok {
			model = configured
			break
		}
	}
	key := processKey{u.ID, u.Incarnation}
	from, decided := g.modelLoadNotBefore[key]
	if !decided {
		from = clock.Boot() + residency.ModelLoadDelay(u.ID, count.withoutModel, count.all, spec.ModelLoadsPerSecond)
		g.modelLoadNotBefore[key] = from
	}
	return residency.Spec{
		Capacity:           spec.AdapterCapacity([]string{model.Name}),
		Model:              model.Name,
		ModelLoadNotBefore: from,
	}
}
