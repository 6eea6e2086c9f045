package catalog

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/peer"
)

const (
	// bootstrapPeers is the number of peers that a new daemon requests heads from.
	bootstrapPeers = 4
	// bootstrapHeadTimeout bounds the requests for heads to the service and the peers.
	bootstrapHeadTimeout = 2 * time.Second
	// bootstrapTimeout bounds the adoption of the first generation.
	bootstrapTimeout = 10 * time.Second
)

// candidate is a head that a new daemon may adopt first.
type candidate struct {
	head Head
	raw  []byte
	// member is the peer that sent the head; nil for the service.
	member *ownership.Member
}

func (c candidate) source() string {
	if c.member == nil {
		return sourceService
	}
	return c.member.Name
}

// bootstrap adopts the highest generation of the service and some peers. Peers
// are queried even if the service responds, since it may have been restored from
// an old state. Chunks are fetched from a peer if one has them, which limits
// the load on the service when many daemons start at once.
func (s *Store) bootstrap(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	found := s.candidates(ctx)
	if s.shouldWaitForPeers(found) && clock.Sleep(ctx, rand.N(maxFetchDelay)) {
		found = sortCandidates(append(found, s.peerCandidates(ctx)...))
	}
	for _, c := range found {
		built := s.fetchCandidate(ctx, c)
		if built != nil {
			s.adopt(built, c.source())
			return
		}
	}
}

// shouldWaitForPeers reports whether many chunks would have to be read from the
// service although there are peers. When a whole fleet starts, daemons that
// wait a random time can fetch them from a peer that started earlier.
func (s *Store) shouldWaitForPeers(found []candidate) bool {
	if len(found) == 0 || found[0].member != nil || len(s.shuffledPeers()) == 0 {
		return false
	}
	return len(s.current.Load().missingChunks(found[0].head)) > len(chunkKeyDigits)
}

// candidates requests heads from the service and some peers.
func (s *Store) candidates(ctx context.Context) []candidate {
	ctx, cancel := context.WithTimeout(ctx, bootstrapHeadTimeout)
	defer cancel()
	service := make(chan *candidate, 1)
	go func() { service <- s.serviceCandidate(ctx) }()
	found := s.peerCandidates(ctx)
	if c := <-service; c != nil {
		found = append(found, *c)
	}
	return sortCandidates(found)
}

// peerCandidates requests heads from a few random peers.
func (s *Store) peerCandidates(ctx context.Context) []candidate {
	ctx, cancel := context.WithTimeout(ctx, bootstrapHeadTimeout)
	defer cancel()
	members := firstN(s.shuffledPeers(), bootstrapPeers)
	responses := make(chan *candidate)
	for _, m := range members {
		go func() { responses <- s.peerCandidate(ctx, m) }()
	}
	var found []candidate
	for range members {
		if c := <-responses; c != nil {
			found = append(found, *c)
		}
	}
	return found
}

// sortCandidates orders candidates by generation, the highest first, and peers
// before the service.
func sortCandidates(found []candidate) []candidate {
	slices.SortStableFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.head.Generation, a.head.Generation), cmp.Compare(sourceRank(a), sourceRank(b)))
	})
	return found
}

// sourceRank orders candidates of one generation: peers before the service.
func sourceRank(c candidate) int {
	if c.member == nil {
		return 1
	}
	return 0
}

func (s *Store) serviceCandidate(ctx context.Context) *candidate {
	read, err := readHead(ctx, s.cfg.KV)
	if err != nil || !read.exists() {
		return nil
	}
	s.lastContact.record()
	return &candidate{head: read.head, raw: read.raw}
}

func (s *Store) peerCandidate(ctx context.Context, m ownership.Member) *candidate {
	var found *candidate
	s.withPeerStream(ctx, m, func(stream peer.Stream) error {
		head, raw, err := s.receiveHead(stream, m.Name)
		if err == nil && raw != nil {
			found = &candidate{head: head, raw: raw, member: &m}
		}
		return err
	})
	return found
}

// fetchCandidate builds the candidate's generation, or a newer one that its
// peer has adopted meanwhile; nil if that fails.
func (s *Store) fetchCandidate(ctx context.Context, c candidate) *generationState {
	if c.member != nil {
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		built, _ := s.fetchFromPeer(ctx, *c.member)
		return built
	}
	built, err := s.fetchAndAssemble(ctx, c.head, c.raw)
	if err != nil {
		return nil
	}
	return built
}
