package relay

import (
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/cost"
	"github.com/barleylift/barleylift/internal/routing"
	"github.com/barleylift/barleylift/internal/steer"
)

// estimates learns what requests cost. It is safe for concurrent use.
type estimates struct {
	mu        *sync.Mutex // guards estimator; held for the time of one calculation
	estimator *cost.Estimator
}

func newEstimates() estimates {
	return estimates{mu: &sync.Mutex{}, estimator: cost.NewEstimator()}
}

func (s estimates) estimate(key cost.Key, request cost.Request) cost.Estimate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimator.Estimate(clock.Boot(), key, request)
}

func (s estimates) recordOutput(key cost.Key, request cost.Request, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.estimator.RecordOutput(clock.Boot(), key, request, tokens)
}

// expectation is what was expected of a request when its engine was chosen.
type expectation struct {
	cost  cost.Estimate
	links []cost.Link
	// chosen is that of the last choice, which was made at chosenAt.
	chosen   steer.Expected
	chosenAt time.Time
	// logged is set once the estimate was logged.
	logged bool
}

func (e *exchange) costKey() cost.Key {
	return cost.Key{Route: e.route.Name, Customer: e.customerName()}
}

func (e *exchange) costRequest() cost.Request {
	return cost.Request{PromptTokens: e.call.PromptTokens, Hint: e.call.LengthHint, MaxOutputTokens: e.call.MaxOutputTokens}
}

// estimateCost estimates what the request costs.
func (e *exchange) estimateCost() {
	e.expected.cost = e.relay.estimates.estimate(e.costKey(), e.costRequest())
	parts := make([]cost.Part, 0, len(e.call.PromptParts))
	for i, part := range e.call.PromptParts {
		if i < len(e.call.PartTokens) {
			parts = append(parts, cost.Part{ID: uint64(part), Tokens: e.call.PartTokens[i]})
		}
	}
	e.expected.links = cost.Links(e.call.Adapter.String(), parts)
}

// pickEngine selects an engine. Once all engines were tried, it waits and
// considers all of them again.
func (e *exchange) pickEngine() (steer.Choice, bool) {
	engines := e.relay.config.Locator.Engines(e.need(), e.tried)
	if len(engines) == 0 && len(e.tried) > 0 {
		if !clock.Sleep(e.ctx, declinedBackoff) {
			return steer.Choice{}, false
		}
		e.tried = nil
		engines = e.relay.config.Locator.Engines(e.need(), nil)
	}
	e.onlyEngine = len(engines) == 1
	choice, ok := steer.PickEngine(e.call.Adapter, engines, e.random())
	if ok {
		e.recordChoice(choice)
	}
	return choice, ok
}

// recordChoice records what is expected at the chosen engine, and logs that once a request.
func (e *exchange) recordChoice(choice steer.Choice) {
	e.expected.chosen, e.expected.chosenAt = choice.Expected, time.Now()
	if e.expected.logged || choice.Expected == (steer.Expected{}) {
		return
	}
	e.expected.logged = true
	x, known := choice.Expected, e.expected.cost
	e.relay.log.Info("engine chosen by expected time", "id", e.call.ID, "engine", choice.Engine, "load", choice.NeedsLoad,
		"first_ms", x.Total().Milliseconds(), "wait_ms", x.Wait.Milliseconds(), "load_ms", x.Load.Milliseconds(), "prefill_ms", x.Prefill.Milliseconds(),
		"unread", x.PromptTokens, "report_age_ms", min(x.Age, time.Hour).Milliseconds(), "prompt", known.PromptTokens, "hint", e.call.LengthHint,
		"output", known.OutputTokens, "memory", known.MemoryTokens, "observations", int(known.Observations), "observed_ms_ago", known.Age.Milliseconds())
}

// compareFirstEvent compares the time to the first event with the expected one, unless the
// request was sent several times or takes up a stream.
func (e *exchange) compareFirstEvent(now time.Time) {
	expected := e.expected.chosen.Total()
	if expected > 0 && e.sends == 1 && e.call.LastEventID == "" && !e.viaVM {
		e.relay.config.Metrics.FirstEventEstimate(e.route.Name, expected, now.Sub(e.expected.chosenAt))
	}
}

// learnCost records the output of a stream that has ended whole.
func (e *exchange) learnCost() {
	if e.service.Engines == nil || e.route.Kind != routing.Streaming || e.outcome != outcomeAnswered || e.call.LastEventID != "" || e.events == 0 {
		return
	}
	e.relay.estimates.recordOutput(e.costKey(), e.costRequest(), e.events*cost.TokensPerEvent)
}
