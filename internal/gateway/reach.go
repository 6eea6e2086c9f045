package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/fleet"
	"github.com/barleylift/barleylift/internal/hop"
	"github.com/barleylift/barleylift/internal/reachability"
	"github.com/barleylift/barleylift/internal/topology"
)

// A VM that reaches no upstream passes its requests on to VMs that do, tells all others by
// heartbeats, and releases its engines by its member key.

const (
	// reachCheckInterval is the time between two looks at whether upstreams are silent.
	reachCheckInterval = 100 * time.Millisecond
	// roundSize is the number of upstreams to which connections are tried at once.
	roundSize = 4
	// releaseDelay is how long a VM is cut off, and another one is not, before it releases
	// its engines: if all upstreams have ended, the other VMs find that out meanwhile.
	releaseDelay = time.Second
	// announceTimeout bounds the write of the member key.
	announceTimeout = time.Second
)

// reach is what this daemon knows of its links to upstreams, and its connections to other
// VMs. It is safe for concurrent use.
type reach struct {
	mu      sync.Mutex // guards the fields below; not held during I/O
	monitor *reachability.Monitor
	// cutOffAt is when the VM was cut off, by clock.Boot.
	cutOffAt time.Duration
	pools    map[string]*vmPool
}

// vmPool holds the connections to another VM.
type vmPool struct {
	address netip.AddrPort
	pool    *hop.Pool
}

func newReach() *reach {
	return &reach{monitor: reachability.NewMonitor(), pools: make(map[string]*vmPool)}
}

// sweep closes connections to other VMs that were idle for too long.
func (r *reach) sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pools {
		p.pool.CloseExpired(now)
	}
}

// CutOff implements relay.Peers.
func (g *Gateway) CutOff() bool {
	g.reach.mu.Lock()
	defer g.reach.mu.Unlock()
	return g.reach.monitor.CutOff()
}

// dialUpstream opens a connection to an upstream and records whether that succeeded.
func (g *Gateway) dialUpstream(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	conn, err := g.options.Dial(ctx, address)
	if err == nil || ctx.Err() == nil {
		g.reach.mu.Lock()
		g.reach.monitor.RecordDial(address.String(), err == nil)
		g.reach.mu.Unlock()
	}
	return conn, err
}

// runReachability tries connections to upstreams when they seem to be out of reach.
func (g *Gateway) runReachability(ctx context.Context) {
	for clock.Sleep(ctx, reachCheckInterval) {
		now := clock.Boot()
		receivedAt := now - g.pools.activity.SinceReceived()
		g.reach.mu.Lock()
		due := g.reach.monitor.RoundDue(now, receivedAt, g.relay.Sending() > 0)
		g.reach.mu.Unlock()
		if due {
			g.tryUpstreams()
		}
		g.announceReach(ctx)
	}
}

// tryUpstreams tries connections to some upstreams at once.
func (g *Gateway) tryUpstreams() {
	upstreams := g.someUpstreams(roundSize)
	results := make(chan error, len(upstreams))
	for _, upstream := range upstreams {
		go func() { results <- g.tryConnect(context.Background(), upstream) }()
	}
	connected := 0
	for range upstreams {
		if <-results == nil {
			connected++
		}
	}
	now := clock.Boot()
	g.reach.mu.Lock()
	changed := g.reach.monitor.RecordRound(now, len(upstreams), connected)
	cutOff := g.reach.monitor.CutOff()
	if changed {
		g.reach.cutOffAt = now
	}
	g.reach.mu.Unlock()
	if !changed {
		return
	}
	g.options.Meters.CutOff(cutOff)
	if cutOff {
		g.log.Warn("no upstream can be connected to, requests are passed on to VMs that reach them", "tried", len(upstreams))
	} else {
		g.log.Info("upstreams can be connected to again", "tried", len(upstreams), "connected", connected)
	}
	g.sendHeartbeatsToAll()
}

// someUpstreams returns up to n random upstreams.
func (g *Gateway) someUpstreams(n int) []topology.Upstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]topology.Upstream, 0, len(g.upstreams))
	for _, upstream := range g.upstreams {
		all = append(all, upstream)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), n)]
}

// announceReach writes to the key-value service whether this VM's engines may be claimed.
func (g *Gateway) announceReach(ctx context.Context) {
	announced := g.keeper.Self().CutOff
	g.reach.mu.Lock()
	cutOff := g.reach.monitor.CutOff()
	cutOffFor := clock.Boot() - g.reach.cutOffAt
	g.reach.mu.Unlock()
	if cutOff == announced || cutOff && (cutOffFor < releaseDelay || len(g.reachingMembers()) == 0) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := g.keeper.SetCutOff(ctx, cutOff); err != nil {
		g.log.Warn("reach of upstreams not announced, the next renewal of the lease does it", "cut_off", cutOff, "error", err)
		return
	}
	g.log.Info("reach of upstreams announced", "cut_off", cutOff)
}

// isCutOff reports whether a daemon's last heartbeat says that it reaches no upstream.
func (g *Gateway) isCutOff(member string) bool {
	if member == g.settings.Load().VM {
		return g.CutOff()
	}
	p, ok := g.peers.get(member)
	return ok && p.cutOff
}

// reachingMembers returns the other members that are alive and, as far as is known, reach
// upstreams.
func (g *Gateway) reachingMembers() []fleet.Member {
	now := clock.Boot()
	self := g.settings.Load().VM
	members := g.members()
	var reaching []fleet.Member
	for _, m := range members {
		p, ok := g.peers.get(m.Name)
		if ok && m.Name != self && !m.Draining && !p.draining && !p.cutOff && p.isAlive(now, len(members), true) {
			reaching = append(reaching, m)
		}
	}
	return reaching
}

// cutOffEntries returns the members that callers should not use as they reach no upstream;
// none if that applies to half of the members.
func (g *Gateway) cutOffEntries(members []fleet.Member) map[string]bool {
	cutOff := make(map[string]bool)
	for _, m := range members {
		if g.isCutOff(m.Name) {
			cutOff[m.Name] = true
		}
	}
	if 2*len(cutOff) >= len(members) {
		return nil
	}
	return cutOff
}

// ChooseVM implements relay.Peers.
func (g *Gateway) ChooseVM(except []string) (vm string, pool *hop.Pool, ok bool) {
	chosen, ok := pickVM(g.withProof(g.reachingMembers()), g.settings.Load().Zone, except)
	if !ok {
		return "", nil, false
	}
	address, err := netip.ParseAddrPort(chosen.Mesh)
	if err != nil {
		g.log.Warn("request not passed on, the member's address is invalid", "vm", chosen.Name, "address", chosen.Mesh, "error", err)
		return "", nil, false
	}
	return chosen.Name, g.reach.poolOf(chosen.Name, address), true
}

func (r *reach) poolOf(vm string, address netip.AddrPort) *hop.Pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[vm]
	if p == nil || p.address != address {
		if p != nil {
			p.pool.Close()
		}
		p = &vmPool{address: address, pool: hop.NewPool(address, hop.Dial, nil, 0)}
		r.pools[vm] = p
	}
	return p.pool
}
