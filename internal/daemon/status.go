package daemon

import (
	"github.com/barleylift/barleylift/internal/claim"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/status"
)

// status returns the status of this daemon for operators.
func (d *Daemon) status() status.Daemon {
	self := d.manager.Self()
	return status.Daemon{
		Name:        self.Name,
		Zone:        self.Zone,
		Generation:  d.store.Generation(),
		Leaving:     self.Leaving,
		Engines:     d.ownedIDs(ownership.KindEngine, d.engineNames()),
		ClaimShards: d.ownedIDs(ownership.KindClaim, shardNames()),
		Fresh:       d.store.Fresh(),
	}
}

// ownedIDs returns the subset of the identifiers that this daemon owns.
func (d *Daemon) ownedIDs(kind ownership.Kind, ids []string) []string {
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
	return d.allOwned(ownership.KindEngine, d.engineNames()) && d.allOwned(ownership.KindClaim, shardNames())
}

func (d *Daemon) allOwned(kind ownership.Kind, ids []string) bool {
	for _, id := range ids {
		if _, ok := d.manager.Owner(kind, id); !ok {
			return false
		}
	}
	return true
}
