package relay

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/quarantine"
	"github.com/barleylift/barleylift/internal/topology"
)

const (
	// beginningTime is how long after its first event a stream still ends when its request
	// is blocked. Later it goes on: its end shows whether engines crash on the request.
	beginningTime = 300 * time.Millisecond
	// maxEnginesEnded is the number of engines that may end under one request. It is not
	// sent to another one then.
	maxEnginesEnded = 2
	// Callers of requests that no engine gets come back after withheldReturn at the
	// earliest, spread over as much time again: nothing will have changed before. Where a
	// trial will soon show whether the request is sound, it is unprovenReturn.
	withheldReturn = 20 * time.Second
	unprovenReturn = 2 * time.Second
	// maxLoggedParts bounds the prompt parts in one line of the log.
	maxLoggedParts = 8
)

// errWithheld ends a send that engines have not begun to answer when its request is blocked.
var errWithheld = errors.New("engines crash on the request")

// promptAttribute returns the parts of the request's prompt for the log.
func (e *exchange) promptAttribute() slog.Attr {
	parts := e.call.PromptParts
	texts := make([]string, 0, maxLoggedParts)
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		texts = append(texts, part.String())
	}
	return slog.Group("prompt", "parts", texts, "count", len(parts))
}

// refuseIfBlocked refuses a new request if engines crash on it, and reports whether it did.
func (e *exchange) refuseIfBlocked() bool {
	e.verdict = e.relay.config.Quarantine.Judge(e.subject)
	if e.verdict.Trial {
		e.relay.log.Info("request tries again what engines have crashed on", "id", e.call.ID, "cause", e.verdict.Key.String())
	}
	if e.verdict.Blocked {
		e.withhold(e.verdict)
	}
	return e.verdict.Blocked
}

// withholdIfBlocked ends the request before a send if engines have crashed on it meanwhile,
// and reports whether it did.
func (e *exchange) withholdIfBlocked() bool {
	verdict := e.relay.config.Quarantine.Recheck(e.subject, e.verdict)
	if verdict.Blocked {
		e.withhold(verdict)
	}
	return verdict.Blocked
}

func (e *exchange) withhold(verdict quarantine.Verdict) {
	e.relay.config.Metrics.RequestWithheld(e.service.Name)
	e.relay.log.Info("request reaches no engine, as engines crash on it", "id", e.call.ID, "cause", verdict.Key.String(), "unproven", verdict.Unproven, "begun", e.headSent, "sends", e.sends,
		"fingerprint", e.subject.Fingerprint.String(), e.promptAttribute())
	earliest := withheldReturn
	if verdict.Unproven {
		earliest = unprovenReturn
	}
	spread := time.Duration(float64(e.random()) / math.MaxUint64 * float64(earliest))
	e.giveUp(http.StatusBadGateway, earliest+spread, errWithheld.Error()+": "+verdict.Key.String())
}

// recordProgress lets a stream that has got past its beginning go on if its request is
// blocked.
func (e *exchange) recordProgress(now time.Time) {
	if !e.pastBeginning && now.Sub(e.engineBeganAt) >= beginningTime {
		e.pastBeginning = true
		e.relay.beginnings.remove(e)
	}
}

// recordAnswer records that an upstream has answered the request whole. One that failed may
// not have run the request so far that it would have crashed, and neither may one whose
// answer goes on: engines crash at any moment of an answer.
func (e *exchange) recordAnswer(status int) {
	if !e.engineAnswered && !e.viaVM && status < http.StatusInternalServerError {
		e.engineAnswered = true
		e.relay.beginnings.remove(e)
		e.relay.config.Quarantine.EngineAnswered(e.call.ID, e.subject)
	}
}

// recordEngineFailure records that an engine broke off the request. begun is set if it
// had begun to answer.
func (e *exchange) recordEngineFailure(upstream topology.Upstream, begun bool) {
	if e.engineAnswered || e.viaVM || e.ctx.Err() != nil {
		return
	}
	failure := quarantine.Failure{Request: e.subject, Begun: begun, SentAt: e.sentAt, At: clock.Boot()}
	// A replica answers at once and whole: it may have run the request, whatever it sent.
	mayHaveBegun := begun || e.service.Engines == nil
	record := func(ctx context.Context) {
		if e.relay.config.Quarantine.EngineFailed(ctx, e.call.ID, upstream, failure) && mayHaveBegun {
			e.enginesEnded.Add(1)
		}
	}
	// A stream that had got past its beginning goes on at another engine at once, the first
	// time, and so does a request that had not begun.
	goesOn := !begun || e.pastBeginning && e.enginesEnded.Load() == 0
	if !goesOn || mayHaveBegun && (e.verdict.Trial || e.possibleRuns > 1) {
		record(e.ctx)
		return
	}
	go record(context.WithoutCancel(e.ctx))
}

// giveUpIfEndingEngines ends the request if so many engines have ended under it that it
// is not sent to another one, and reports whether it did.
func (e *exchange) giveUpIfEndingEngines() bool {
	ended := e.enginesEnded.Load()
	if ended < maxEnginesEnded && !(e.verdict.Trial && ended > 0) {
		return false
	}
	e.giveUp(http.StatusBadGateway, 0, "engines have ended under the request")
	return true
}

// beginSend returns the context of a send, which ends when the request is blocked. end must
// be called when the send is over.
func (e *exchange) beginSend(parent context.Context) (ctx context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(parent)
	e.sendCtx, e.sentAt = ctx, clock.Boot()
	e.relay.sending.Add(1)
	e.relay.beginnings.add(e, cancel)
	return ctx, func() {
		e.relay.sending.Add(-1)
		e.relay.beginnings.remove(e)
		cancel(nil)
	}
}

// isCanceledByBlock reports whether the current send has ended because the request was
// blocked.
func (e *exchange) isCanceledByBlock() bool {
	return errors.Is(context.Cause(e.sendCtx), errWithheld)
}

// beginnings holds the requests whose engines have not got past the beginning of their
// answers. It is safe for concurrent use.
type beginnings struct {
	mu        sync.Mutex // guards exchanges; not held while a request is canceled
	exchanges map[*exchange]context.CancelCauseFunc
}

func (b *beginnings) add(e *exchange, cancel context.CancelCauseFunc) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.exchanges == nil {
		b.exchanges = make(map[*exchange]context.CancelCauseFunc)
	}
	b.exchanges[e] = cancel
}

func (b *beginnings) remove(e *exchange) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.exchanges, e)
}

// with returns what cancels the requests with a key.
func (b *beginnings) with(key quarantine.Key) (cancels []context.CancelCauseFunc) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for e, cancel := range b.exchanges {
		if slices.Contains(e.subject.Keys(), key) {
			cancels = append(cancels, cancel)
		}
	}
	return cancels
}

// Withhold cancels the requests with a key that engines have not begun to answer: an engine
// that still has one waiting doesn't run it then.
func (r *Relay) Withhold(key quarantine.Key) {
	for _, cancel := range r.beginnings.with(key) {
		cancel(errWithheld)
	}
}
