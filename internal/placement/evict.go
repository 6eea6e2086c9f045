package placement

import (
	"math"
	"time"

	"github.com/barleylift/barleylift/internal/call"
)

// UseHalfLife is the half-life of the use count of a resident adapter.
const UseHalfLife = time.Minute

// Resident is a loaded adapter that no call uses and that may be evicted.
type Resident struct {
	Adapter call.AdapterRef
	LastUse time.Time
	// Uses is the number of uses, decayed with UseHalfLife, as of LastUse.
	Uses float64
	// LoadTime is the time to load the adapter again.
	LoadTime time.Duration
}

// EvictionPolicy picks the index of the adapter to evict, false if there is none.
type EvictionPolicy func(now time.Time, residents []Resident) (int, bool)

// PickVictim picks the adapter with the least expected cost of eviction: the
// use count, decayed to now, times the load time (greedy dual size frequency
// with aging by decay).
func PickVictim(now time.Time, residents []Resident) (int, bool) {
	return pickLeast(residents, func(r Resident) float64 {
		return DecayUses(r.Uses, now.Sub(r.LastUse)) * r.LoadTime.Seconds()
	})
}

// PickLRU picks the least recently used adapter. It is a baseline for
// comparisons.
func PickLRU(now time.Time, residents []Resident) (int, bool) {
	return pickLeast(residents, func(r Resident) float64 {
		return -now.Sub(r.LastUse).Seconds()
	})
}

func pickLeast(residents []Resident, score func(Resident) float64) (int, bool) {
	best, least := -1, math.Inf(1)
	for i, r := range residents {
		s := score(r)
		older := best >= 0 && s == least && r.LastUse.Before(residents[best].LastUse)
		if best < 0 || s < least || older {
			best, least = i, s
		}
	}
	return best, best >= 0
}

// DecayUses returns the value of a decayed count after the elapsed time. To
// count a use, add 1 to the result and set LastUse to now.
func DecayUses(uses float64, elapsed time.Duration) float64 {
	return uses * math.Exp2(-elapsed.Seconds()/UseHalfLife.Seconds())
}
