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
	// starts.
	exchangeInterval = 4 * time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 3 * time.Second
	// announceDelay is the mean time between the adoption of a generation and the
	// exchanges with the neighbours. It lets daemons that follow the service
	// adopt the generation first, so that it is not sent to them twice.
	announceDelay = 500 * time.Millisecond
	// neighbourCount is the number of peers that a daemon exchanges with in
	// round-robin order and after it adopted a generation. With this number each
	// connection is used again before it reaches the idle timeout.
	neighbourCount = 4
	// roundsPerRandomPeer is the number of rounds over all neighbours between two
	// exchanges with a random peer.
	roundsPerRandomPeer = 4
)

// gossip exchanges generations with one peer every exchangeInterval, and with
// all neighbours soon after this daemon adopted a generation.
func (s *Store) gossip(ctx context.Context) {
	regular := time.NewTimer(jitter(exchangeInterval))
	defer regular.Stop()
	announcement := time.NewTimer(jitter(announceDelay))
	defer announcement.Stop()
	for exchanges := 0; ; {
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
			partners := s.nextPartners(exchanges)
			s.tasks.Go(func() { s.exchangeWithFallback(ctx, partners) })
			exchanges++
			regular.Reset(jitter(exchangeInterval))
		case m := <-s.pullRequests:
			s.tasks.Go(func() { s.exchangeWith(ctx, m) })
		}
	}
}

// exchangeWith adopts the peer's generation if it is newer. It reports whether
// the exchange succeeded.
func (s *Store) exchangeWith(ctx context.Context, m ownership.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	built, ok := s.fetchFromPeer(ctx, m)
	if built != nil {
		s.adopt(built, m.Name)
	}
	return ok
}

// exchangeWithFallback exchanges with the first reachable partner. If there is
// none, it tries one of the first neighbours, which are of the daemon's own
// region if it has any: the other regions may be unreachable.
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

// nextPartners returns the peer of a regular exchange: each neighbour in
// round-robin order, and after roundsPerRandomPeer rounds a random peer, which
// prevents groups of daemons that exchange only among themselves. A random peer
// is chosen rarely, since it usually needs a new connection.
func (s *Store) nextPartners(exchanges int) []ownership.Member {
	neighbours := s.neighbours()
	slot := exchanges % (len(neighbours)*roundsPerRandomPeer + 1)
	if slot < len(neighbours)*roundsPerRandomPeer {
		slot %= len(neighbours)
		return neighbours[slot : slot+1]
	}
	return firstN(s.shuffledPeers(), 1)
}

// neighbours returns up to neighbourCount peers, half of them from the daemon's
// own region, so that a generation also spreads within a region that is
// disconnected from all others. They are the peers with the highest hash of both
// names. Each daemon chooses independently, so the neighbours form a random
// graph, in which a generation spreads in a number of steps that is logarithmic
// in the size of the fleet.
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

// ranked is a member with its hash, by which neighbours are chosen.
type ranked struct {
	member ownership.Member
	rank   uint64
}

// insertRanked inserts a member by descending rank and keeps the highest ones.
func insertRanked(best []ranked, r ranked, keep int) []ranked {
	at, _ := slices.BinarySearchFunc(best, r, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	if at == keep {
		return best
	}
	best = slices.Insert(best, at, r)
	return firstN(best, keep)
}

// mergeNeighbours returns the members of sameRegion, then further ones of all, up
// to neighbourCount.
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

// ownRegion returns the region in the daemon's own member entry, or "" if there
// is none.
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
