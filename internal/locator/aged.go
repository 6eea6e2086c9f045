package locator

import (
	"math"
	"time"
)

// decayingCount is a number that halves every failureHalfLife.
type decayingCount struct {
	value     float64
	updatedAt time.Duration
}

func (a *decayingCount) add(now time.Duration, n float64) {
	a.value = max(a.get(now)+n, 0)
	a.updatedAt = now
}

func (a *decayingCount) get(now time.Duration) float64 {
	return a.value * math.Exp2(-(now-a.updatedAt).Seconds()/failureHalfLife.Seconds())
}
