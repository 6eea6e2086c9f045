package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
)

// Limits of the directory's answers to callers.
const (
	// answerTTL is how long callers may keep an answer: short, because it may
	// list a daemon that has died since.
	answerTTL = 2 * time.Second
	// maxEntries bounds the number of addresses in an answer.
	maxEntries = 64
)

// Entries implements Directory. It lists all daemons that accept requests,
// without those whose heartbeats have stopped, which reach no upstream, or whose
// configuration has not been proven the newest for too long. If that applies to most daemons,
// this one is probably disconnected itself, and all are listed.
func (g *Gateway) Entries(_, _ string) ([]string, float64) {
	now := clock.Boot()
	self := g.settings.Load().VM
	members := g.members()
	var alive, registered []string
	cutOff := g.cutOffEntries(members)
	notFresh := g.notFreshEntries(members)
	for _, m := range members {
		if m.Draining || m.Name == self {
			continue
		}
		p, hasHeartbeat := g.peers.get(m.Name)
		if hasHeartbeat && p.draining || cutOff[m.Name] || notFresh[m.Name] {
			continue
		}
		registered = append(registered, m.Entry)
		if hasHeartbeat && p.isAlive(now, len(members), true) {
			alive = append(alive, m.Entry)
		}
	}
	if 2*len(alive) < len(registered) {
		alive = registered
	}
	if g.Ready() && !cutOff[self] && !notFresh[self] {
		alive = append(alive, g.settings.Load().Entry.String())
	}
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	ttl := answerTTL
	if limit := g.settings.Load().MaxAnswerAge; limit > 0 {
		ttl = min(ttl, limit)
	}
	return alive[:min(len(alive), maxEntries)], ttl.Seconds()
}

// Ready implements Directory.
func (g *Gateway) Ready() bool {
	return g.relay.Table() != nil && !g.draining.Load()
}
