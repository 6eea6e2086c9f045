package catalog

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/cespare/xxhash/v2"
)

const (
	// exchangeInterval is the mean time between two exchanges that a daemon
	// begins with a peer.
	exchangeInterval = 4 * time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 3 * time.Second
	// announceDelay is the mean time until then. It lets daemons that follow the
	// service adopt the generation first, so that it is not sent to them twice.
	announceDelay = 500 * time.Millisecond
	// neighbourCount is the number of peers that a daemon exchanges with in
	// turn, and that it tells of a generation that it adopted. Each one's turn
	// comes before an unused connection is closed.
	neighbourCount = 4
	// roundsPerRandomPeer is the number of rounds of neighbours between two
	// exchanges with any peer.
	roundsPerRandomPeer = 4
)

// gossip exchanges generations with one peer every few seconds, and with the
// neighbours soon after this daemon adopted a generation.
func (s *Store) gossip(ctx context.Context) {
	regular := time.NewTimer(jitter(exchangeInterval))
	defer regular.Stop()
	announcement := time.NewTimer(jitter(announceDelay))
	defer announcement.Stop()
	for round := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-s.announce:
			announcement.Reset(jitter(announceDelay))
		case <-announcement.C:
			for _, m := range s.neighbours() {
				s.tasks.Go(func() { s.exchangeWith(ctx, m) })
			}
		case <-regular.C:
			partners := s.nextPartners(round)
			s.tasks.Go(func() { s.exchangeWithFallback(ctx, partners) })
			round++
			regular.Reset(jitter(exchangeInterval))
		case m := <-s.pullRequests:
			s.tasks.Go(func() { s.exchangeWith(ctx, m) })
		}
	}
}

// exchangeWith adopts the peer's generation if it is newer. It reports whether
// the peer was reached.
func (s *Store) exchangeWith(ctx context.Context, m ownership.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	built, reached := s.fetchFromPeer(ctx, m)
	if built != nil {
		s.adopt(built, m.Name)
	}
	return reached
}

// exchangeWithFallback exchanges with the first of the partners or, if it is not
// reached, with a neighbour of the daemon's own region, which may be the only
// one that it reaches.
func (s *Store) exchangeWithFallback(ctx context.Context, partners []ownership.Member) {
	for _, m := range partners {
		if s.exchangeWith(ctx, m) {
			return
		}
	}
	fallbacks := firstN(s.neighbours(), neighbourCount/2)
	if len(fallbacks) > 0 && ctx.Err() == nil {
		s.exchangeWith(ctx, fallbacks[rand.N(len(fallbacks))])
	}
}

// nextPartners picks the peer of a regular exchange: each neighbour in turn, and
// after some rounds any peer, so that no group of daemons exchanges among
// itself only. That one is rare, since it mostly needs a new connection.
func (s *Store) nextPartners(round int) []ownership.Member {
	neighbours := s.neighbours()
	position := round % (len(neighbours)*roundsPerRandomPeer + 1)
	if position < len(neighbours)*roundsPerRandomPeer {
		position %= len(neighbours)
		return neighbours[position : position+1]
	}
	return firstN(s.shuffledPeers(), 1)
}

// neighbours returns a few peers, half of them from the daemon's own region, so
// that news spread within a region that is cut off from all others. They are
// the ones with the highest hash of both names. Each daemon's choice is
// independent of all others', so the graph of neighbours is a random one and
// spreads news in a number of steps that grows with the logarithm of the fleet.
func (s *Store) neighbours() []ownership.Member {
	if s.cfg.Caller == nil || s.cfg.Members == nil {
		return nil
	}
	members := s.cfg.Members()
	region := s.ownRegion(members)
	var sameRegion, all []ranked
	for _, m := range members {
		if m.Name == s.cfg.Self {
			continue
		}
		r := ranked{m, xxhash.Sum64String(s.cfg.Self + "\x00" + m.Name)}
		all = insertRanked(all, r, neighbourCount)
		if m.Region == region {
			sameRegion = insertRanked(sameRegion, r, neighbourCount/2)
		}
	}
	return mergeNeighbours(sameRegion, all)
}

// ranked is a member with the hash that it is chosen by.
type ranked struct {
	member ownership.Member
	rank   uint64
}

// insertRanked adds a member to the list in order of rank and keeps the highest ones.
func insertRanked(best []ranked, r ranked, keep int) []ranked {
	at, _ := slices.BinarySearchFunc(best, r, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	if at == keep {
		return best
	}
	best = slices.Insert(best, at, r)
	return firstN(best, keep)
}

// mergeNeighbours returns near, followed by the others of all up to neighbourCount.
func mergeNeighbours(sameRegion, all []ranked) []ownership.Member {
	chosen := make([]ownership.Member, 0, neighbourCount)
	for _, r := range append(sameRegion, all...) {
		duplicate := slices.ContainsFunc(chosen, func(m ownership.Member) bool { return m.Name == r.member.Name })
		if !duplicate && len(chosen) < neighbourCount {
			chosen = append(chosen, r.member)
		}
	}
	return chosen
}

// ownRegion returns the daemon's own ownRegion as its announcement states it.
func (s *Store) ownRegion(members []ownership.Member) string {
	for _, m := range members {
		if m.Name == s.cfg.Self {
			return m.Region
		}
	}
	return ""
}

func firstN[T any](items []T, n int) []T {
	return items[:min(len(items), n)]
}
