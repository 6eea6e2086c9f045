package permit

import (
	"sync"
	"time"
)

// limitsFunc returns a store's limits in force; false if it is not configured.
type limitsFunc func() (loadsPerSecond float64, concurrent int, ok bool)

// store runs one Granter in real time: a timer wakes it when a permit may be
// given out without another event. It is safe for concurrent use.
type store struct {
	limits limitsFunc
	// done is closed when this daemon stops granting for the store.
	done chan struct{}

	// mu guards all below. It is held for one decision and never during I/O;
	// no other lock is taken under it.
	mu      sync.Mutex
	granter *Granter
	granted map[string]chan struct{}
	timer   *time.Timer
	stopped bool
}

// newStore returns a store that grants nothing during the quiet time.
func newStore(limits limitsFunc, lease, quiet time.Duration) (*store, error) {
	now := time.Now()
	rate, concurrent, _ := limits()
	granter, err := NewGranter(now, Config{LoadsPerSecond: rate, Concurrent: concurrent, Lease: lease}, now.Add(quiet))
	if err != nil {
		return nil, err
	}
	return &store{
		limits:  limits,
		done:    make(chan struct{}),
		granter: granter,
		granted: make(map[string]chan struct{}),
	}, nil
}

// ask registers a request. The channel is closed when its permit is given out.
func (s *store) ask(r Request) <-chan struct{} {
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

// adopt registers a permit that a former granter gave out.
func (s *store) adopt(r Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granter.Adopt(time.Now(), r)
}

// update renews a permit, or changes the pressure of a request that waits.
// It reports false if the ID names neither, because its lease has lapsed.
func (s *store) update(r Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.granter.Renew(now, r.ID) {
		return true
	}
	if _, waits := s.granter.waiting[r.ID]; !waits {
		return false
	}
	s.granter.Submit(now, r)
	return true
}

// release ends a request or a permit.
func (s *store) release(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granter.Release(id)
	delete(s.granted, id)
	s.advance()
}

// stop ends the store and wakes everyone who waits through done.
func (s *store) stop() {
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

// wake is the timer's function.
func (s *store) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
}

// advance gives out what the store allows and sets the timer. s.mu is held.
func (s *store) advance() {
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
