package permit

import (
	"sync"
	"time"
)

// limitsFunc returns a weight store's current limits; false if the store is not
// configured.
type limitsFunc func() (loadsPerSecond float64, concurrent int, ok bool)

// storeGranter runs one Granter in real time: a timer runs it when a permit may
// become available without another event. It is safe for concurrent use.
type storeGranter struct {
	limits limitsFunc
	// done is closed when this daemon stops granting for the store.
	done chan struct{}

	// mu guards all below. It is held for one decision and never during I/O;
	// no other lock is taken under it.
	mu      sync.Mutex
	granter *Granter
	// granted holds, by request ID, the channel that is closed by the grant.
	granted map[string]chan struct{}
	timer   *time.Timer
	stopped bool
}

// newStoreGranter returns a granter that grants nothing during the grace time.
func newStoreGranter(limits limitsFunc, lease, grace time.Duration) (*storeGranter, error) {
	now := time.Now()
	rate, concurrent, _ := limits()
	granter, err := NewGranter(now, Config{LoadsPerSecond: rate, Concurrent: concurrent, Lease: lease}, now.Add(grace))
	if err != nil {
		return nil, err
	}
	return &storeGranter{
		limits:  limits,
		done:    make(chan struct{}),
		granter: granter,
		granted: make(map[string]chan struct{}),
	}, nil
}

// submit registers a request. The channel is closed when its permit is granted.
func (s *storeGranter) submit(r Request) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	granted, ok := s.granted[r.ID]
	if !ok {
		granted = make(chan struct{})
		s.granted[r.ID] = granted
	}
	s.granter.Submit(time.Now(), r)
	s.advance()
	return granted
}

// addHeld registers a permit that a previous granter granted.
func (s *storeGranter) addHeld(r Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granter.AddHeld(time.Now(), r)
}

// update renews a permit, or changes the pressure of a waiting request. It
// returns false if the ID names neither, because its lease has expired.
func (s *storeGranter) update(r Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.granter.Renew(now, r.ID) {
		return true
	}
	if _, ok := s.granter.waiting[r.ID]; !ok {
		return false
	}
	s.granter.Submit(now, r)
	return true
}

// release removes a request or a held permit.
func (s *storeGranter) release(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granter.Release(id)
	delete(s.granted, id)
	s.advance()
}

// stop stops granting and closes done, which ends the registrations.
func (s *storeGranter) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.stopped = true
	close(s.done)
	if s.timer != nil {
		s.timer.Stop()
	}
}

// wake is called by the timer.
func (s *storeGranter) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
}

// advance grants the permits that are available and sets the timer. The caller
// holds s.mu.
func (s *storeGranter) advance() {
	if s.stopped {
		return
	}
	now := time.Now()
	if rate, concurrent, ok := s.limits(); ok && rate > 0 {
		s.granter.SetLimits(now, rate, concurrent)
	}
	for _, r := range s.granter.Grant(now) {
		close(s.granted[r.ID])
	}
	next, ok := s.granter.NextWakeup(now)
	if !ok {
		return
	}
	if s.timer == nil {
		s.timer = time.AfterFunc(time.Until(next), s.wake)
		return
	}
	s.timer.Reset(time.Until(next))
}
