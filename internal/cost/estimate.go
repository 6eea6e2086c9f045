package cost

import "time"

// Constants of the estimates.
const (
	// TokensPerEvent is the number of output tokens of one event of a stream, from the
	// engines' sheets.
	TokensPerEvent = 3
	// initialOutput and initialHighOutput are the median and the 90th percentile of output
	// tokens assumed before anything is known: the mean and the longest of the sheets.
	initialOutput, initialHighOutput = 170, 600
	// initialRatio is the assumed median of seen over hinted output: the hint is right at the
	// median. initialHighRatio is the 90th percentile.
	initialRatio, initialHighRatio = 1.0, 2.5
	// initialWeight is the number of observations that an initial answer counts as.
	initialWeight = 8
	// initialPrompt is the number of prompt tokens of a request that doesn't say its own.
	initialPrompt = 1200
	// high is the quantile that memory is estimated by.
	high = 0.9
	// maxKeys bounds the pairs of route and customer, about 800 bytes each.
	maxKeys = 256
)

// Key says whose requests are alike.
type Key struct {
	Route    string
	Customer string
}

// Request is what a request says about its cost.
type Request struct {
	// PromptTokens is the length of its prompt; 0 if not stated.
	PromptTokens int
	// Hint is the number of output tokens that the caller expects; 0 if not stated.
	Hint int
	// MaxOutputTokens limits the output; 0 for no limit.
	MaxOutputTokens int
}

// Estimate is what a request will probably cost.
type Estimate struct {
	PromptTokens int
	// OutputTokens is the median, and MemoryTokens the prompt with the 90th percentile of
	// the output.
	OutputTokens int
	MemoryTokens int
	// Observations is the decayed number of observations behind the output, and Age how
	// long ago the last one was made; 0 if there is none.
	Observations float64
	Age          time.Duration
}

// record is what was observed of one key.
type record struct {
	// output counts output tokens, and ratio those over the hinted ones.
	output, ratio histogram
	observedAt    time.Duration
}

// Estimator learns the output of requests. It is not safe for concurrent use.
type Estimator struct {
	records map[Key]*record
}

// NewEstimator returns an estimator that knows nothing.
func NewEstimator() *Estimator {
	return &Estimator{records: make(map[Key]*record)}
}

// Estimate returns what a request will probably cost.
func (e *Estimator) Estimate(now time.Duration, key Key, r Request) Estimate {
	prompt := r.PromptTokens
	if prompt <= 0 {
		prompt = initialPrompt
	}
	known := e.records[key]
	if known == nil {
		known = &record{observedAt: now, output: histogram{decayedAt: now}, ratio: histogram{decayedAt: now}}
	}
	estimate := Estimate{PromptTokens: prompt, Age: max(now-known.observedAt, 0)}
	var median, upper float64
	if r.Hint > 0 {
		median, estimate.Observations = known.ratio.quantile(now, 0.5, initialRatio)
		upper, _ = known.ratio.quantile(now, high, initialHighRatio)
		median, upper = median*float64(r.Hint), upper*float64(r.Hint)
	} else {
		median, estimate.Observations = known.output.quantile(now, 0.5, initialOutput)
		upper, _ = known.output.quantile(now, high, initialHighOutput)
	}
	estimate.OutputTokens = limited(median, r.MaxOutputTokens)
	estimate.MemoryTokens = prompt + limited(max(upper, median), r.MaxOutputTokens)
	return estimate
}

// limited returns a number of tokens of at least 1 and within a limit, if there is one.
func limited(tokens float64, limit int) int {
	if limit > 0 {
		tokens = min(tokens, float64(limit))
	}
	const most = 1 << 30
	return int(max(min(tokens, most), 1))
}

// RecordOutput records the output of a request that has ended by itself.
func (e *Estimator) RecordOutput(now time.Duration, key Key, r Request, tokens int) {
	if tokens <= 0 {
		return
	}
	known := e.records[key]
	if known == nil {
		e.makeRoom()
		known = &record{output: histogram{decayedAt: now}, ratio: histogram{decayedAt: now}}
		e.records[key] = known
	}
	known.observedAt = now
	known.output.add(now, float64(tokens))
	if r.Hint > 0 {
		known.ratio.add(now, float64(tokens)/float64(r.Hint))
	}
}

// makeRoom drops the record that was added to longest ago if there are maxKeys.
func (e *Estimator) makeRoom() {
	if len(e.records) < maxKeys {
		return
	}
	var oldest Key
	found := false
	for key, r := range e.records {
		if !found || r.observedAt < e.records[oldest].observedAt {
			oldest, found = key, true
		}
	}
	delete(e.records, oldest)
}
