package gateway

import (
	"context"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
)

// Time constants of the end of a daemon.
const (
	// acceptPeriod is how long requests are still taken after the request to
	// stop: callers keep an answer of the directory for answerAge, and some longer.
	acceptPeriod = 3 * time.Second
	// lingerPeriod is how long the daemon stays to refuse late requests at once.
	lingerPeriod = 5 * time.Second
	// graceMargin is kept before the process is killed.
	graceMargin = 400 * time.Millisecond
	// drainPollInterval is the time between two looks at the requests in flight.
	drainPollInterval = 50 * time.Millisecond
	// leaveTimeout bounds the calls that announce the end.
	leaveTimeout = time.Second
)

// drain ends the daemon gracefully: it is announced as ending at once, takes
// requests as long as callers may still come, and ends when all are answered.
func (g *Gateway) drain(servers *servers) {
	started := time.Now()
	grace := g.settings.Load().Grace
	end := started.Add(grace - graceMargin)
	g.draining.Store(true)
	g.relay.Drain()
	g.log.Info("daemon draining", "in_flight", g.relay.InFlight(), "grace_ms", grace.Milliseconds())
	go g.releaseEngines(end)
	g.sendDrainingHeartbeats()
	clock.Sleep(context.Background(), min(acceptPeriod, grace/2))
	g.relay.RefuseNew()
	servers.list[0].http.SetKeepAlivesEnabled(false)
	linger := started.Add(min(lingerPeriod, grace*2/3))
	for time.Now().Before(end) && (g.relay.InFlight() > 0 || time.Now().Before(linger)) {
		time.Sleep(drainPollInterval)
	}
	g.log.Info("daemon drained", "in_flight", g.relay.InFlight(), "took_ms", time.Since(started).Milliseconds())
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	servers.shutdown(ctx)
	leave, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	if err := g.keeper.Leave(leave); err != nil {
		g.log.Warn("lease not ended, it will lapse", "error", err)
	}
}

// releaseEngines gives up the engines of this daemon, after its last order.
func (g *Gateway) releaseEngines(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := g.keeper.Drain(ctx); err != nil {
		g.log.Warn("end not announced in the key-value service", "error", err)
	}
}
