package permit

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/peer"
)

const (
	// leaseDuration is how long a permit is valid without a renewal.
	leaseDuration = 5 * time.Second
	// renewInterval is the time between two renewals of a permit, and between
	// two updates of a waiting request's pressure.
	renewInterval = time.Second
	// handoverGrace is how long a new granter waits for the holders of its
	// predecessor's permits to register them.
	handoverGrace = 500 * time.Millisecond
	// streamEndTimeout limits the wait for a client to end its stream.
	streamEndTimeout = time.Second
)

// StoreFunc returns a weight store from the current configuration.
type StoreFunc func(name string) (catalog.WeightStore, bool)

// Service grants permits for the weight stores that this daemon owns. It
// implements ownership.Listener; Serve is its peer.Handler.
type Service struct {
	stores StoreFunc
	logger *slog.Logger

	// mu guards granters. It is locked before a storeGranter's mu.
	mu       sync.Mutex
	granters map[string]*storeGranter
}

// NewService returns a service that owns nothing yet.
func NewService(stores StoreFunc, logger *slog.Logger) *Service {
	return &Service{
		stores:   stores,
		logger:   logger.With("part", "permit"),
		granters: make(map[string]*storeGranter),
	}
}

// Gained starts granting for a store. Nothing is granted during handoverGrace,
// in which holders of the previous granter's permits register them.
func (s *Service) Gained(h ownership.Holding) {
	if h.Resource.Kind != ownership.KindPermits {
		return
	}
	name := h.Resource.ID
	granter, err := newStoreGranter(s.limits(name), leaseDuration, handoverGrace)
	if err != nil {
		s.logger.Error("cannot create permit granter for weight store", "store", name, "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if previous, ok := s.granters[name]; ok {
		previous.stop()
	}
	s.granters[name] = granter
	s.logger.Info("granting load permits", "store", name, "token", h.Token)
}

// Lost stops granting for a store; clients register waiting requests at the
// next owner.
func (s *Service) Lost(h ownership.Holding) {
	if h.Resource.Kind != ownership.KindPermits {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if granter, ok := s.granters[h.Resource.ID]; ok {
		granter.stop()
		delete(s.granters, h.Resource.ID)
		s.logger.Info("no longer granting load permits", "store", h.Resource.ID)
	}
}

// Stop stops granting for all stores.
func (s *Service) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, granter := range s.granters {
		granter.stop()
		delete(s.granters, name)
	}
}

// limits returns a function that reads a store's limits from the current
// configuration.
func (s *Service) limits(name string) limitsFunc {
	return func() (float64, int, bool) {
		configured, ok := s.stores(name)
		return configured.LoadsPerSecond, configured.Concurrent, ok
	}
}

// granter returns the granter of a store that this daemon owns.
func (s *Service) granter(name string) (*storeGranter, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	granter, ok := s.granters[name]
	return granter, ok
}

// Serve handles one permit stream. The stream stays open while its request
// waits and while its permit is held; the end of the stream releases either.
func (s *Service) Serve(ctx context.Context, from peer.Identity, stream peer.Stream) {
	var first requestMessage
	if err := stream.Recv(&first); err != nil {
		return
	}
	granter, ok := s.granter(first.Store)
	if !ok {
		_ = stream.Send(verdictMessage{Verdict: verdictNotOwner})
		return
	}
	request := first.request(from.Name)
	defer granter.release(request.ID)
	granted := granter.register(request, first.Held)
	streamEnded := make(chan struct{})
	go func() {
		defer close(streamEnded)
		receiveUpdates(stream, granter, request)
	}()
	s.sendVerdicts(ctx, stream, granter, granted, streamEnded)
	awaitStreamEnd(stream, streamEnded)
}

// request returns the request with an ID that is unique among all holders.
func (m requestMessage) request(holder string) Request {
	return Request{
		ID:       holder + "/" + m.ID,
		Holder:   holder,
		Engine:   m.Engine,
		Adapter:  m.Adapter,
		Pressure: m.Pressure,
	}
}

// register adds a permit that is already held, or requests a new one. The
// channel is closed once the permit is held.
func (s *storeGranter) register(r Request, held bool) <-chan struct{} {
	if !held {
		return s.submit(r)
	}
	s.addHeld(r)
	granted := make(chan struct{})
	close(granted)
	return granted
}

// receiveUpdates applies the client's messages until the stream ends or the
// lease has expired; the client then registers again.
func receiveUpdates(stream peer.Stream, granter *storeGranter, request Request) {
	for {
		var update requestMessage
		if err := stream.Recv(&update); err != nil {
			return
		}
		request.Pressure = update.Pressure
		if !granter.update(request) {
			return
		}
	}
}

// sendVerdicts sends the client the grant, and verdictNotOwner when this daemon
// stops granting for the store. It returns after that, or when the stream has
// ended or ctx is done.
func (s *Service) sendVerdicts(ctx context.Context, stream peer.Stream, granter *storeGranter, granted, streamEnded <-chan struct{}) {
	select {
	case <-granted:
	case <-streamEnded:
		return
	case <-ctx.Done():
		return
	case <-granter.done:
		_ = stream.Send(verdictMessage{Verdict: verdictNotOwner})
		return
	}
	if err := stream.Send(verdictMessage{Verdict: verdictGranted}); err != nil {
		return
	}
	select {
	case <-streamEnded:
	case <-ctx.Done():
	case <-granter.done:
		// The verdict lets the holder register its permit at the successor at once.
		_ = stream.Send(verdictMessage{Verdict: verdictNotOwner})
	}
}

// awaitStreamEnd waits until the client has ended the stream, and cancels it
// after streamEndTimeout.
func awaitStreamEnd(stream peer.Stream, streamEnded <-chan struct{}) {
	timeout := time.NewTimer(streamEndTimeout)
	defer timeout.Stop()
	select {
	case <-streamEnded:
	case <-timeout.C:
		stream.Cancel()
		<-streamEnded
	}
}
