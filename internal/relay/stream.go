package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/barleylift/barleylift/internal/topology"
)

var errEventOrder = errors.New("the events of the stream are out of order")

// forwardStream forwards the events of a stream and reports whether the request
// has ended. If the stream is truncated and the route allows the request to run
// again, it is resumed at another engine.
func (e *exchange) forwardStream(upstream topology.Upstream, result sendResult) bool {
	reader := newEventReader(result.response.Body, &e.held)
	controller := http.NewResponseController(e.w)
	recorded := false
	for forwarded := 0; ; {
		event, rest, err := reader.next()
		if hasBytes := err == nil || len(rest) > 0; hasBytes && !recorded {
			if !e.recordOrigin(upstream) {
				return e.handleStreamEnd(upstream, result, nil, errOtherSoftware)
			}
			recorded = true
		}
		if err != nil {
			return e.handleStreamEnd(upstream, result, rest, err)
		}
		if forwarded += len(event.raw); forwarded > maxAnswerBytes {
			return e.handleStreamEnd(upstream, result, nil, errEndless)
		}
		if !e.inOrder(event.id) {
			return e.handleStreamEnd(upstream, result, nil, errEventOrder)
		}
		e.reportAdmissionOver(false)
		e.sendHead(result)
		if _, err := e.w.Write(event.raw); err != nil {
			return e.endCallerLeft(result)
		}
		if err := controller.Flush(); err != nil {
			return e.endCallerLeft(result)
		}
		if event.id != "" {
			e.lastEventID = event.id
		}
		now := time.Now()
		e.recordEvent(now)
		e.recordProgress(now)
	}
}

// recordEvent records the timing of an event that was forwarded.
func (e *exchange) recordEvent(now time.Time) {
	if e.events == 0 {
		e.timeToFirstEvent = now.Sub(e.arrivedAt)
		e.relay.config.Metrics.FirstEvent(e.route.Name, e.timeToFirstEvent)
		e.compareFirstEvent(now)
	} else {
		e.maxEventGap = max(e.maxEventGap, now.Sub(e.lastEventAt))
	}
	if e.engineEvents == 0 {
		e.engineBeganAt = now
	}
	e.engineEvents++
	e.lastEventAt = now
	e.events++
}

// inOrder reports whether an event's identifier is higher than the previous
// event's. Identifiers that are not integers are not compared. The first event with which
// another engine goes on must have one: without it, the event may be anything.
func (e *exchange) inOrder(id string) bool {
	if id == "" && e.goesOn() && e.engineEvents == 0 {
		return false
	}
	if id == "" || e.lastEventID == "" {
		return true
	}
	next, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return true
	}
	last, err := strconv.ParseInt(e.lastEventID, 10, 64)
	return err != nil || next > last
}

// sendHead forwards the head of the first engine's response, once.
func (e *exchange) sendHead(result sendResult) {
	if e.headSent {
		return
	}
	e.headSent = true
	e.status = result.response.StatusCode
	e.writeHead(result)
}

func (e *exchange) writeHead(result sendResult) {
	header := e.w.Header()
	for name, values := range e.relay.config.Protocol.ResponseHeader(result.response.Header) {
		header[name] = values
	}
	// nil stops net/http from adding fields that the upstream did not send.
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := header[name]; !ok {
			header[name] = nil
		}
	}
	e.w.WriteHeader(result.response.StatusCode)
}

func (e *exchange) endCallerLeft(result sendResult) bool {
	result.response.Discard()
	e.outcome = outcomeCallerLeft
	return true
}

// goesOn reports whether the current answer goes on with a stream that another one began.
func (e *exchange) goesOn() bool {
	return e.headSent && e.events > e.engineEvents
}

// hasContent reports whether an answer that ends after a whole event, or without one, may be
// complete: one that is empty must say so by its framing, and not go on with a stream.
func (e *exchange) hasContent(result sendResult) bool {
	return e.engineEvents > 0 || result.response.Framed() && !e.goesOn()
}

// isPlainBody reports whether a complete answer on a streaming route is no stream: it
// has no event, doesn't say that it has any, and doesn't go on with one.
func (e *exchange) isPlainBody(result sendResult) bool {
	if e.goesOn() {
		return false
	}
	mediaType, _, _ := strings.Cut(result.response.Header.Get("Content-Type"), ";")
	isStream := strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
	return e.engineEvents == 0 && !isStream && result.response.Framed()
}

// handleStreamEnd handles the end of a stream from one engine and reports
// whether the request has ended.
func (e *exchange) handleStreamEnd(upstream topology.Upstream, result sendResult, rest []byte, err error) bool {
	engines := e.relay.config.Locator
	if err == io.EOF && (len(rest) == 0 && e.hasContent(result) || e.isPlainBody(result)) {
		e.sendHead(result)
		if len(rest) > 0 {
			if _, err := e.w.Write(rest); err != nil {
				return e.endCallerLeft(result)
			}
		}
		if e.engineEvents > 0 {
			e.recordAnswer(result.response.StatusCode)
		}
		result.response.Release()
		engines.RecordSuccess(upstream.ID, 0)
		e.outcome = outcomeAnswered
		return true
	}
	result.response.Discard()
	if e.ctx.Err() != nil {
		return e.endIfExpired()
	}
	if e.isCanceledByBlock() {
		return e.withholdIfBlocked()
	}
	e.relay.log.Info("stream from the engine failed", "id", e.call.ID, "upstream", upstream.ID, "events", e.events, "last_event", e.lastEventID, "error", err,
		"engine_events", e.engineEvents, "fingerprint", e.subject.Fingerprint.String(), e.promptAttribute())
	engines.RecordFailure(upstream.ID)
	e.recordEngineFailure(upstream, true)
	e.tried = append(e.tried, upstream.ID)
	if e.viaVM && e.lastEventID != "" {
		e.softwareVersion, _ = e.relay.config.Origins.FindOrigin(e.ctx, e.firstTry())
	}
	if !e.mayRunAgain() || !e.mayGoOn() {
		e.giveUp(http.StatusBadGateway, 0, "the engine broke the stream off")
		return true
	}
	return e.giveUpIfEndingEngines()
}
