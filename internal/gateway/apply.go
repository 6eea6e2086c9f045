package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/mirror"
	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/routing"
	"github.com/barleylift/barleylift/internal/topology"
)

// registrationGrace is how long after the return of the key-value service a
// missing registration may still come back: those that lapsed meanwhile do so
// within about two seconds.
const registrationGrace = 2200 * time.Millisecond

// apply takes over changes of the key-value service.
func (g *Gateway) apply(changes []mirror.Change, revision int64) {
	var telling []toldChange
	for _, change := range changes {
		update, err := g.platform.Decode(change)
		if u := g.urgencyOf(change, update, err); u > routine {
			telling = append(telling, toldChange{change, u})
		}
		if err != nil {
			g.log.Warn("unusable value in the key-value service", "key", change.Entry.Key, "revision", change.Entry.ModRevision, "error", err)
		}
		switch {
		case update.Config != nil:
			g.applyConfig(*update.Config)
		case update.Upstream != nil:
			g.applyUpstream(*update.Upstream)
		case update.RemovedUpstream != "":
			g.applyGone(update.RemovedUpstream)
		case update.Version != nil:
			g.locator.SetVersion(update.Version.Adapter, update.Version.Version)
			g.log.Info("version named", "adapter", update.Version.Adapter.String(), "version", update.Version.Version)
		}
	}
	g.keeper.Apply(changes, revision)
	if g.primed.Swap(true) {
		// The first read is no news to the others.
		g.tellChanges(telling)
	}
	g.budgets.setMembers(len(g.keeper.Members()))
}

func (g *Gateway) applyConfig(config routing.Config) {
	table, err := routing.NewTable(config)
	if err != nil {
		g.log.Error("configuration not taken over", "version", config.Version, "error", err)
		return
	}
	if !g.relay.SetTable(table) {
		g.log.Info("older configuration ignored", "version", config.Version)
		return
	}
	g.options.Meters.Version(config.Version)
	g.log.Info("configuration in force", "version", config.Version, "routes", len(config.Routes), "services", len(config.Services))
	g.signalReassign()
}

// applyUpstream takes over a registration. One that is older than what is
// known changes nothing, and an upstream that is leaving does not come back.
func (g *Gateway) applyUpstream(upstream topology.Upstream) {
	g.mu.Lock()
	known, ok := g.upstreams[upstream.ID]
	if ok && upstream.Incarnation < known.Incarnation {
		g.mu.Unlock()
		g.log.Info("registration of an earlier process ignored", "upstream", upstream.ID)
		return
	}
	if ok && upstream.SameProcess(known) && known.Leaving {
		upstream.Leaving = true
	}
	delete(g.missing, upstream.ID)
	g.upstreams[upstream.ID] = upstream
	if ok && upstream.Incarnation != known.Incarnation {
		delete(g.modelFrom, processKey{known.ID, known.Incarnation})
	}
	g.mu.Unlock()
	g.locator.SetUpstream(upstream)
	switch {
	case !ok || !upstream.SameProcess(known):
		g.log.Info("upstream registered", "upstream", upstream.ID, "service", upstream.Service, "address", upstream.Address.String(),
			"born", upstream.Incarnation, "leaving", upstream.Leaving, "models", len(upstream.Models))
	case upstream.Leaving && !known.Leaving:
		g.log.Info("upstream is leaving", "upstream", upstream.ID, "remaining_ms", upstream.RemainingLifetime.Milliseconds())
	}
	g.signalReassign()
}

// applyGone takes over that an upstream has no usable registration. Shortly
// after an outage of the service it may still come back.
func (g *Gateway) applyGone(id string) {
	now := clock.Boot()
	due := max(time.Duration(g.storeBack.Load())+registrationGrace, now)
	g.mu.Lock()
	_, known := g.upstreams[id]
	if known {
		g.missing[id] = due
	}
	g.mu.Unlock()
	if known {
		g.log.Info("registration is gone", "upstream", id, "counts_as_gone_in_ms", (due - now).Milliseconds())
		g.removeMissing()
	}
}

// removeMissing forgets upstreams that count as gone.
func (g *Gateway) removeMissing() {
	now := clock.Boot()
	g.mu.Lock()
	var gone []string
	for id, due := range g.missing {
		if now >= due {
			gone = append(gone, id)
			delete(g.missing, id)
			delete(g.modelFrom, processKey{id, g.upstreams[id].Incarnation})
			delete(g.upstreams, id)
		}
	}
	g.mu.Unlock()
	for _, id := range gone {
		g.locator.RemoveUpstream(id)
		g.pools.remove(id)
		g.log.Info("upstream removed", "upstream", id)
	}
	if len(gone) > 0 {
		g.signalReassign()
	}
}

// storeReachable takes over that the service was lost or regained.
func (g *Gateway) storeReachable(up bool) {
	if up && g.storeDown.Load() {
		g.storeBack.Store(int64(clock.Boot()))
	}
	g.storeDown.Store(!up)
}

func (g *Gateway) signalReassign() {
	select {
	case g.reassign <- struct{}{}:
	default:
	}
}

// runAssignments keeps the engines to be ordered and the workers in step with
// the registrations, the configuration and the ownership.
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
	mine := g.keeper.OwnedEngines()
	var assignments []orders.Assignment
	for _, e := range engines {
		if slices.Contains(mine, e.Engine.ID) {
			assignments = append(assignments, e)
		}
	}
	g.orders.Assign(ctx, assignments)
}

// engineCount counts a service's engines, and those without a base model.
type engineCount struct {
	all, lacking int
}

// engines lists the model engines that are registered, with what each can hold.
func (g *Gateway) engines(table *routing.Table) []orders.Assignment {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := make(map[string]engineCount)
	for _, u := range g.upstreams {
		count := counts[u.Service]
		count.all++
		if len(u.Models) == 0 {
			count.lacking++
		}
		counts[u.Service] = count
	}
	var list []orders.Assignment
	for _, u := range g.upstreams {
		service := table.Service(u.Service)
		if service == nil || service.Engines == nil {
			continue
		}
		list = append(list, orders.Assignment{Engine: u, Spec: g.specOf(u, service.Engines, counts[u.Service])})
	}
	return list
}

// specOf tells what an engine is to hold: the base model that it has, or else
// one that its identifier chooses. When it may load that is decided once, by
// the engines that lacked their model then. The caller holds mu.
func (g *Gateway) specOf(u topology.Upstream, spec *routing.EngineSpec, count engineCount) residency.Spec {
	model := spec.Models[residency.HashBucket(u.ID, len(spec.Models))]
	for _, held := range u.Models {
		if known, ok := spec.Model(held.Name); ok {
			model = known
			break
		}
	}
	key := processKey{u.ID, u.Incarnation}
	from, decided := g.modelFrom[key]
	if !decided {
		from = clock.Boot() + residency.ModelLoadDelay(u.ID, count.lacking, count.all, spec.ModelLoadsPerSecond)
		g.modelFrom[key] = from
	}
	return residency.Spec{
		Capacity:           spec.AdapterCapacity([]string{model.Name}),
		Model:              model.Name,
		ModelLoadNotBefore: from,
	}
}
