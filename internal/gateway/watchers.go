package gateway

import (
	"time"

	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/mesh"
	"github.com/barleylift/barleylift/internal/mirror"
	"github.com/barleylift/barleylift/internal/placement"
)

// Each call to the key-value service counts, and engines write there about
// each second. So every daemon asks for news at a rest that still keeps the
// bound on configuration and leaving upstreams by itself, and two of them, the
// watchers, ask more often and pass on what the others should know at once.
const (
	// watcherCount is the number of watchers; the second one stands in for a
	// first one that is slow, cut off or gone.
	watcherCount = 2
	// watcherPause is the rest of watchers between two answers with news.
	watcherPause = 150 * time.Millisecond
	// restShare is the other daemons' rest, as a share of the time in which a
	// change must be in force: a change may come right after an answer.
	restShare = 0.45
	// watcherKey is what the daemons are ranked for.
	watcherKey = "watchers"
	// maxToldValue bounds the values that are passed on, in bytes: one datagram.
	maxToldValue = 1100
)

// isWatcher reports whether this daemon is among the first of the fleet.
func (g *Gateway) isWatcher() bool {
	self := g.keeper.Self()
	if self.Draining {
		return false
	}
	candidates := []placement.Candidate{{Engine: self.Name}}
	for _, m := range g.members() {
		p, heard := g.peers.get(m.Name)
		if !m.Draining && m.Name != self.Name && !(heard && p.storeDown) {
			candidates = append(candidates, placement.Candidate{Engine: m.Name})
		}
	}
	for _, c := range placement.Rank(candidates, watcherKey, watcherCount) {
		if c.Engine == self.Name {
			return true
		}
	}
	return false
}

func (g *Gateway) setWatchPause() {
	pause := time.Duration(restShare * float64(g.settings.Load().UpToDate))
	if g.isWatcher() {
		pause = watcherPause
	}
	g.platform.SetWatchPause(pause)
}

// worthTelling reports whether a change, which has not been applied yet,
// matters to other daemons at once: all but an engine's regular writing about
// what it holds.
func (g *Gateway) worthTelling(change mirror.Change) bool {
	if len(change.Entry.Value) > maxToldValue {
		return false
	}
	if change.Deleted {
		return true
	}
	update, err := g.platform.Decode(change)
	if err != nil || update.Config != nil {
		return false
	}
	if update.Upstream == nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	known, ok := g.upstreams[update.Upstream.ID]
	return !ok || !update.Upstream.SameProcess(known) || update.Upstream.Leaving != known.Leaving
}

// tellChanges passes changes on to all other daemons if this one is a watcher.
func (g *Gateway) tellChanges(changes []mirror.Change) {
	if len(changes) == 0 || !g.isWatcher() {
		return
	}
	self := g.keeper.Self()
	for _, m := range g.members() {
		if m.Name == self.Name {
			continue
		}
		for _, change := range changes {
			g.mesh.Send(m.Mesh, mesh.Packet{Change: &mesh.Change{
				Key:      change.Entry.Key,
				Value:    change.Entry.Value,
				Created:  change.Entry.CreateRevision,
				Revision: change.Entry.ModRevision,
				Lease:    int64(change.Entry.Lease),
				Deleted:  change.Deleted,
			}})
		}
	}
}

func changeOf(message *mesh.Change) mirror.Change {
	return mirror.Change{
		Entry: infra.Entry{
			Key:            message.Key,
			Value:          message.Value,
			CreateRevision: message.Created,
			ModRevision:    message.Revision,
			Lease:          infra.LeaseID(message.Lease),
		},
		Deleted: message.Deleted,
	}
}
