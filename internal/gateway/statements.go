package gateway

import (
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/mesh"
	"github.com/barleylift/barleylift/internal/placement"
	"github.com/barleylift/barleylift/internal/ratelimit"
	"github.com/barleylift/barleylift/internal/topology"
)

// Constants of processes that say in an answer that they leave.
const (
	// statementTTL bounds how long such a process is avoided although it is still
	// registered as ready: longer than any shutdown, so that one wrong answer
	// doesn't take an engine away for good.
	statementTTL = 10 * time.Minute
	// statementSpreadPeriod is how long heartbeats name such a process. Each other
	// daemon gets several heartbeats in that time.
	statementSpreadPeriod = 15 * time.Second
	// maxSpreadStatements bounds the processes that one heartbeat names, so that it
	// fits into a datagram.
	maxSpreadStatements = 16
)

// leavingStatement records that a process has said in an answer that it leaves.
type leavingStatement struct {
	learnedAt time.Duration
	// registeredLeaving is what the process's registration says. Other daemons'
	// copies of the key-value service are compared by it.
	registeredLeaving bool
}

// observeStatement records what the answer of an upstream says about later
// requests. Requests that run there go on; those that wait for admission there
// are declined by the engine's owner or, once this daemon turns to the engine,
// go elsewhere.
func (g *Gateway) observeStatement(upstream topology.Upstream, statement topology.Statement, sentAt time.Duration, answer string) {
	if statement.Invalid != "" {
		g.options.Meters.Statement("invalid")
		g.log.Warn("invalid statement of an upstream ignored", "upstream", upstream.ID, "answer", answer, "value", statement.Invalid)
	}
	if statement.Leaving {
		g.markLeaving(processKey{upstream.ID, upstream.Incarnation}, answer)
	}
	if statement.Pause > 0 {
		g.startPause(upstream, statement.Pause, answer)
	}
	if statement.HasRateLimit || statement.Invalid == "" {
		g.recordRateLimit(upstream, statement, sentAt, answer)
		g.recordFragility(upstream, statement, sentAt, answer)
	}
}

// recordRateLimit records an answer with or without a rate limit.
func (g *Gateway) recordRateLimit(upstream topology.Upstream, statement topology.Statement, sentAt time.Duration, answer string) {
	said := ratelimit.Knowledge{Rate: statement.RateLimit, Limited: statement.HasRateLimit, SentAt: sentAt, ReceivedAt: clock.Boot()}
	if !g.locator.RecordRateLimit(upstream.ID, upstream.Incarnation, said) {
		return
	}
	if !said.Limited {
		g.options.Meters.Statement("rate limit ended")
		g.log.Info("upstream names no rate limit any more", "upstream", upstream.ID, "answer", answer)
		return
	}
	g.options.Meters.Statement("rate limit")
	g.log.Info("upstream names a rate limit", "upstream", upstream.ID, "answer", answer, "requests_per_second", said.Rate)
}

// recordFragility records whether an upstream falls over when it refuses too many requests.
// If it is, a refusal keeps all daemons from it for a moment.
func (g *Gateway) recordFragility(upstream topology.Upstream, statement topology.Statement, sentAt time.Duration, answer string) {
	if g.locator.RecordFragility(upstream.Service, statement, sentAt) {
		g.options.Meters.Statement("fragile")
		g.log.Info("fragility of the upstreams of a service has changed", "service", upstream.Service, "upstream", upstream.ID, "answer", answer, "fragile", statement.HasMaxRefusals, "bears_refusals", statement.MaxRefusals)
	}
	if !statement.NoRoom {
		return
	}
	pause, maxRefusals := g.locator.FragilityPause(upstream)
	if pause == 0 {
		return
	}
	g.log.Info("fragile upstream has refused a request, all VMs keep from it", "upstream", upstream.ID, "answer", answer, "pause_ms", pause.Milliseconds())
	g.locator.RecordPause(upstream.ID, upstream.Incarnation, pause)
	message := &mesh.UpstreamPause{Upstream: upstream.ID, Incarnation: upstream.Incarnation, Length: pause.Milliseconds(), Service: upstream.Service, MaxRefusals: maxRefusals}
	for _, address := range g.otherAddresses() {
		g.mesh.Send(address, mesh.Packet{UpstreamPause: message})
	}
}

// receivePause applies another daemon's report that a fragile upstream has refused a request.
func (g *Gateway) receivePause(pause *mesh.UpstreamPause) {
	g.locator.RecordFragility(pause.Service, topology.Statement{HasMaxRefusals: true, MaxRefusals: pause.MaxRefusals}, 0)
	g.locator.RecordPause(pause.Upstream, pause.Incarnation, time.Duration(pause.Length)*time.Millisecond)
}

