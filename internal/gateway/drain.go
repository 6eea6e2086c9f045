package gateway

import (
	"context"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
)

// Time constants of a daemon's shutdown.
const (
	// acceptPeriod is how long requests are still accepted after the request to
	// stop: callers keep an answer of the directory for answerTTL, some longer.
	acceptPeriod = 3 * time.Second
	// lingerPeriod is how long the daemon keeps running after the request to
	// stop, to refuse late requests immediately.
	lingerPeriod = 5 * time.Second
	// graceMargin is the time left at the end of the grace period, before the
	// process is killed. In its first part, answerPeriod, the requests that are still in
	// flight get an answer.
	graceMargin  = 400 * time.Millisecond
	answerPeriod = 200 * time.Millisecond
	// drainPollInterval is the time between two checks of the requests in flight.
	drainPollInterval = 50 * time.Millisecond
	// leaveTimeout bounds the call that ends the lease.
	leaveTimeout = time.Second
)

// drain shuts the daemon down gracefully: it announces the shutdown at once,
// accepts requests while callers may still send some, and returns when all are
// answered or the grace period is over. Those that are still in flight then are
// answered by the daemon itself.
func (g *Gateway) drain(servers *servers) {
	started := time.Now()
	grace := g.settings.Load().Grace
	end := started.Add(grace - graceMargin)
	g.draining.Store(true)
	g.relay.Drain(grace - graceMargin)
	g.log.Info("daemon draining", "in_flight", g.relay.InFlight(), "grace_ms", grace.Milliseconds())
	go g.releaseEngines(end)
	g.sendHeartbeatsToAll()
	clock.Sleep(context.Background(), min(acceptPeriod, grace/2))
	g.relay.RefuseNew()
	servers.list[0].http.SetKeepAlivesEnabled(false)
	linger := started.Add(min(lingerPeriod, grace*2/3))
	for time.Now().Before(end) && (g.relay.InFlight() > 0 || time.Now().Before(linger)) {
		time.Sleep(drainPollInterval)
	}
	g.log.Info("daemon drained", "in_flight", g.relay.InFlight(), "took_ms", time.Since(started).Milliseconds())
	g.relay.End()
	ctx, cancel := context.WithDeadline(context.Background(), end.Add(answerPeriod))
	defer cancel()
	servers.shutdown(ctx)
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	if err := g.keeper.Leave(leaveCtx); err != nil {
		g.log.Warn("lease not revoked, it will expire", "error", err)
	}
}

// releaseEngines stops this daemon's orders and then announces its shutdown in
// the key-value service, so that other daemons claim its engines.
func (g *Gateway) releaseEngines(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := g.keeper.Drain(ctx); err != nil {
		g.log.Warn("shutdown not announced in the key-value service", "error", err)
	}
}
