package admission

import "time"

// Constants of the model of prefills.
const (
	// initialOverhead is the assumed part of the time to the first event that doesn't
	// depend on the prompt: the steps of the first event and the messages.
	initialOverhead = 30 * time.Millisecond
	// initialPrefillPerToken is the assumed prefill time per prompt token until it
	// has been measured.
	initialPrefillPerToken = 55 * time.Microsecond
	// minOverhead and maxOverhead bound the learned overhead. Deployments have one of up
	// to 120 ms; more is a stall or a queue.
	minOverhead = 5 * time.Millisecond
	maxOverhead = 300 * time.Millisecond
	// minPrefillPerToken and maxPrefillPerToken bound the learned time per token.
	minPrefillPerToken = 10 * time.Microsecond
	maxPrefillPerToken = time.Millisecond
	// sampleRetention is what remains of the weight of former samples after another one:
	// the last 50 samples count, which an engine yields in some seconds.
	sampleRetention = 0.98
	// priorWeight is the weight of each of the two samples that stand for the initial
	// values, at priorShort and priorLong tokens. They decide as long as all prompts have
	// one length, and little against ten samples of different lengths.
	priorWeight = 0.25
	priorShort  = 200
	priorLong   = 3000
	// A sample counts as at most maxSampleFactor of the expected time and maxSampleExcess
	// more, and as no less than a third of it: engines stall for seconds. A lasting change
	// of pace is followed over several samples.
	maxSampleFactor = 1.25
	maxSampleExcess = 40 * time.Millisecond
)

// PrefillModel estimates the time from an admission to the first event: a part that is the
// same for each request, and a time per prompt token. It is a least-squares line with
// exponential forgetting. It is not safe for concurrent use.
type PrefillModel struct {
	// samples are the decayed sums of the samples.
	samples  lineSums
	overhead time.Duration
	perToken time.Duration
}

// lineSums are the sums of a weighted regression; x is in thousands of tokens and y in
// milliseconds, so that all sums have a similar size.
type lineSums struct {
	weight, x, y, xx, xy float64
}

func (s *lineSums) add(weight, x, y float64) {
	s.weight += weight
	s.x += weight * x
	s.y += weight * y
	s.xx += weight * x * x
	s.xy += weight * x * y
}

// NewPrefillModel returns a model with the initial values.
func NewPrefillModel() PrefillModel {
	return PrefillModel{overhead: initialOverhead, perToken: initialPrefillPerToken}
}

// Overhead returns the part of the time to the first event that does not depend on the
// prompt.
func (m *PrefillModel) Overhead() time.Duration { return m.overhead }

// PerToken returns the time to prefill one token.
func (m *PrefillModel) PerToken() time.Duration { return m.perToken }

// Prefill returns the time during which a prompt occupies the engine.
func (m *PrefillModel) Prefill(tokens int) time.Duration {
	return time.Duration(tokens) * m.perToken
}

// Observe adds a measured time from an admission to the first event.
func (m *PrefillModel) Observe(tokens int, took time.Duration) {
	if tokens <= 0 {
		return
	}
	expected := m.overhead + m.Prefill(tokens)
	took = min(max(took, expected/3), time.Duration(maxSampleFactor*float64(expected))+maxSampleExcess)
	m.samples.weight *= sampleRetention
	m.samples.x *= sampleRetention
	m.samples.y *= sampleRetention
	m.samples.xx *= sampleRetention
	m.samples.xy *= sampleRetention
	m.samples.add(1, float64(tokens)/1000, milliseconds(took))
	m.solve()
}

// solve fits the line. If its overhead is out of bounds, the slope is fitted anew for the
// bound.
func (m *PrefillModel) solve() {
	s := m.samples
	for _, tokens := range []int{priorShort, priorLong} {
		s.add(priorWeight, float64(tokens)/1000, milliseconds(initialOverhead+time.Duration(tokens)*initialPrefillPerToken))
	}
	slope := (s.weight*s.xy - s.x*s.y) / (s.weight*s.xx - s.x*s.x)
	slope = min(max(slope, perTokenSlope(minPrefillPerToken)), perTokenSlope(maxPrefillPerToken))
	overhead := (s.y - slope*s.x) / s.weight
	if bound := min(max(overhead, milliseconds(minOverhead)), milliseconds(maxOverhead)); bound != overhead {
		overhead = bound
		slope = (s.xy - overhead*s.x) / s.xx
	}
	m.overhead = time.Duration(overhead * float64(time.Millisecond))
	m.perToken = min(max(time.Duration(slope*float64(time.Microsecond)), minPrefillPerToken), maxPrefillPerToken)
}

// perTokenSlope returns the slope of a time per token: microseconds per token are
// milliseconds per thousand tokens.
func perTokenSlope(perToken time.Duration) float64 {
	return float64(perToken) / float64(time.Microsecond)
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
