package daemon

import (
	"github.com/barleylift/barleylift/internal/claim"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/status"
)

// status tells operators about this daemon.
func (d *Daemon) status() status.Daemon {
	self := d.manager.Self()
	return status.Daemon{
		Name:        self.Name,
		Zone:        self.Zone,
		Generation:  d.store.Generation(),
		Leaving:     self.Leaving,
		Engines:     d.held(ownership.KindEngine, d.engineNames()),
		ClaimShards: d.held(ownership.KindClaim, shardNames()),
		Fresh:       d.store.Fresh(),
	}
}

// held returns those of the identifiers that this daemon owns.
func (d *Daemon) held(kind ownership.Kind, ids []string) []string {
	owned := []string{}
	for _, id := range ids {
		if owner, ok := d.manager.Owner(kind, id); ok && owner.Member == d.settings.Name {
			owned = append(owned, id)
		}
	}
	return owned
}

func (d *Daemon) engineNames() []string {
	snapshot := d.store.Current()
	if snapshot == nil {
		return nil
	}
	names := make([]string, len(snapshot.Engines))
	for i, e := range snapshot.Engines {
		names[i] = e.Name
	}
	return names
}

func shardNames() []string {
	shards := claim.Resources()
	names := make([]string, len(shards))
	for i, r := range shards {
		names[i] = r.ID
	}
	return names
}

// AllOwned reports whether this daemon sees an owner for each engine and
// claim shard of the configuration in force.
func (d *Daemon) AllOwned() bool {
	return d.ownersKnown(ownership.KindEngine, d.engineNames()) && d.ownersKnown(ownership.KindClaim, shardNames())
}

func (d *Daemon) ownersKnown(kind ownership.Kind, ids []string) bool {
	for _, id := range ids {
		if _, ok := d.manager.Owner(kind, id); !ok {
			return false
		}
	}
	return true
}
