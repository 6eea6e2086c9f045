package gateway

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/quarantine"
	"github.com/barleylift/barleylift/internal/topology"
)

const (
	// probeTimeout bounds the attempt to connect to an engine that may have ended: far
	// above a round trip between zones.
	probeTimeout = 300 * time.Millisecond
	// endingTime is how long a process that ends may still listen after it has reset its
	// connections.
	endingTime = 50 * time.Millisecond
	// probeTTL is how long the result of such an attempt is used at most.
	probeTTL = time.Second
	// maxWitnesses is the number of other engines of which one must be reachable for an
	// engine to count as ended: a VM that is cut off from all engines knows nothing.
	maxWitnesses = 5
)

// probe is an attempt to find out whether an engine's process has ended.
type probe struct {
	startedAt time.Duration
	done      chan struct{}
	ended     bool
}

// hasEnded reports whether the process of an engine that broke a request off at a time has
// ended, as far as a new connection shows that was tried from probedAt on.
func (g *Gateway) hasEnded(ctx context.Context, upstream topology.Upstream, brokenAt time.Duration) (ended bool, probedAt time.Duration) {
	for {
		p := g.findProbe(upstream, brokenAt)
		select {
		case <-p.done:
		case <-ctx.Done():
			return false, p.startedAt
		}
		// That the engine was there before the break shows nothing.
		if p.ended || p.startedAt >= brokenAt {
			return p.ended, p.startedAt
		}
	}
}

// findProbe returns an attempt that began after a break, or may have found the engine ended
// before, and begins one if there is none. Requests that failed together share it.
func (g *Gateway) findProbe(upstream topology.Upstream, brokenAt time.Duration) *probe {
	process := quarantine.Process{ID: upstream.ID, Incarnation: upstream.Incarnation}
	now := clock.Boot()
	q := g.quarantined
	q.mu.Lock()
	defer q.mu.Unlock()
	for other, p := range q.probes {
		if now-p.startedAt > probeTTL {
			delete(q.probes, other)
		}
	}
	if p := q.probes[process]; p != nil && (p.startedAt >= brokenAt || !p.foundAlive()) {
		return p
	}
	p := &probe{startedAt: now, done: make(chan struct{})}
	q.probes[process] = p
	go func() {
		p.ended = g.refusesConnections(upstream) && g.reachesOthers(upstream)
		close(p.done)
	}()
	return p
}

// foundAlive reports whether the attempt is over and has found the engine there.
func (p *probe) foundAlive() bool {
	select {
	case <-p.done:
		return !p.ended
	default:
		return false
	}
}

// refusesConnections reports whether no process listens at the address of an upstream. A
// process that ends may reset connections just before it stops listening.
func (g *Gateway) refusesConnections(upstream topology.Upstream) bool {
	err := g.tryConnect(context.Background(), upstream)
	if err == nil {
		time.Sleep(endingTime)
		err = g.tryConnect(context.Background(), upstream)
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// reachesOthers reports whether this VM can connect to another upstream, if there is
// one.
func (g *Gateway) reachesOthers(except topology.Upstream) bool {
	witnesses := g.witnesses(except)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	results := make(chan error, len(witnesses))
	for _, upstream := range witnesses {
		go func() { results <- g.tryConnect(ctx, upstream) }()
	}
	for range witnesses {
		if <-results == nil {
			return true
		}
	}
	return len(witnesses) == 0
}

// witnesses returns some registered upstreams other than one.
func (g *Gateway) witnesses(except topology.Upstream) []topology.Upstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	var witnesses []topology.Upstream
	for _, upstream := range g.upstreams {
		if upstream.ID != except.ID && len(witnesses) < maxWitnesses {
			witnesses = append(witnesses, upstream)
		}
	}
	return witnesses
}

// tryConnect connects to an upstream and closes the connection.
func (g *Gateway) tryConnect(ctx context.Context, upstream topology.Upstream) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := g.options.Dial(ctx, upstream.Address)
	if err != nil {
		return err
	}
	return conn.Close()
}
