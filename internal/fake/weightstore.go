package fake

import (
	"context"
	"sync"
	"time"
)

// loadSteps is the number of steps of a load. The bandwidth that a load gets is
// updated at the start of each step.
const loadSteps = 20

// WeightStore is a store of adapter weights with limited bandwidth. Concurrent
// loads beyond the number that it serves at full speed share the bandwidth.
type WeightStore struct {
	loadsPerSecond float64
	concurrent     int

	mu           sync.Mutex
	activeLoads  int
	peakLoads    int
	startedLoads int
}

// NewWeightStore returns a store that serves loadsPerSecond loads per second in
// total, and up to concurrent loads at a time at full speed.
func NewWeightStore(loadsPerSecond float64, concurrent int) *WeightStore {
	return &WeightStore{loadsPerSecond: loadsPerSecond, concurrent: max(concurrent, 1)}
}

// Fetch blocks for the duration of one load.
func (s *WeightStore) Fetch(ctx context.Context) error {
	s.beginLoad()
	defer s.endLoad()
	fullSpeedTime := time.Duration(float64(s.concurrent) / s.loadsPerSecond * float64(time.Second))
	for range loadSteps {
		select {
		case <-time.After(time.Duration(float64(fullSpeedTime) / loadSteps * s.slowdown())):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// PeakLoads returns the maximum number of loads that ran concurrently.
func (s *WeightStore) PeakLoads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakLoads
}

// Loads returns the number of loads started so far.
func (s *WeightStore) Loads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startedLoads
}

func (s *WeightStore) beginLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedLoads++
	s.activeLoads++
	s.peakLoads = max(s.peakLoads, s.activeLoads)
}

func (s *WeightStore) endLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeLoads--
}

func (s *WeightStore) slowdown() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(1, float64(s.activeLoads)/float64(s.concurrent))
}
