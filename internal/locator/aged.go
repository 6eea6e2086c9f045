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

func (c *decayingCount) add(now time.Duration, n float64) {
	c.value = max(c.get(now)+n, 0)
	c.updatedAt = now
}

func (c *decayingCount) get(now time.Duration) float64 {
	return c.value * math.Exp2(-(now-c.updatedAt).Seconds()/failureHalfLife.Seconds())
}
