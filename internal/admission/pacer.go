package admission

import "time"

// Constants of the pace of admissions.
const (
	// prefillPauseShare is the share of the pause objective that prompts may take to
	// prefill in one batch; the rest is left to the steps between them.
	prefillPauseShare = 0.6
	// defaultPauseObjective applies to routes without a pause objective.
	defaultPauseObjective = 300 * time.Millisecond
	// eventSteps is the number of steps between two prefill batches. An event holds 3 to 5 tokens, so
	// it is delayed by one go only. Prompts reach the engine some 10 ms earlier or later
	// than expected; where two batches of their size exceed the objective most, after a prompt
	// that takes longer than a batch may and on slow engines, some more steps make up for that.
	eventSteps     = 5
	spareLongSteps = 2
	spareSlowSteps = 2
	// slowPaceFactor is the pace factor from which on an engine counts as slow.
	slowPaceFactor = 1.25
	// stepTime is the time of a step with a full batch on an engine that prefills a token
	// in stepTimePerToken; both follow the engine's pace.
	stepTime         = 10 * time.Millisecond
	stepTimePerToken = 45 * time.Microsecond
	// minPaceFactor and maxPaceFactor bound the pace by which steps are scaled: engines
	// differ from 0.6 to 1.6.
	minPaceFactor = 0.5
	maxPaceFactor = 2.0
	// unreportedBatches is the number of prefill batches whose first events may be outstanding: one is
	// reported while the next one is prefilled.
	unreportedBatches = 2
	// lateReport is how much later than expected a first event is reported by an engine
	// that has stalled: messages take up to 20 ms.
	lateReport = 60 * time.Millisecond
)

// pacer follows the time during which admitted prompts occupy the engine. Prompts are
// admitted in prefill batches: those of one batch are prefilled without a pause for the running streams,
// and the next batch begins once these have had the steps of an event.
type pacer struct {
	model PrefillModel
	// busyUntil is when the engine will have prefilled all admitted prompts.
	busyUntil time.Duration
	// batchWork is the prefill time of the present batch, and isLong is set if that is beyond the
	// limit of a batch: a single prompt is.
	batchWork time.Duration
	isLong    bool
	// unreported is the prefill time of admitted prompts without a reported first event.
	unreported time.Duration
	// silent is set while the engine has not reported a first event since an admission
	// that has expired: it may have stalled.
	silent bool
}

func newPacer() pacer {
	return pacer{model: NewPrefillModel()}
}

// batchLimit returns the prefill time of one batch for a pause objective.
func batchLimit(objective time.Duration) time.Duration {
	if objective <= 0 {
		objective = defaultPauseObjective
	}
	return time.Duration(prefillPauseShare * float64(objective))
}

// gap returns the time between two prefill batches.
func (p *pacer) gap() time.Duration {
	pace := float64(p.model.PerToken()) / float64(stepTimePerToken)
	steps := eventSteps
	if p.isLong {
		steps += spareLongSteps
	}
	if pace > slowPaceFactor {
		steps += spareSlowSteps
	}
	return time.Duration(float64(steps) * float64(stepTime) * min(max(pace, minPaceFactor), maxPaceFactor))
}

// nextBatchAt returns when the next batch may begin.
func (p *pacer) nextBatchAt() time.Duration {
	if p.batchWork == 0 {
		return 0
	}
	return p.busyUntil + p.gap()
}

// backlog returns the time that the engine needs for the admitted prompts.
func (p *pacer) backlog(now time.Duration) time.Duration {
	return max(p.busyUntil-now, 0)
}

// fits reports whether a prompt may be admitted now.
func (p *pacer) fits(now time.Duration, tokens int, objective time.Duration) bool {
	work, limit := p.model.Prefill(tokens), batchLimit(objective)
	if now < p.nextBatchAt() && p.batchWork+work > limit {
		return false
	}
	if p.unreported == 0 {
		return true
	}
	if p.silent {
		return p.unreported+work <= limit
	}
	return p.unreported+work <= unreportedBatches*limit+p.model.Overhead()
}

// admit counts a prompt that is admitted, and returns its prefill time.
func (p *pacer) admit(now time.Duration, tokens int, objective time.Duration) time.Duration {
	if now >= p.nextBatchAt() {
		p.batchWork = 0
	}
	// An empty prompt counts as one token, so that a batch with it has begun.
	work := p.model.Prefill(max(tokens, 1))
	p.batchWork += work
	p.isLong = p.batchWork > batchLimit(objective)
	p.unreported += work
	p.busyUntil = max(p.busyUntil, now) + work
	return work
}

// end counts an admitted prompt that is reported or given up.
func (p *pacer) end(work time.Duration) {
	p.unreported -= work
}

// reported records a first event, which was expected at a time. After a stall the engine
// has yet to prefill what was admitted meanwhile.
func (p *pacer) reported(now, expected time.Duration) {
	p.silent = false
	if now > expected+lateReport {
		p.busyUntil = max(p.busyUntil, now-p.model.Overhead()+p.unreported)
	}
}
