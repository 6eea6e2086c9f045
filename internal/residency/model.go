package residency

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// loadWindow is the time over which the rate of model loads is bounded.
const loadWindow = 5 * time.Second

// Spread maps an engine to one of n choices, evenly.
func Spread(engine string, n int) int {
	return int(xxhash.Sum64String(engine) % uint64(max(n, 1)))
}

// ModelDelay returns how long a new engine waits before it loads its base
// model. Few engines start at once as a rule, and none waits; where all engines
// together could load more models in one window than the rate allows, each
// takes its own moment of the time that all of them need.
func ModelDelay(engine string, engines int, loadsPerSecond float64) time.Duration {
	if loadsPerSecond <= 0 {
		return 0
	}
	needed := time.Duration(float64(engines) / loadsPerSecond * float64(time.Second))
	if needed <= loadWindow {
		return 0
	}
	const steps = 1 << 16
	share := float64(Spread(engine, steps)) / steps
	return time.Duration(share * float64(needed-loadWindow))
}
