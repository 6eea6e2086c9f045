package admission

import "time"

// Constants of the pace of admissions.
const (
	// prefillPauseShare is the share of the pause objective that prompts may take to
	// prefill in one go; the rest is left to the steps between them.
	prefillPauseShare = 0.6
	// defaultPauseObjective applies to routes without a pause objective.
	defaultPauseObjective = 300 * time.Millisecond
	// eventSteps is the number of steps between two goes. An event holds 3 to 5 tokens, so
	// it is delayed by one go only. Prompts reach the engine some 10 ms earlier or later
	// than expected; where two goes of their size exceed the objective most, after a prompt
	// that takes longer than a go may and on slow engines, some more steps make up for that.
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
	// unreportedGoes is the number of goes whose first events may be outstanding: one is
	// reported while the next one is prefilled.
	unreportedGoes = 2
	// lateReport is how much later than expected a first event is reported by an engine
	// that has stalled: messages take up to 20 ms.
	lateReport = 60 * time.Millisecond
)

// pacer follows the time during which admitted prompts occupy the engine. Prompts are
// admitted in goes: those of one go are prefilled without a pause for the running streams,
// and the next go begins once these have had the steps of an event.
type pacer struct {
	model PrefillModel
	// busyUntil is when the engine will have prefilled all admitted prompts.
	busyUntil time.Duration
	// goWork is the prefill time of the present go, and isLong is set if that is beyond the
	// limit of a go: a single prompt is.
	goWork time.Duration
	isLong bool
	// unreported is the prefill time of admitted prompts without a reported first event.
	unreported time.Duration
	// silent is set while the engine has not reported a first event since an admission
	// that has expired: it may have stalled.
	silent bool
}

func newPacer() pacer {
	return pacer{model: NewPrefillModel()}
}

// goLimit returns the prefill time of one go for a pause objective.
func goLimit(objective time.Duration) time.Duration {
	if objective <= 0 {
		objective = defaultPauseObjective
	}
	return time.Duration(prefillPauseShare * float64(objective))
}

// gap returns the time between two goes.
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

// nextGoAt returns when the next go may begin.
func (p *pacer) nextGoAt() time.Duration {
	if p.goWork == 0 {
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
	work, limit := p.model.Prefill(tokens), goLimit(objective)
	if now < p.nextGoAt() && p.goWork+work > limit {
		return false
	}
	if p.unreported == 0 {
		return true
	}
	if p.silent {
		return p.unreported+work <= limit
	}
	return p.unreported+work <= unreportedGoes*limit+p.model.Overhead()
}

// admit counts a prompt that is admitted, and returns its prefill time.
func (p *pacer) admit(now time.Duration, tokens int, objective time.Duration) time.Duration {
	if now >= p.nextGoAt() {
		p.goWork = 0
	}
	// An empty prompt counts as one token, so that a go with it has begun.
	work := p.model.Prefill(max(tokens, 1))
	p.goWork += work
	p.isLong = p.goWork > goLimit(objective)
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
