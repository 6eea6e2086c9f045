package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/mesh"
	"github.com/barleylift/barleylift/internal/placement"
	"github.com/barleylift/barleylift/internal/ratelimit"
)

// An upstream's rate limit holds for all daemons together. The owner of an engine
// admits the requests to it; the turns at an upstream without owners, a plain
// service's replica, are granted by the first member in its rendezvous order.

// maxTransit is how long a datagram usually takes at most. What another daemon
// knows counts as that much older.
const maxTransit = 250 * time.Millisecond

// turns decides on the turns that this daemon grants. It is safe for concurrent
// use.
type turns struct {
	mu      sync.Mutex // guards granter; held for decisions only
	granter *ratelimit.Granter
}

func newTurns() *turns {
	return &turns{granter: ratelimit.NewGranter()}
}

func (t *turns) grant(now time.Duration, request ratelimit.Request) ratelimit.Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.granter.Grant(now, request)
}

// firstMember returns the first member in the rendezvous order of a key, and its mesh
// address. It returns false if there is none.
func (g *Gateway) firstMember(key string) (name, address string, ok bool) {
	first, addresses := g.firstMembers(key, 1)
	if len(first) == 0 {
		return "", "", false
	}
	return first[0].Engine, addresses[first[0].Engine], true
}

// firstMembers returns the first n members in the rendezvous order of a key, and the mesh
// addresses of all by their names.
func (g *Gateway) firstMembers(key string, n int) (first []placement.Candidate, addresses map[string]string) {
	members := g.members()
	candidates := make([]placement.Candidate, 0, len(members))
	addresses = make(map[string]string, len(members))
	for _, m := range members {
		if !m.Draining {
			candidates = append(candidates, placement.Candidate{Engine: m.Name})
			addresses[m.Name] = m.Mesh
		}
	}
	return placement.Rank(candidates, key, n), addresses
}

// isAmongFirst reports whether this daemon is among the first n members in the rendezvous
// order of a key.
func (g *Gateway) isAmongFirst(key string, n int) bool {
	first, _ := g.firstMembers(key, n)
	self := g.settings.Load().VM
	return slices.ContainsFunc(first, func(c placement.Candidate) bool { return c.Engine == self })
}

// sendTurnRequest sends a request for a turn to the member that grants it.
func (g *Gateway) sendTurnRequest(request ratelimit.Request) bool {
	granter, address, ok := g.firstMember(request.Process.ID)
	if !ok {
		return false
	}
	if granter == g.keeper.Self().Name {
		g.handleTurnRequest(request)
		return true
	}
	g.mesh.Send(address, mesh.Packet{TurnRequest: &mesh.TurnRequest{
		Upstream: request.Process.ID, Ticket: request.Ticket, MaxWait: request.MaxWait.Milliseconds(),
		RateLimit: rateLimitMessageOf(request.Process.Incarnation, request.Known),
	}})
	return true
}

// handleTurnRequest decides on a request for a turn, if this daemon grants it, and
// answers it. A request of a daemon that knows other members is not answered: two
// daemons that grant turns would each grant the whole rate.
func (g *Gateway) handleTurnRequest(request ratelimit.Request) {
	self := g.keeper.Self().Name
	if granter, _, ok := g.firstMember(request.Process.ID); !ok || granter != self {
		return
	}
	grant := g.turns.grant(clock.Boot(), request)
	if request.Entry == self {
		g.locator.HandleGrant(request.Process.ID, request.Ticket, grant)
		return
	}
	if m, ok := g.keeper.Member(request.Entry); ok {
		g.mesh.Send(m.Mesh, mesh.Packet{TurnGrant: &mesh.TurnGrant{
			Upstream: request.Process.ID, Ticket: request.Ticket, Granted: grant.Granted, Wait: grant.Wait.Milliseconds(),
		}})
	}
}

func turnRequestOf(entry string, message *mesh.TurnRequest) ratelimit.Request {
	request := ratelimit.Request{
		Process: ratelimit.Process{ID: message.Upstream}, Entry: entry, Ticket: message.Ticket, MaxWait: time.Duration(message.MaxWait) * time.Millisecond,
	}
	if message.RateLimit != nil {
		request.Process.Incarnation = message.RateLimit.Incarnation
		request.Known = rateLimitOf(message.RateLimit)
	}
	return request
}

func grantOf(message *mesh.TurnGrant) ratelimit.Grant {
	return ratelimit.Grant{Granted: message.Granted, Wait: time.Duration(message.Wait) * time.Millisecond}
}

// applyRateLimit records what another daemon knows of the rate limit of an engine
// that this daemon owns.
func (g *Gateway) applyRateLimit(engine string, message *mesh.RateLimit) {
	if message != nil {
		g.orders.RecordRateLimit(ratelimit.Process{ID: engine, Incarnation: message.Incarnation}, rateLimitOf(message))
	}
}

// applyOwnRateLimit records what this daemon knows of the rate limit of an engine
// that it owns.
func (g *Gateway) applyOwnRateLimit(engine string) {
	if incarnation, known, ok := g.locator.RateLimitToSpread(engine); ok {
		g.orders.RecordRateLimit(ratelimit.Process{ID: engine, Incarnation: incarnation}, known)
	}
}

// rateLimitMessage returns what this daemon knows of an upstream's rate limit; nil
// for nothing.
func (g *Gateway) rateLimitMessage(upstream string) *mesh.RateLimit {
	incarnation, known, ok := g.locator.RateLimitToSpread(upstream)
	if !ok {
		return nil
	}
	return rateLimitMessageOf(incarnation, known)
}

// rateLimitMessageOf and rateLimitOf convert between instants and ages, because
// daemons do not share a clock. The ages are rounded, and the transit counted, so
// that the time in which the upstream said it becomes longer, not shorter.
func rateLimitMessageOf(incarnation int64, known ratelimit.Knowledge) *mesh.RateLimit {
	now := clock.Boot()
	return &mesh.RateLimit{
		Incarnation: incarnation, Rate: known.Rate, Limited: known.Limited,
		SentAge: (now - known.SentAt).Milliseconds() + 1, ReceivedAge: (now - known.ReceivedAt).Milliseconds(),
	}
}

func rateLimitOf(message *mesh.RateLimit) ratelimit.Knowledge {
	now := clock.Boot()
	return ratelimit.Knowledge{
		Rate: message.Rate, Limited: message.Limited,
		SentAt:     now - maxTransit - time.Duration(message.SentAge)*time.Millisecond,
		ReceivedAt: now - time.Duration(message.ReceivedAge)*time.Millisecond,
	}
}
