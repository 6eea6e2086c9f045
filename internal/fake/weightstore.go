package fake

import (
	"context"
	"sync"
	"time"
)

// loadSlices is the number of pieces in which a load's progress is counted.
const loadSlices = 20

// WeightStore is a rate-limited store of adapter weights. Loads beyond the
// number that it serves at full speed share its bandwidth.
type WeightStore struct {
	loadsPerSecond float64
	concurrent     int

	mu     sync.Mutex
	active int
	peak   int
	loads  int
}

// NewWeightStore returns a store that serves loadsPerSecond loads a second in
// all, and concurrent of them at once without slowing each other down.
func NewWeightStore(loadsPerSecond float64, concurrent int) *WeightStore {
	return &WeightStore{loadsPerSecond: loadsPerSecond, concurrent: max(concurrent, 1)}
}

// Fetch blocks for as long as one load takes.
func (s *WeightStore) Fetch(ctx context.Context) error {
	s.enter()
	defer s.leave()
	alone := time.Duration(float64(s.concurrent) / s.loadsPerSecond * float64(time.Second))
	for range loadSlices {
		select {
		case <-time.After(time.Duration(float64(alone) / loadSlices * s.slowdown())):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// PeakLoads returns the greatest number of loads that ran at once.
func (s *WeightStore) PeakLoads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

// Loads returns the number of loads that were started.
func (s *WeightStore) Loads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}

func (s *WeightStore) enter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads++
	s.active++
	s.peak = max(s.peak, s.active)
}

func (s *WeightStore) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

func (s *WeightStore) slowdown() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(1, float64(s.active)/float64(s.concurrent))
}
