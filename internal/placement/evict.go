package placement

import (
	"math"
	"time"

	"github.com/barleylift/barleylift/internal/call"
)

// UseHalfLife is the time after which a past use of a resident adapter
// counts half.
const UseHalfLife = time.Minute

// Resident is a loaded adapter that nothing uses and that may be evicted.
type Resident struct {
	Adapter call.AdapterRef
	LastUse time.Time
	// Uses is the number of uses, decayed with UseHalfLife, as of LastUse.
	Uses float64
	// LoadTime is what it takes to load the adapter again.
	LoadTime time.Duration
}

// EvictionPolicy picks the index of the adapter to evict, false if there is none.
type EvictionPolicy func(now time.Time, residents []Resident) (int, bool)

// PickVictim picks the adapter with the least expected use times load time:
// the decayed frequency of use, aged to now, times the time that a load costs
// (greedy dual size frequency with aging by decay).
func PickVictim(now time.Time, residents []Resident) (int, bool) {
	return pickLeast(residents, func(r Resident) float64 {
		return DecayUses(r.Uses, now.Sub(r.LastUse)) * r.LoadTime.Seconds()
	})
}

// PickLRU picks the least recently used adapter. It is a baseline.
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
// note a use, add 1 to the decayed count and set LastUse.
func DecayUses(uses float64, elapsed time.Duration) float64 {
	return uses * math.Exp2(-elapsed.Seconds()/UseHalfLife.Seconds())
}
