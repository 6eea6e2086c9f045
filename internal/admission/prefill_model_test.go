package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// observe lets the model learn from an engine whose prompts have the lengths of the load.
// A share of the samples fall into a stall of two seconds.
func observe(m *PrefillModel, random *rand.Rand, n int, overhead, perToken time.Duration, stalls float64) {
	for range n {
		tokens := min(300+int(random.ExpFloat64()*900), 4000)
		took := overhead + time.Duration(tokens)*perToken + time.Duration(random.IntN(18))*time.Millisecond
		if random.Float64() < stalls {
			took += 2 * time.Second
		}
		m.Observe(tokens, took)
	}
}

func within(got, want time.Duration, share float64) bool {
	return math.Abs(float64(got-want)) <= share*float64(want)
}

// With one figure for both parts, engines with a fixed part of 80 ms seemed two to three
// times as slow as they are, and batches held one prompt.
func TestOverheadAndTimePerTokenAreLearnedApart(t *testing.T) {
	tests := []struct {
		name               string
		overhead, perToken time.Duration
		stalls             float64
	}{
		{"no fixed part", 20 * time.Millisecond, 52 * time.Microsecond, 0},
		{"fixed part", 110 * time.Millisecond, 45 * time.Microsecond, 0},
		{"fixed part, slow engine", 130 * time.Millisecond, 75 * time.Microsecond, 0},
		{"fast engine", 25 * time.Millisecond, 32 * time.Microsecond, 0},
		{"stalls", 110 * time.Millisecond, 52 * time.Microsecond, 0.02},
	}
	for _, test := range tests {
		for seed := range uint64(5) {
			m := NewPrefillModel()
			observe(&m, rand.New(rand.NewPCG(seed, 3)), 200, test.overhead, test.perToken, test.stalls)
			if !within(m.PerToken(), test.perToken, 0.3) {
				t.Errorf("%s, seed %d: %v per token, want %v within 30%%", test.name, seed, m.PerToken(), test.perToken)
			}
			if mean := test.overhead + 9*time.Millisecond; m.Overhead() < mean-20*time.Millisecond || m.Overhead() > mean+40*time.Millisecond {
				t.Errorf("%s, seed %d: overhead of %v, want %v", test.name, seed, m.Overhead(), mean)
			}
		}
	}
}

// An engine that is replaced by a slower one must not keep the former pace for minutes.
func TestModelFollowsAChangeOfPace(t *testing.T) {
	m := NewPrefillModel()
	random := rand.New(rand.NewPCG(1, 3))
	observe(&m, random, 500, 30*time.Millisecond, 32*time.Microsecond, 0)
	observe(&m, random, 200, 30*time.Millisecond, 87*time.Microsecond, 0)
	if !within(m.PerToken(), 87*time.Microsecond, 0.2) {
		t.Errorf("%v per token, want 87µs within 20%%", m.PerToken())
	}
}

// Prompts of one length don't tell the parts apart; the split must then be the initial one,
// not one that noise decides.
func TestPromptsOfOneLength(t *testing.T) {
	m := NewPrefillModel()
	random := rand.New(rand.NewPCG(1, 3))
	for range 500 {
		m.Observe(1000, 85*time.Millisecond+time.Duration(random.IntN(20)-10)*time.Millisecond)
	}
	if !within(m.PerToken(), initialPrefillPerToken, 0.1) || !within(m.Overhead(), initialOverhead, 0.3) {
		t.Errorf("%v per token and an overhead of %v, want the initial values", m.PerToken(), m.Overhead())
	}
}

// No sample, whatever an entry reports, may take the model out of its bounds: a time per
// token of 0 would admit everything, a huge one nothing.
func FuzzPrefillModelStaysWithinBounds(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 5))
		m := NewPrefillModel()
		for range 300 {
			m.Observe(int(random.Int64()>>random.IntN(63)), time.Duration(random.Int64()>>random.IntN(63)))
			if m.PerToken() < minPrefillPerToken || m.PerToken() > maxPrefillPerToken || m.Overhead() < minOverhead || m.Overhead() > maxOverhead {
				t.Fatalf("%v per token and an overhead of %v", m.PerToken(), m.Overhead())
			}
		}
	})
}
