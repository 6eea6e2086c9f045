package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/barleylift/barleylift/internal/topology"
)

var errOrder = errors.New("the events of the stream are out of order")

// passStream passes on the events of a stream and reports whether the request
// has ended. After a break, a resumable stream goes on at another engine.
func (e *exchange) passStream(upstream topology.Upstream, result sent) bool {
	reader := newEventReader(result.response.Body)
	controller := http.NewResponseController(e.w)
	for {
		event, rest, err := reader.next()
		if err != nil {
			return e.streamEnded(upstream, result, rest, err)
		}
		if !e.follows(event.id) {
			return e.streamEnded(upstream, result, nil, errOrder)
		}
		e.begun(false)
		e.sendHead(result)
		if _, err := e.w.Write(event.raw); err != nil {
			return e.callerLost(result)
		}
		if err := controller.Flush(); err != nil {
			return e.callerLost(result)
		}
		if event.id != "" {
			e.lastEvent = event.id
		}
		e.passed(time.Now())
	}
}

// passed notes an event that was passed on.
func (e *exchange) passed(now time.Time) {
	if e.events == 0 {
		e.first = now.Sub(e.arrived)
		e.relay.config.Metrics.FirstEvent(e.route.Name, e.first)
	} else {
		e.pause = max(e.pause, now.Sub(e.last))
	}
	e.last = now
	e.events++
}

// follows reports whether an event's identifier is higher than that of the
// event before it.
func (e *exchange) follows(id string) bool {
	if id == "" || e.lastEvent == "" {
		return true
	}
	next, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return true
	}
	last, err := strconv.ParseInt(e.lastEvent, 10, 64)
	return err != nil || next > last
}

// sendHead passes on the head of the first engine's answer, once.
func (e *exchange) sendHead(result sent) {
	if e.headSent {
		return
	}
	e.headSent = true
	e.status = result.response.StatusCode
	e.writeHead(result)
}

func (e *exchange) writeHead(result sent) {
	header := e.w.Header()
	for name, values := range e.relay.config.Protocol.ResponseHeader(result.response.Header) {
		header[name] = values
	}
	// nil keeps net/http from guessing what the upstream did not state.
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := header[name]; !ok {
			header[name] = nil
		}
	}
	e.w.WriteHeader(result.response.StatusCode)
}

func (e *exchange) callerLost(result sent) bool {
	result.response.Discard()
	e.outcome = outcomeLeft
	return true
}

// streamEnded judges the end of a stream from one engine.
func (e *exchange) streamEnded(upstream topology.Upstream, result sent, rest []byte, err error) bool {
	engines := e.relay.config.Locator
	if err == io.EOF && (result.response.Framed() || len(rest) == 0) {
		e.sendHead(result)
		if len(rest) > 0 {
			if _, err := e.w.Write(rest); err != nil {
				return e.callerLost(result)
			}
		}
		result.response.Release()
		engines.RecordSuccess(upstream.ID, 0)
		e.outcome = outcomeAnswered
		return true
	}
	result.response.Discard()
	if e.ctx.Err() != nil {
		return e.over()
	}
	e.relay.log.Info("stream broke off", "id", e.call.ID, "upstream", upstream.ID, "events", e.events, "last_event", e.lastEvent, "error", err)
	engines.RecordFailure(upstream.ID)
	e.tried = append(e.tried, upstream.ID)
	if !e.mayRunAgain() {
		e.giveUp(http.StatusBadGateway, 0, "the engine broke the stream off")
		return true
	}
	return false
}
