package residency

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// loadWindow is the time over which the rate of model loads is bounded.
const loadWindow = 5 * time.Second

// HashBucket maps an engine to one of n choices, evenly.
func HashBucket(engine string, n int) int {
	return int(xxhash.Sum64String(engine) % uint64(max(n, 1)))
}

// rateShare is the part of the allowed rate of model loads that is used: the
// moments are drawn, so that some windows get more than their part.
const rateShare = 0.9

// spareLoads is the number of loads over the rate that a window has room for.
const spareLoads = 2

// ModelLoadDelay returns how long a new engine waits before it loads its base
// model, when a number of all engines lack theirs. Few do as a rule, and none
// waits. More than the loads of a second are the first of a start of all, which
// are seen little by little: if all together would load more in one window than
// the rate allows, each takes its own moment of the time that all need.
func ModelLoadDelay(engine string, lacking, all int, loadsPerSecond float64) time.Duration {
	if loadsPerSecond <= 0 {
		return 0
	}
	starting := lacking
	if float64(lacking) > loadsPerSecond {
		starting = all
	}
	if float64(starting) <= loadsPerSecond*loadWindow.Seconds()+spareLoads {
		return 0
	}
	needed := time.Duration(float64(starting) / (rateShare * loadsPerSecond) * float64(time.Second))
	const steps = 1 << 16
	share := float64(HashBucket(engine, steps)) / steps
	return time.Duration(share * float64(needed))
}
