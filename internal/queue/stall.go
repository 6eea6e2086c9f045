package queue

import (
	"math"
	"time"
)

const (
	// stallHalfLife is the half-life of the estimate. Without decay, an estimate
	// that is high enough to refuse all calls that need a load would get no new
	// observation and never fall.
	stallHalfLife = 30 * time.Second
	// stallWeight is the weight of a new observation.
	stallWeight = 0.3
)

// StallEstimate is a moving average of the load stall: the time from the first
// wait for an adapter to its readiness, including the wait for the load permit.
// Its zero value is ready to use.
type StallEstimate struct {
	value      time.Duration
	observedAt time.Time
}

// Observe adds one load stall to the average.
func (s *StallEstimate) Observe(now time.Time, stall time.Duration) {
	old := s.At(now)
	if old == 0 {
		old = stall
	}
	s.value = time.Duration((1-stallWeight)*float64(old) + stallWeight*float64(stall))
	s.observedAt = now
}

// At returns the estimate as of now, 0 without an observation.
func (s *StallEstimate) At(now time.Time) time.Duration {
	halvings := now.Sub(s.observedAt).Seconds() / stallHalfLife.Seconds()
	return time.Duration(float64(s.value) * math.Exp2(-halvings))
}
