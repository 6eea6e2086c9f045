package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/fleet"
	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/mesh"
	"github.com/barleylift/barleylift/internal/mirror"
	"github.com/barleylift/barleylift/internal/placement"
)

// Calls to the key-value service must be few, but engines write there about once
// a second. So each daemon polls its watch with a pause that is just short
// enough to apply configurations and leaving upstreams within MaxStaleness.
// Two daemons, the watchers, poll more often and forward urgent changes to the
// others.
const (
	// watcherCount is the number of watchers; the second one covers for a first
	// one that is slow, disconnected or stopped.
	watcherCount = 2
	// watcherPause is the watchers' pause between two responses of the watch.
	watcherPause = 150 * time.Millisecond
	// watcherHold is how long the service holds a watcher's request while nothing
	// changes. A pending request shows nothing, so it bounds the age of checkpoints.
	watcherHold = 300 * time.Millisecond
	// maxWatchHold is the same for the other daemons.
	maxWatchHold = 2 * time.Second
	// watchPauseShare is the other daemons' pause as a share of MaxStaleness: a
	// change may occur right after a response.
	watchPauseShare = 0.45
	// minCoresShare is the minimum of a watcher's cores as a share of the
	// strongest VM's: VMs of one fleet differ by up to four times.
	minCoresShare = 0.5
	// watcherKey is the key of the daemons' rendezvous ranking.
	watcherKey = "watchers"
	// maxForwardedValue bounds the size of forwarded values, in bytes, so that
	// each fits into one datagram.
	maxForwardedValue = 1100
)

// isWatcher reports whether this daemon is one of the watchers.
func (g *Gateway) isWatcher() bool {
	self := g.keeper.Self()
	if self.Draining {
		return false
	}
	eligible := []fleet.Member{self}
	for _, m := range g.members() {
		p, hasHeartbeat := g.peers.get(m.Name)
		if !m.Draining && m.Name != self.Name && !(hasHeartbeat && p.storeDown) {
			eligible = append(eligible, m)
		}
	}
	return slices.Contains(chooseWatchers(eligible), self.Name)
}

// chooseWatchers chooses the watchers among daemons that can reach the service:
// the first in rendezvous order of those on strong VMs. A watcher reads the
// changes of all engines several times a second and forwards them to all
// daemons; in a large fleet a weak VM falls behind with that and with applying
// its own configuration.
func chooseWatchers(members []fleet.Member) []string {
	return rankWatchers(members, watcherCount)
}

// rankWatchers returns the first k candidates for watchers, best first.
func rankWatchers(members []fleet.Member, k int) []string {
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
	for _, c := range placement.Rank(candidates, watcherKey, k) {
		names = append(names, c.Engine)
	}
	return names
}

func (g *Gateway) setWatchPause() {
	pause, hold := time.Duration(watchPauseShare*float64(g.settings.Load().MaxStaleness)), maxWatchHold
	proofAge := time.Duration(0)
	if g.keysNeedProof() {
		hold = g.ownProofHold()
	}
	switch {
	case g.isWatcher():
		pause, hold, proofAge = watcherPause, watcherHold, g.watcherProofAge()
	case g.proofNeedsRead():
		if g.proof.NewerKnown() {
			pause = watcherPause // API keys are not accepted until the version is read
			break
		}
		pause, proofAge = min(pause, hold), hold/2
	case g.copyIsProven():
		pause = provenWatchPause
	case !g.hearsCheckpoints():
		proofAge = pause
	}
	switch {
	case g.storeDisconnected():
		proofAge = 0 // the watch finds the service back
	case proofAge == 0 && g.quotas.needsOwnProof():
		proofAge = quotaProofAge
	}
	g.platform.SetWatchTiming(pause, hold)
	g.mirror.SetProofAge(proofAge)
}

// watcherProofAge returns the age of the proof that its copy is complete from which on a watcher
// renews it: the checkpoints need one each, API keys a newer one, and daemons that can't reach the
// service rely on it for each of their orders.
func (g *Gateway) watcherProofAge() time.Duration {
	switch {
	case g.peers.anyReportsOutage(clock.Boot()):
		return watcherPause
	case g.keysNeedProof():
		return watcherHold
	default:
		return g.checkpointInterval()
	}
}

// urgency is how soon other daemons should receive a change.
type urgency int

const (
	// routine changes are left to each daemon's own watch: the engines' periodic
	// updates of what they hold.
	routine urgency = iota
	// useful changes improve decisions if they arrive early: new upstreams and
	// the owners of engines.
	useful
	// urgent changes invalidate state: an upstream leaves or is removed, a
	// version is replaced.
	urgent
)

// urgencyOf returns the urgency of a change that has not been applied yet, given
// the update and the error that resulted from decoding it.
func (g *Gateway) urgencyOf(change mirror.Change, update Update, decodeErr error) urgency {
	if len(change.Entry.Value) > maxForwardedValue || strings.HasPrefix(change.Entry.Key, originPrefix) {
		return routine
	}
	if change.Deleted {
		return urgent
	}
	switch {
	case decodeErr != nil || update.Config != nil || update.ConfigUnchanged || update.ConfigSuperseded:
		// A configuration is never forwarded: it holds API keys.
		return routine
	case update.Version != nil:
		return urgent
	case update.Upstream == nil:
		return useful
	}
	g.mu.Lock()
	current, ok := g.upstreams[update.Upstream.ID]
	registeredLeaving := ok && g.registeredLeaving(current)
	g.mu.Unlock()
	switch {
	case ok && update.Upstream.Leaving != registeredLeaving:
		return urgent
	case !ok || !update.Upstream.SameProcess(current):
		return useful
	default:
		return routine
	}
}

// forwardChanges sends changes to all other daemons if this one is a watcher.
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
		g.log.Info("byte limit reached, changes not forwarded and left to the other daemons' own watches", "changes", dropped, "passed_on", len(changes)-dropped)
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
