package residency

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// rateWindow is the window over which the rate of model loads is bounded.
const rateWindow = 5 * time.Second

// HashBucket maps an engine to one of n buckets by a hash of its ID.
func HashBucket(engine string, n int) int {
	return int(xxhash.Sum64String(engine) % uint64(max(n, 1)))
}

// usedRateShare is the share of the allowed rate of model loads that is used.
// Start times follow a hash, so some windows get more loads than the average.
const usedRateShare = 0.9

// spareLoads is the number of loads beyond the rate that a window allows.
const spareLoads = 2

// ModelLoadDelay returns how long a new engine waits before it loads its base
// model, where lacking is the number of engines without theirs. Usually few lack
// it and none waits. If more do than can load in a second, all engines are
// assumed to be starting, as their registrations arrive gradually. If loading
// all of them would exceed the rate within one window, the delays spread the
// loads over the time that all need.
func ModelLoadDelay(engine string, lacking, all int, loadsPerSecond float64) time.Duration {
	if loadsPerSecond <= 0 {
		return 0
	}
	starting := lacking
	if float64(lacking) > loadsPerSecond {
		starting = all
	}
	if float64(starting) <= loadsPerSecond*rateWindow.Seconds()+spareLoads {
		return 0
	}
	total := time.Duration(float64(starting) / (usedRateShare * loadsPerSecond) * float64(time.Second))
	const buckets = 1 << 16
	fraction := float64(HashBucket(engine, buckets)) / buckets
	return time.Duration(fraction * float64(total))
}
