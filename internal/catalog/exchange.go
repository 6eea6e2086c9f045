package catalog

import (
	"context"
	"errors"
	"io"

	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/peer"
)

// exchangeRequest starts an exchange: it states the generation that the
// requesting daemon has in force.
type exchangeRequest struct {
	Generation uint64 `cbor:"1,keyasint"`
	ContentID  Hash   `cbor:"2,keyasint"`
}

// exchangeResponse answers an exchangeRequest. Head is the encoded head if it is
// newer than the requesting daemon's, else empty.
type exchangeResponse struct {
	Generation uint64 `cbor:"1,keyasint"`
	ContentID  Hash   `cbor:"2,keyasint"`
	Head       []byte `cbor:"3,keyasint,omitempty"`
}

// chunkRequest requests chunks of the head in an exchangeResponse. The answer is
// one chunkResponse for each hash, in order.
type chunkRequest struct {
	Hashes []Hash `cbor:"1,keyasint"`
}

// chunkResponse is one chunk; Data is empty if the peer does not have it.
type chunkResponse struct {
	Data []byte `cbor:"1,keyasint"`
}

// withPeerStream opens a stream to a peer and calls run with it. The stream is
// cancelled when ctx ends. It reports whether run succeeded.
func (s *Store) withPeerStream(ctx context.Context, m ownership.Member, run func(peer.Stream) error) bool {
	stream, err := s.cfg.Caller.Open(ctx, m.PeerAddress, peer.MethodConfiguration)
	if err != nil {
		return false
	}
	defer stream.Cancel()
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	err = run(stream)
	if err != nil && ctx.Err() == nil {
		s.cfg.Log.Warn("configuration exchange with a peer failed", "peer", m.Name, "error", err)
	}
	return err == nil
}

// fetchFromPeer exchanges generations with a peer and builds the peer's if it is
// newer, else returns nil. It also reports whether the exchange succeeded.
func (s *Store) fetchFromPeer(ctx context.Context, m ownership.Member) (built *generationState, ok bool) {
	ok = s.withPeerStream(ctx, m, func(stream peer.Stream) (err error) {
		built, err = s.initiateExchange(stream, m.Name)
		return err
	})
	return built, ok
}

// initiateExchange is the requesting side of an exchange.
func (s *Store) initiateExchange(stream peer.Stream, name string) (*generationState, error) {
	before := s.current.Load()
	head, raw, err := s.receiveHead(stream, name)
	if err != nil {
		return nil, err
	}
	if raw == nil {
		return nil, stream.CloseSend()
	}
	data, err := requestChunks(stream, before.missingChunks(head))
	if err != nil {
		return nil, err
	}
	return before.assemble(head, raw, data)
}

// receiveHead sends a peer the generation that this daemon has in force and
// returns the peer's head if it is newer, else a nil raw head.
func (s *Store) receiveHead(stream peer.Stream, name string) (Head, []byte, error) {
	var request exchangeRequest
	if st := s.current.Load(); st != nil {
		request = exchangeRequest{Generation: st.head.Generation, ContentID: st.contentID}
	}
	if err := stream.Send(request); err != nil {
		return Head{}, nil, err
	}
	var response exchangeResponse
	if err := stream.Recv(&response); err != nil {
		return Head{}, nil, err
	}
	s.lastContact.record()
	s.checkFork(response.Generation, response.ContentID, name)
	if len(response.Head) == 0 {
		return Head{}, nil, nil
	}
	head, err := decodeHead(response.Head)
	if err != nil || s.compareHead(head) != newer {
		return Head{}, nil, err
	}
	return head, response.Head, nil
}

// checkFork counts and logs a regression if a peer holds different contents
// under the generation that this daemon has in force.
func (s *Store) checkFork(generation uint64, contentID Hash, name string) {
	st := s.current.Load()
	if st == nil || generation != st.head.Generation || contentID == st.contentID {
		return
	}
	report := regressionReport{generation, contentID}
	if last := s.lastReport.Swap(&report); last != nil && *last == report {
		return
	}
	s.cfg.Metrics.Regression()
	s.cfg.Log.Error("peer holds other contents under the generation in force", "generation", generation, "peer", name)
}

func requestChunks(stream peer.Stream, hashes []Hash) (map[Hash][]byte, error) {
	if len(hashes) > 0 {
		if err := stream.Send(chunkRequest{Hashes: hashes}); err != nil {
			return nil, err
		}
	}
	if err := stream.CloseSend(); err != nil {
		return nil, err
	}
	data := make(map[Hash][]byte, len(hashes))
	for _, hash := range hashes {
		var c chunkResponse
		if err := stream.Recv(&c); err != nil {
			return nil, err
		}
		if len(c.Data) > 0 {
			data[hash] = c.Data
		}
	}
	return data, nil
}

// Handler returns the handler for peer.MethodConfiguration, which sends the
// generation in force and its chunks to peers.
func (s *Store) Handler() peer.Handler {
	return func(_ context.Context, from peer.Identity, stream peer.Stream) {
		if err := s.serveExchange(from, stream); err != nil {
			stream.Cancel()
		}
	}
}

func (s *Store) serveExchange(from peer.Identity, stream peer.Stream) error {
	var request exchangeRequest
	if err := stream.Recv(&request); err != nil {
		return err
	}
	s.lastContact.record()
	s.checkFork(request.Generation, request.ContentID, from.Name)
	if request.Generation > s.Generation() {
		s.requestPull(from.Name)
	}
	st := s.current.Load()
	var response exchangeResponse
	if st != nil {
		response = exchangeResponse{Generation: st.head.Generation, ContentID: st.contentID}
		if st.head.Generation > request.Generation {
			response.Head = st.raw
		}
	}
	if err := stream.Send(response); err != nil {
		return err
	}
	if err := st.sendChunks(stream); err != nil {
		return err
	}
	return stream.CloseSend()
}

// sendChunks answers a chunkRequest if the peer sends one.
func (s *generationState) sendChunks(stream peer.Stream) error {
	var request chunkRequest
	err := stream.Recv(&request)
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return err
	}
	for _, hash := range request.Hashes {
		var data []byte
		if s != nil {
			data = s.data[hash]
		}
		if err := stream.Send(chunkResponse{Data: data}); err != nil {
			return err
		}
	}
	return nil
}

// requestPull schedules an exchange with a peer that has a newer generation. It
// is dropped if another pull is pending; the regular exchanges cover that case.
func (s *Store) requestPull(name string) {
	if s.cfg.Members == nil || s.cfg.Caller == nil {
		return
	}
	for _, m := range s.cfg.Members() {
		if m.Name != name {
			continue
		}
		select {
		case s.pullRequests <- m:
		default:
		}
		return
	}
}
