package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/dissemination"
	"github.com/barleylift/barleylift/internal/fragility"
	"github.com/barleylift/barleylift/internal/places"
	"github.com/barleylift/barleylift/internal/relay"
)

// The places of a fragile replica are handed out by the first member in its rendezvous order.

const (
	// silentGranterTime is how long a granter may leave claims unanswered. Then this VM keeps
	// to its own share of the replica's places: the granter may be of an earlier build.
	silentGranterTime = 160 * time.Millisecond
	// abandonedPlaceTime is how long a place stays taken after a request whose answer has not
	// ended: the upstream may go on with it for a moment.
	abandonedPlaceTime = 500 * time.Millisecond
	// idleClaimInterval is the time between two looks at the claims while there are none.
	idleClaimInterval = 250 * time.Millisecond
)

// sharePlaces registers the entries by which VMs know of fragile upstreams and share the places
// of their replicas.
func (g *Gateway) sharePlaces() {
	g.router.Handle(dissemination.KindPlaceClaim, g.receivePlaceClaim)
	g.router.Handle(dissemination.KindPlaceGrant, g.receivePlaceGrant)
	g.router.Handle(dissemination.KindFragility, g.receiveFragility)
}

// AcquirePlace implements relay.Places.
func (g *Gateway) AcquirePlace(ctx context.Context, upstreams []string, maxWait time.Duration) (relay.Place, bool) {
	processes := g.processesOf(upstreams)
	granted := make(chan places.Process, len(processes))
	ticket := g.places.Begin(processes, granted)
	g.claimPlaces(processes)
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	ticker := time.NewTicker(places.ClaimInterval)
	defer ticker.Stop()
	for {
		select {
		case process := <-granted:
			return g.usePlace(processes, process, ticket), true
		case <-ticker.C:
			if process, ok := g.takeOwnShare(processes, ticket); ok {
				return g.usePlace(processes, process, ticket), true
			}
			g.claimPlaces(processes)
			continue
		case <-timeout.C:
		case <-ctx.Done():
		}
		g.places.End(processes, ticket)
		g.claimPlaces(processes)
		return relay.Place{}, false
	}
}

// processesOf returns the current processes of upstreams.
func (g *Gateway) processesOf(upstreams []string) []places.Process {
	g.mu.Lock()
	defer g.mu.Unlock()
	var processes []places.Process
	for _, id := range upstreams {
		if u, ok := g.upstreams[id]; ok {
			processes = append(processes, places.Process{ID: id, Incarnation: u.Incarnation})
		}
	}
	return processes
}

// usePlace gives up the wait for places at the other processes.
func (g *Gateway) usePlace(processes []places.Process, process places.Process, ticket uint64) relay.Place {
	others := slices.DeleteFunc(slices.Clone(processes), func(p places.Process) bool { return p == process })
	g.places.End(others, ticket)
	g.claimPlaces(others)
	release := func() {
		g.places.End([]places.Process{process}, ticket)
		g.claimPlaces([]places.Process{process})
	}
	return relay.Place{Upstream: process.ID, Release: func(ended bool) {
		if ended {
			release()
			return
		}
		time.AfterFunc(abandonedPlaceTime, release)
	}}
}

// takeOwnShare takes a place at a process whose granter doesn't answer, within this VM's share.
func (g *Gateway) takeOwnShare(processes []places.Process, ticket uint64) (places.Process, bool) {
	now := clock.Boot()
	for _, process := range processes {
		if g.places.SilentFor(now, process) < silentGranterTime {
			continue
		}
		rank, members := g.rankAt(process.ID)
		share := fragility.Share(g.slotsOf(process), members, rank)
		if g.places.Take(process, ticket, share) {
			g.log.Info("granter of a fragile replica's places is silent, using this VM's share", "upstream", process.ID, "share", share, "vms", members)
			return process, true
		}
	}
	return places.Process{}, false
}

// slotsOf returns the number of requests that a process runs at once; 0 if it isn't registered.
func (g *Gateway) slotsOf(process places.Process) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	u, ok := g.upstreams[process.ID]
	if !ok || u.Incarnation != process.Incarnation {
		return 0
	}
	return u.Slots
}

// claimPlaces sends the claims of some processes.
func (g *Gateway) claimPlaces(processes []places.Process) {
	for _, process := range processes {
		if claim, ok := g.places.Claim(clock.Boot(), process); ok {
			g.sendPlaceClaim(claim)
		}
	}
}

// runPlaces repeats the claims.
func (g *Gateway) runPlaces(ctx context.Context) {
	interval := idleClaimInterval
	for clock.Sleep(ctx, interval) {
		claims := g.places.Claims(clock.Boot())
		for _, claim := range claims {
			g.sendPlaceClaim(claim)
		}
		if interval = places.ClaimInterval; len(claims) == 0 {
			interval = idleClaimInterval
		}
	}
}

func (g *Gateway) sendPlaceClaim(claim places.Claim) {
	if granter, _, ok := g.firstMember(claim.Upstream); ok {
		g.router.Send(granter, dissemination.NewEntry(dissemination.KindPlaceClaim, claim))
	}
}

// receivePlaceClaim handles the claim of a VM that takes this one for the granter. If this VM
// knows another granter it doesn't answer: each of two would hand out all places.
func (g *Gateway) receivePlaceClaim(from dissemination.Sender, body []byte) error {
	claim, err := dissemination.Decode[places.Claim](body)
	if err != nil {
		return err
	}
	granter, _, ok := g.firstMember(claim.Upstream)
	slots := g.slotsOf(places.Process{ID: claim.Upstream, Incarnation: claim.Incarnation})
	if !ok || granter != g.keeper.Self().Name || slots == 0 {
		return nil
	}
	if digest := g.keeper.MembersDigest(); g.placeMembers.Swap(digest) != digest {
		g.placeGranter.Restart(clock.Boot())
	}
	grants, err := g.placeGranter.Claim(clock.Boot(), from.VM, from.Incarnation, slots, claim)
	for vm, grant := range grants {
		g.router.Send(vm, dissemination.NewEntry(dissemination.KindPlaceGrant, grant))
	}
	return err
}

// receivePlaceGrant handles a granter's answer.
func (g *Gateway) receivePlaceGrant(_ dissemination.Sender, body []byte) error {
	grant, err := dissemination.Decode[places.Grant](body)
	if err != nil {
		return err
	}
	if !g.places.Apply(grant) {
		g.claimPlaces([]places.Process{{ID: grant.Upstream, Incarnation: grant.Incarnation}})
	}
	return nil
}
