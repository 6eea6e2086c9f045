package entry

import (
	"net/http"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/metrics"
)

// answer writes one model call's answer. It implements call.Sink and is used
// by one goroutine.
type answer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	call    call.ModelRequest
	metrics *metrics.Set
	arrived time.Time
	last    time.Time
	// parts and tokens count what was written.
	parts  int
	tokens int
}

func newAnswer(w http.ResponseWriter, m call.ModelRequest, set *metrics.Set, arrived time.Time) *answer {
	return &answer{w: w, control: http.NewResponseController(w), call: m, metrics: set, arrived: arrived}
}

// Deliver writes one part. A stream is flushed after each part; an answer
// that is not streamed is one part and is written by finish.
func (a *answer) Deliver(part call.Part) error {
	a.observe(part)
	if a.parts == 0 {
		a.begin()
	}
	a.parts++
	a.tokens += part.Tokens
	if !a.call.Stream {
		_, err := a.w.Write(part.Data)
		return err
	}
	return a.event(part.Data)
}

func (a *answer) observe(part call.Part) {
	now := time.Now()
	if a.parts == 0 {
		a.metrics.FirstToken(a.call.Customer, a.call.Profile, now.Sub(a.arrived))
	} else if part.Tokens > 0 {
		a.metrics.BetweenTokens(a.call.Customer, a.call.Profile, now.Sub(a.last)/time.Duration(part.Tokens))
	}
	a.last = now
}

func (a *answer) begin() {
	header := a.w.Header()
	if !a.call.Stream {
		header.Set("Content-Type", "application/json")
		header.Set(call.OutcomeHeader, string(call.Done))
		return
	}
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("Trailer", call.OutcomeHeader)
	a.w.WriteHeader(http.StatusOK)
}

func (a *answer) event(data []byte) error {
	frame := make([]byte, 0, len(data)+len("data: \n\n"))
	frame = append(frame, "data: "...)
	frame = append(frame, data...)
	frame = append(frame, "\n\n"...)
	if _, err := a.w.Write(frame); err != nil {
		return err
	}
	return a.control.Flush()
}

// finish ends the answer: before the first part with an error answer, in a
// stream with [DONE] or with an error event, and with the outcome trailer.
func (a *answer) finish(result call.Result) {
	if a.parts == 0 {
		call.WriteResult(a.w, result)
		return
	}
	if !a.call.Stream {
		return
	}
	a.w.Header().Set(call.OutcomeHeader, string(result.Outcome))
	if result.Outcome == call.Done {
		_ = a.event([]byte("[DONE]"))
		return
	}
	a.fail(result)
}

// fail ends a stream early with an error event.
func (a *answer) fail(result call.Result) {
	if _, err := a.w.Write([]byte("event: error\n")); err != nil {
		return
	}
	_ = a.event(result.ErrorBody())
}
