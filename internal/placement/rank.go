package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the k candidates with the highest rendezvous weight for the
// adapter name, best first (Thaler and Ravishankar, "Using Name-Based
// Mappings to Increase Hit Rates", 1998). The result does not depend on the
// order of the input. When a candidate is added or removed, only its own rank
// and lower ones change.
func Rank(candidates []Candidate, adapter string, k int) []Candidate {
	k = min(k, len(candidates))
	if k <= 0 {
		return nil
	}
	best := make([]scored, 0, k+1)
	key := xxhash.Sum64String(adapter)
	for i, c := range candidates {
		s := scored{score: mix(key ^ xxhash.Sum64String(c.Engine)), index: i}
		if len(best) == k && !better(candidates, s, best[k-1]) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int { return compare(candidates, a, b) })
		best = slices.Insert(best, at, s)
		best = best[:min(len(best), k)]
	}
	ranked := make([]Candidate, len(best))
	for i, s := range best {
		ranked[i] = candidates[s.index]
	}
	return ranked
}

// scored is a candidate's index and its rendezvous weight.
type scored struct {
	score uint64
	index int
}

func better(candidates []Candidate, a, b scored) bool {
	return compare(candidates, a, b) < 0
}

// compare orders by descending weight, then by engine name.
func compare(candidates []Candidate, a, b scored) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(candidates[a.index].Engine, candidates[b.index].Engine)
}

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, "Fast Splittable
// Pseudorandom Number Generators", 2014).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
