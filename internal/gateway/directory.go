package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
)

// Constants of the answers to callers that ask where to connect.
const (
	// answerTTL is how long callers may keep an answer: short, because a daemon
	// that has died stays in it.
	answerTTL = 2 * time.Second
	// maxEntries bounds the addresses of an answer.
	maxEntries = 64
)

// Entries implements Directory: all daemons that take requests. A daemon
// without notices is left out, unless most are, which says more of this one.
func (g *Gateway) Entries(_, _ string) ([]string, float64) {
	now := clock.Boot()
	self := g.settings.Load().VM
	members := g.members()
	silence := livenessTimeout(len(members))
	var alive, listed []string
	for _, m := range members {
		if m.Draining || m.Name == self {
			continue
		}
		p, heard := g.peers.get(m.Name)
		if heard && p.draining {
			continue
		}
		listed = append(listed, m.Entry)
		if heard && now-p.lastHeartbeatAt < silence {
			alive = append(alive, m.Entry)
		}
	}
	if 2*len(alive) < len(listed) {
		alive = listed
	}
	if g.Ready() {
		alive = append(alive, g.settings.Load().Entry.String())
	}
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	age := answerTTL
	if limit := g.settings.Load().MaxAnswerAge; limit > 0 {
		age = min(age, limit)
	}
	return alive[:min(len(alive), maxEntries)], age.Seconds()
}

// Ready implements Directory.
func (g *Gateway) Ready() bool {
	return g.relay.Table() != nil && !g.draining.Load()
}
