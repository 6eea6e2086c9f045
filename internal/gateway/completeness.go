package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/mesh"
	"github.com/barleylift/barleylift/internal/topology"
	"github.com/cespare/xxhash/v2"
)

// A daemon whose copy of the key-value service is known to be complete need not
// poll its watch. The watchers send a checkpoint to all daemons: a digest of
// everything but the engines' periodic updates, and how long ago it was read.
// While a daemon's own digest is the same, it polls only every provenWatchPause,
// for those updates. If a forwarded change is lost, the watchers fail, or all of
// them are cut off, the proof runs out and the daemon polls as before.
const (
	// checkpointShare is the time between two checkpoints as a share of
	// MaxStaleness.
	checkpointShare = 0.2
	// proofShare is how long a checkpoint proves a copy complete, as a share of
	// MaxStaleness: a checkpoint may be lost, and the rest is for the poll.
	proofShare = 0.5
	// provenWatchPause is the pause between two polls of a daemon whose copy is
	// complete. The engines' updates only show what an engine holds that this
	// daemon has not used for some seconds.
	provenWatchPause = 6 * time.Second
)

// completeness decides whether a daemon's copy is known to be complete. It is
// safe for concurrent use.
type completeness struct {
	mu          sync.Mutex // guards the fields below
	provenUntil time.Duration
	// readAt is the latest time at which a watcher had read a state like this daemon's.
	readAt time.Duration
}

// observe records a checkpoint that has arrived at now, given the digest of this
// daemon's copy, and reports whether it proves the copy complete. The checkpoint
// describes the service as it was when the watcher last asked, so a watcher that
// has lost the service proves nothing after a moment.
func (c *completeness) observe(now time.Duration, checkpoint mesh.Checkpoint, digest uint64, maxStaleness time.Duration) bool {
	if checkpoint.Digest != digest {
		return false
	}
	readAt := now - time.Duration(checkpoint.Age)*time.Millisecond
	until := readAt + time.Duration(proofShare*float64(maxStaleness))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.provenUntil, c.readAt = max(c.provenUntil, until), max(c.readAt, readAt)
	return now < until
}

// revoke ends the proof, because a newer state is known to exist.
func (c *completeness) revoke() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.provenUntil = 0
}

// asOf returns the time as of which the copy was proven complete; 0 if it never was.
func (c *completeness) asOf() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readAt
}

func (c *completeness) isProven(now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now < c.provenUntil
}

// checkpointInterval returns the time between two checkpoints of a watcher.
func (g *Gateway) checkpointInterval() time.Duration {
	return time.Duration(checkpointShare * float64(g.settings.Load().MaxStaleness))
}

// sendCheckpoints sends a checkpoint to all other daemons if this one is a
// watcher and the last ones were sent long enough ago.
func (g *Gateway) sendCheckpoints(now time.Duration) {
	asOf := g.mirror.AsOf()
	if now-g.lastCheckpointAt < g.checkpointInterval() || asOf == 0 || !g.isWatcher() {
		return
	}
	g.lastCheckpointAt = now
	checkpoint := &mesh.Checkpoint{Revision: g.mirror.Revision(), Digest: g.digest(), ConfigVersion: g.configVersion(), Age: (now - asOf).Milliseconds()}
	for _, address := range g.otherAddresses() {
		g.mesh.Send(address, mesh.Packet{Checkpoint: checkpoint})
	}
}

// receiveCheckpoint compares a watcher's state with this daemon's.
func (g *Gateway) receiveCheckpoint(checkpoint mesh.Checkpoint) {
	result := "different"
	g.checkpointAt.Store(int64(clock.Boot()))
	g.proof.RecordVersion(checkpoint.ConfigVersion)
	switch {
	case checkpoint.ConfigVersion > g.configVersion():
		result = "newer configuration"
		g.completeness.revoke()
		g.setWatchPause()
	case g.completeness.observe(clock.Boot(), checkpoint, g.digest(), g.settings.Load().MaxStaleness):
		result = "same"
		g.keeper.Apply(nil, checkpoint.Revision)
		g.removeExpired()
	}
	if result != "same" {
		g.mirror.Report(checkpoint.Revision)
	}
	g.options.Meters.Checkpoint(result)
}

// copyIsProven reports whether this daemon's copy is known to be complete, and
// logs when that changes.
func (g *Gateway) copyIsProven() bool {
	proven := g.completeness.isProven(clock.Boot()) && !g.storeDisconnected()
	if g.copyWasProven.Swap(proven) != proven {
		g.log.Info("proof that the copy of the key-value service is complete has changed", "proven", proven, "revision", g.mirror.Revision())
	}
	return proven
}

// hearsCheckpoints reports whether a checkpoint has come lately. It names a revision that the
// key-value service has had, so that this daemon need not ask whether its copy lags behind.
func (g *Gateway) hearsCheckpoints() bool {
	age := clock.Boot() - time.Duration(g.checkpointAt.Load())
	return age < time.Duration(proofShare*float64(g.settings.Load().MaxStaleness))
}

func (g *Gateway) configVersion() int64 {
	if table := g.relay.Table(); table != nil {
		return table.Version()
	}
	return 0
}

// digest returns a digest of this daemon's copy of the key-value service without
// the engines' periodic updates. Daemons with the same state have the same digest,
// in whatever order they have learned it.
func (g *Gateway) digest() uint64 {
	sum := g.keeper.Digest() + g.locator.VersionsDigest() + xxhash.Sum64String("configuration "+strconv.FormatInt(g.configVersion(), 10))
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, u := range g.upstreams {
		if _, isUnregistered := g.removals[id]; !isUnregistered {
			u.Leaving = g.registeredLeaving(u)
			sum += upstreamDigest(u)
		}
	}
	return sum
}

func upstreamDigest(u topology.Upstream) uint64 {
	return xxhash.Sum64String(u.ID + " " + strconv.FormatInt(u.Incarnation, 10) + " " + u.Address.String() + " " + u.Service + " " + strconv.FormatBool(u.Leaving))
}
