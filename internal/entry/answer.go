package entry

import (
	"net/http"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/metrics"
)

// responseSink writes the response to one model call. It implements call.Sink
// and is used by one goroutine.
type responseSink struct {
	w          http.ResponseWriter
	control    *http.ResponseController
	call       call.ModelRequest
	metrics    *metrics.Set
	arrivedAt  time.Time
	lastPartAt time.Time
	// parts and tokens count what has been written.
	parts  int
	tokens int
}

func newResponseSink(w http.ResponseWriter, m call.ModelRequest, set *metrics.Set, arrived time.Time) *responseSink {
	return &responseSink{w: w, control: http.NewResponseController(w), call: m, metrics: set, arrivedAt: arrived}
}

// Deliver writes one part. A stream is flushed after each part; a response that
// is not streamed consists of one part.
func (s *responseSink) Deliver(part call.Part) error {
	s.observeLatency(part)
	if s.parts == 0 {
		s.writeHeader()
	}
	s.parts++
	s.tokens += part.Tokens
	if !s.call.Stream {
		_, err := s.w.Write(part.Data)
		return err
	}
	return s.writeEvent(part.Data)
}

func (s *responseSink) observeLatency(part call.Part) {
	now := time.Now()
	if s.parts == 0 {
		s.metrics.FirstToken(s.call.Customer, s.call.Profile, now.Sub(s.arrivedAt))
	} else if part.Tokens > 0 {
		s.metrics.BetweenTokens(s.call.Customer, s.call.Profile, now.Sub(s.lastPartAt)/time.Duration(part.Tokens))
	}
	s.lastPartAt = now
}

func (s *responseSink) writeHeader() {
	header := s.w.Header()
	if !s.call.Stream {
		header.Set("Content-Type", "application/json")
		header.Set(call.OutcomeHeader, string(call.Done))
		return
	}
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("Trailer", call.OutcomeHeader)
	s.w.WriteHeader(http.StatusOK)
}

func (s *responseSink) writeEvent(data []byte) error {
	frame := make([]byte, 0, len(data)+len("data: \n\n"))
	frame = append(frame, "data: "...)
	frame = append(frame, data...)
	frame = append(frame, "\n\n"...)
	if _, err := s.w.Write(frame); err != nil {
		return err
	}
	return s.control.Flush()
}

// finish ends the response: with an error response if no part was written,
// otherwise, in a stream, with [DONE] or an error event and the outcome
// trailer.
func (s *responseSink) finish(result call.Result) {
	if s.parts == 0 {
		call.WriteResult(s.w, result)
		return
	}
	if !s.call.Stream {
		return
	}
	s.w.Header().Set(call.OutcomeHeader, string(result.Outcome))
	if result.Outcome == call.Done {
		_ = s.writeEvent([]byte("[DONE]"))
		return
	}
	s.writeErrorEvent(result)
}

// writeErrorEvent ends a stream early with an error event.
func (s *responseSink) writeErrorEvent(result call.Result) {
	if _, err := s.w.Write([]byte("event: error\n")); err != nil {
		return
	}
	_ = s.writeEvent(result.ErrorBody())
}