// rankAt returns this daemon's place among all members in the rendezvous order of an
// upstream, and their number.
func (g *Gateway) rankAt(upstream string) (rank, members int) {
	self := g.settings.Load().VM
	candidates := []placement.Candidate{{Engine: self}}
	for _, m := range g.members() {
		if m.Name != self && !m.ReleasesEngines() {
			candidates = append(candidates, placement.Candidate{Engine: m.Name})
		}
	}
	for i, c := range placement.Rank(candidates, upstream, len(candidates)) {
		if c.Engine == self {
			rank = i
		}
	}
	return rank, len(candidates)
}

// startPause sends nothing to an upstream for a time: no request, and no order or
// request for a report either, as the upstream wants nothing from this VM. The
// other VMs go on, until it tells them the same.
func (g *Gateway) startPause(upstream topology.Upstream, length time.Duration, answer string) {
	until := g.locator.RecordPause(upstream.ID, upstream.Incarnation, length)
	if until == 0 {
		return
	}
	g.options.Meters.Statement("pause")
	g.orders.Pause(upstream.ID, until)
	g.log.Info("upstream asks for a pause", "upstream", upstream.ID, "answer", answer, "asked_ms", length.Milliseconds(), "ends_in_ms", (until - clock.Boot()).Milliseconds())
}

// logEndedPauses logs the upstreams that get all requests again after a pause.
func (g *Gateway) logEndedPauses() {
	for _, id := range g.locator.ForgetEndedPauses() {
		g.log.Info("upstream gets all requests again after its pause", "upstream", id)
	}
}

// markLeaving gives a process no new requests from now on, whatever its
// registration says. source names where that was learned.
func (g *Gateway) markLeaving(process processKey, source string) {
	g.mu.Lock()
	if g.statedLeaving[process] != nil {
		g.mu.Unlock()
		return
	}
	current, ok := g.upstreams[process.id]
	if ok && current.Incarnation > process.incarnation {
		g.mu.Unlock()
		return // a later process has the identifier
	}
	isCurrent := ok && current.Incarnation == process.incarnation
	g.statedLeaving[process] = &leavingStatement{learnedAt: clock.Boot(), registeredLeaving: isCurrent && current.Leaving}
	if isCurrent {
		current.Leaving = true
		g.upstreams[process.id] = current
	}
	g.mu.Unlock()
	g.options.Meters.Statement("leaving")
	g.log.Info("upstream says that it is leaving", "upstream", process.id, "born", process.incarnation, "source", source)
	if isCurrent {
		g.locator.SetUpstream(current)
		g.signalReassign()
	}
}

// applyStatement marks a registered process as leaving if it has said so in an
// answer, and forgets what earlier processes of the upstream have said. The caller
// holds mu.
func (g *Gateway) applyStatement(upstream topology.Upstream) topology.Upstream {
	for process := range g.statedLeaving {
		if process.id == upstream.ID && process.incarnation < upstream.Incarnation {
			delete(g.statedLeaving, process)
		}
	}
	if statement := g.statedLeaving[processKey{upstream.ID, upstream.Incarnation}]; statement != nil {
		statement.registeredLeaving = upstream.Leaving
		upstream.Leaving = true
	}
	return upstream
}

// registeredLeaving reports whether an upstream is leaving according to its
// registration alone. The caller holds mu.
func (g *Gateway) registeredLeaving(upstream topology.Upstream) bool {
	if statement := g.statedLeaving[processKey{upstream.ID, upstream.Incarnation}]; statement != nil {
		return statement.registeredLeaving
	}
	return upstream.Leaving
}

// expireStatements forgets statements older than statementTTL. A process that is
// still registered as ready gets requests again.
func (g *Gateway) expireStatements() {
	now := clock.Boot()
	var returned []topology.Upstream
	g.mu.Lock()
	for process, statement := range g.statedLeaving {
		if now-statement.learnedAt < statementTTL {
			continue
		}
		delete(g.statedLeaving, process)
		current, ok := g.upstreams[process.id]
		if ok && current.Incarnation == process.incarnation && !statement.registeredLeaving {
			current.Leaving = false
			g.upstreams[process.id] = current
			returned = append(returned, current)
		}
	}
	g.mu.Unlock()
	for _, upstream := range returned {
		g.log.Warn("upstream said that it was leaving but stays registered as ready, using it again", "upstream", upstream.ID)
		g.locator.SetUpstream(upstream)
		g.signalReassign()
	}
}

// leavingByStatement lists the upstreams that have said that they leave, for the
// status page.
func (g *Gateway) leavingByStatement() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	ids := []string{}
	for process := range g.statedLeaving {
		ids = append(ids, process.id)
	}
	slices.Sort(ids)
	return ids
}

// recentStatements returns the processes that heartbeats name as leaving.
func (g *Gateway) recentStatements() []mesh.Process {
	now := clock.Boot()
	g.mu.Lock()
	defer g.mu.Unlock()
	var processes []mesh.Process
	for process, statement := range g.statedLeaving {
		if now-statement.learnedAt < statementSpreadPeriod && len(processes) < maxSpreadStatements {
			processes = append(processes, mesh.Process{ID: process.id, Incarnation: process.incarnation})
		}
	}
	return processes
}
