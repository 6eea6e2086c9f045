package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/dissemination"
	"github.com/barleylift/barleylift/internal/fleet"
	"github.com/barleylift/barleylift/internal/mesh"
)

const (
	// exchangeStep is the time between two looks at which exchanges are due. A coordinator
	// that is silent is replaced that much after its time.
	exchangeStep = 250 * time.Millisecond
	// rankedCoordinators is the number of candidates for coordinators: each one that is
	// silent is skipped for 5 s and replaced after 1 s, so that at most ten are skipped.
	rankedCoordinators = 12
)

// newRouter returns the router of the entries that daemons share.
func (g *Gateway) newRouter(s Settings) (*dissemination.Router, error) {
	router, err := dissemination.NewRouter(dissemination.Config{
		VM: s.VM, Incarnation: g.incarnation, Send: g.sendTo,
		Answers: func(vm string, echoedSentAt time.Duration) bool {
			return g.coordinators.RecordReply(clock.Boot(), vm, echoedSentAt)
		},
		CountDropped: g.options.Meters.EntryDropped, Log: g.options.Log,
	})
	if err != nil {
		return nil, err
	}
	router.AddNeed(g.requiresKeys)
	router.Handle(dissemination.KindConfigState, g.receiveConfigState)
	router.ProduceReplies(dissemination.KindConfigState, g.configState)
	return router, nil
}

// requiresKeys reports whether the configuration in force requires API keys.
func (g *Gateway) requiresKeys() bool {
	table := g.relay.Table()
	return table != nil && table.RequiresKeys()
}

// sendTo sends a packet to the daemon of another VM, with or without a member key.
func (g *Gateway) sendTo(vm string, packet mesh.Packet) {
	if m, ok := g.keeper.Member(vm); ok {
		g.mesh.Send(m.Mesh, packet)
	}
}

// runExchanges runs the exchanges with the coordinators while anything needs them.
func (g *Gateway) runExchanges(ctx context.Context) {
	for clock.Sleep(ctx, exchangeStep) {
		if g.router.Needed() {
			g.requestExchanges()
		}
		g.reportProof()
		g.logReplicaLoads()
	}
}

func (g *Gateway) requestExchanges() {
	members := g.members()
	others := make([]dissemination.Coordinator, 0, len(members))
	for _, m := range members {
		others = append(others, coordinatorOf(m))
	}
	asks := g.coordinators.Next(clock.Boot(), g.coordinatorCandidates(members), others, rand.IntN)
	g.followCoordinators()
	for _, ask := range asks {
		g.router.Request(ask)
	}
}

// coordinatorCandidates returns the daemons that may be coordinators, the watchers first.
func (g *Gateway) coordinatorCandidates(members []fleet.Member) []dissemination.Coordinator {
	self := g.keeper.Self().Name
	byName := make(map[string]fleet.Member)
	var eligible, running []fleet.Member
	for _, m := range members {
		p, hasHeartbeat := g.peers.get(m.Name)
		isOut := m.Draining || hasHeartbeat && p.storeDown
		if m.Name == self {
			isOut = g.draining.Load() || g.storeDisconnected()
		}
		byName[m.Name] = m
		if !isOut {
			eligible = append(eligible, m)
		}
		if !m.Draining && (m.Name != self || !g.draining.Load()) {
			running = append(running, m)
		}
	}
	if len(eligible) == 0 {
		// Quotas need no key-value service, but a coordinator.
		eligible = running
	}
	var candidates []dissemination.Coordinator
	for _, name := range rankWatchers(eligible, rankedCoordinators) {
		candidates = append(candidates, coordinatorOf(byName[name]))
	}
	return candidates
}

func coordinatorOf(m fleet.Member) dissemination.Coordinator {
	return dissemination.Coordinator{VM: m.Name, Incarnation: m.Incarnation, Mesh: m.Mesh}
}
