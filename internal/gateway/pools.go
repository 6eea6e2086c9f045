package gateway

import (
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/hop"
	"github.com/barleylift/barleylift/internal/topology"
)

// controlConnections is the number of connections for orders and reports to
// one engine, besides those for requests.
const controlConnections = 2

// upstreamPools holds the connections to one process of an upstream.
type upstreamPools struct {
	upstream topology.Upstream
	requests *hop.Pool
	control  *hop.Pool
}

func (u *upstreamPools) close() {
	u.requests.Close()
	u.control.Close()
}

// pools holds the connections to all upstreams. It is safe for concurrent use.
type pools struct {
	// mu guards the fields below; it is not held during I/O.
	mu   sync.Mutex
	byID map[string]*upstreamPools
	// share returns this daemon's share of a service's connections.
	share    func(service string) int
	dialer   hop.Dialer
	activity *hop.Activity
}

func newPools(dialer hop.Dialer, share func(service string) int) *pools {
	return &pools{byID: make(map[string]*upstreamPools), dialer: dialer, activity: hop.NewActivity(), share: share}
}

func (p *pools) of(upstream topology.Upstream) *upstreamPools {
	share := p.share(upstream.Service)
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.byID[upstream.ID]
	if u != nil && (u.upstream.Address != upstream.Address || u.upstream.Incarnation != upstream.Incarnation) {
		u.close()
		u = nil
	}
	if u == nil {
		u = &upstreamPools{
			upstream: upstream,
			requests: hop.NewPool(upstream.Address, p.dialer, p.activity, share),
			control:  hop.NewPool(upstream.Address, p.dialer, p.activity, controlConnections),
		}
		p.byID[upstream.ID] = u
	}
	u.requests.SetLimit(share)
	return u
}

// RequestPool implements relay.Pools.
func (p *pools) RequestPool(upstream topology.Upstream) *hop.Pool {
	return p.of(upstream).requests
}

// Control implements ControlPools.
func (p *pools) Control(upstream topology.Upstream) *hop.Pool {
	return p.of(upstream).control
}

// remove closes the connections to a removed upstream.
func (p *pools) remove(id string) {
	p.mu.Lock()
	u := p.byID[id]
	delete(p.byID, id)
	p.mu.Unlock()
	if u != nil {
		u.close()
	}
}

// sweep closes connections that were idle for too long.
func (p *pools) sweep(now time.Time) {
	p.mu.Lock()
	all := make([]*upstreamPools, 0, len(p.byID))
	for _, u := range p.byID {
		all = append(all, u)
	}
	p.mu.Unlock()
	for _, u := range all {
		u.requests.CloseExpired(now)
		u.control.CloseExpired(now)
	}
}
