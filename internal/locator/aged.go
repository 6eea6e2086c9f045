package locator

import (
	"math"
	"time"
)

// aged is a number that halves each failureHalfLife.
type aged struct {
	value float64
	at    time.Duration
}

func (a *aged) add(now time.Duration, n float64) {
	a.value = max(a.get(now)+n, 0)
	a.at = now
}

func (a *aged) get(now time.Duration) float64 {
	return a.value * math.Exp2(-(now-a.at).Seconds()/failureHalfLife.Seconds())
}
