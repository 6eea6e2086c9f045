package gateway

import (
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/fleet"
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
	// watchPauseShare is the other daemons' rest, as a share of the time in which a
	// change must be in force: a change may come right after an answer.
	watchPauseShare = 0.45
	// minCoresShare is the least part of the strongest VM's cores that a watcher
	// has: VMs of one fleet differ by up to four times.
	minCoresShare = 0.5
	// watcherKey is what the daemons are ranked for.
	watcherKey = "watchers"
	// maxForwardedValue bounds the values that are passed on, in bytes: one datagram.
	maxForwardedValue = 1100
)

// isWatcher reports whether this daemon is among the first of the fleet.
func (g *Gateway) isWatcher() bool {
	self := g.keeper.Self()
	if self.Draining {
		return false
	}
	able := []fleet.Member{self}
	for _, m := range g.members() {
		p, heard := g.peers.get(m.Name)
		if !m.Draining && m.Name != self.Name && !(heard && p.storeDown) {
			able = append(able, m)
		}
	}
	return slices.Contains(chooseWatchers(able), self.Name)
}

// chooseWatchers chooses the watchers among daemons that reach the service: by
// rendezvous order among those on strong VMs. A watcher reads the news of all
// engines several times a second and passes it on to all daemons; a weak VM
// falls behind with that in a large fleet, and with its own configuration.
func chooseWatchers(members []fleet.Member) []string {
	strongest := 0.0
	for _, m := range members {
		strongest = max(strongest, m.Cores)
	}
	var candidates []placement.Candidate
	for _, m := range members {
		if m.Cores >= minCoresShare*strongest {
			candidates = append(candidates, placement.Candidate{Engine: m.Name})
		}
	}
	var names []string
	for _, c := range placement.Rank(candidates, watcherKey, watcherCount) {
		names = append(names, c.Engine)
	}
	return names
}

func (g *Gateway) setWatchPause() {
	pause := time.Duration(watchPauseShare * float64(g.settings.Load().MaxStaleness))
	if g.isWatcher() {
		pause = watcherPause
	}
	g.platform.SetWatchPause(pause)
}

// urgency tells how soon other daemons should learn of a change.
type urgency int

const (
	// routine changes come by each daemon's own watch: an engine's regular
	// writing about what it holds.
	routine urgency = iota
	// useful changes are better known soon: new upstreams, who orders engines.
	useful
	// urgent changes end something: an upstream leaves or is gone, a version
	// is replaced.
	urgent
)

// urgencyOf judges a change that has not been applied yet, by what it was
// decoded to.
func (g *Gateway) urgencyOf(change mirror.Change, update Update, undecoded error) urgency {
	if len(change.Entry.Value) > maxForwardedValue {
		return routine
	}
	if change.Deleted {
		return urgent
	}
	switch {
	case undecoded != nil || update.Config != nil:
		return routine
	case update.Version != nil:
		return urgent
	case update.Upstream == nil:
		return useful
	}
	g.mu.Lock()
	known, ok := g.upstreams[update.Upstream.ID]
	g.mu.Unlock()
	switch {
	case ok && update.Upstream.Leaving != known.Leaving:
		return urgent
	case !ok || !update.Upstream.SameProcess(known):
		return useful
	default:
		return routine
	}
}

// forwardChanges passes changes on to all other daemons if this one is a watcher.
func (g *Gateway) forwardChanges(changes []forwardedChange) {
	if len(changes) == 0 || !g.isWatcher() {
		return
	}
	others := g.otherAddresses()
	allow := func(bytes int) bool { return g.forwardLimiter.AllowN(time.Now(), bytes) }
	packets, dropped := packChanges(changes, len(others), allow)
	for _, address := range others {
		for _, packet := range packets {
			g.mesh.Send(address, mesh.Packet{Changes: packet})
		}
	}
	if dropped > 0 {
		g.log.Info("changes not passed on, the others' own watches will bring them", "changes", dropped, "passed_on", len(changes)-dropped)
	}
}

func changeOf(message mesh.Change) mirror.Change {
	return mirror.Change{
		Entry: infra.Entry{
			Key:            message.Key,
			Value:          message.Value,
			CreateRevision: message.CreateRevision,
			ModRevision:    message.ModRevision,
			Lease:          infra.LeaseID(message.Lease),
		},
		Deleted: message.Deleted,
	}
}
