package cost

import (
	"math"
	"time"
)

// Constants of a histogram.
const (
	// halfLife is the time after which an observation counts half: long enough for some
	// dozens of observations of a rare route, short enough to follow the hours of a day.
	halfLife = 5 * time.Minute
	// decayInterval is how often the counts are decayed.
	decayInterval = 10 * time.Second
	// Buckets grow by a quarter of an octave, so a quantile is within 10% of the true one,
	// and reach from 2^-minOctave to 2^(buckets/4-minOctave).
	buckets          = 96
	bucketsPerOctave = 4
	minOctave        = 8
)

// histogram counts positive values in logarithmic buckets, with forgetting.
type histogram struct {
	counts    [buckets]float32
	total     float64
	decayedAt time.Duration
}

// add counts a value.
func (h *histogram) add(now time.Duration, value float64) {
	h.decay(now)
	h.counts[bucketOf(value)]++
	h.total++
}

func (h *histogram) decay(now time.Duration) {
	if now-h.decayedAt < decayInterval {
		return
	}
	if h.total > 0 {
		factor := math.Exp2(-float64(now-h.decayedAt) / float64(halfLife))
		for i := range h.counts {
			h.counts[i] *= float32(factor)
		}
		h.total *= factor
	}
	h.decayedAt = now
}

// quantile returns the value below which the share q of the observations lies, and the
// decayed number of observations. The initial value counts as initialWeight of them.
func (h *histogram) quantile(now time.Duration, q, initial float64) (value, observations float64) {
	h.decay(now)
	sum, observed := 0.0, initial
	for i, n := range h.counts {
		if sum += float64(n); n > 0 && sum >= q*h.total {
			observed = math.Exp2((float64(i)+0.5)/bucketsPerOctave - minOctave)
			break
		}
	}
	logarithm := (h.total*math.Log(observed) + initialWeight*math.Log(initial)) / (h.total + initialWeight)
	return math.Exp(logarithm), h.total
}

func bucketOf(value float64) int {
	if !(value > 0) { // also true for NaN
		return 0
	}
	return int(min(max((math.Log2(value)+minOctave)*bucketsPerOctave, 0), buckets-1))
}
