package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/steer"
	"github.com/barleylift/barleylift/internal/topology"
)

// Limits of requests to plain services.
const (
	// tryTimeoutFactor is the time, in multiples of the latency objective, after
	// which a request that may be repeated is tried at another replica.
	tryTimeoutFactor = 2
	// minTryTimeout is the shortest such time.
	minTryTimeout = 400 * time.Millisecond
	// maxBufferedBytes is the size up to which a response is read completely
	// before its head is forwarded, so that the request can be resent if the
	// response is truncated.
	maxBufferedBytes = 256 << 10
	// maxAnswerBytes limits a forwarded response, far above any real one: a faulty
	// upstream may send bytes without end.
	maxAnswerBytes = 64 << 20
)

// servePlain sends the request to replicas until one has responded or the
// request has ended.
func (e *exchange) servePlain() {
	rounds := 0
	for !e.endIfExpired() && !e.endIfTooLateToSend() && !e.endIfKeyRevoked() {
		if handled, ended := e.passOn(); ended {
			return
		} else if handled {
			continue
		}
		if e.endIfOverQuota() {
			return
		}
		replicas := e.relay.config.Locator.Replicas(e.service.Name, e.tried, e.random())
		id, ok := steer.PickReplica(replicas)
		if !ok && e.awaitNextTurn(false) {
			continue
		}
		if !ok {
			if rounds > 0 || len(e.tried) == 0 || e.possibleRuns > 0 {
				e.giveUpForNow("no replica can take the request")
				return
			}
			rounds++
			e.tried = nil
			clock.Sleep(e.ctx, declinedBackoff)
			continue
		}
		if e.relay.config.Locator.IsFragile(e.service.Name) {
			if e.tryFragileReplica(replicas) {
				return
			}
			continue
		}
		if e.tryReplica(id) {
			return
		}
	}
}

// tryFragileReplica sends the request to one of several replicas that has a place for it and
// reports whether the request has ended.
func (e *exchange) tryFragileReplica(replicas []steer.Replica) bool {
	place, ok := e.acquirePlace(replicas)
	if !ok {
		if !e.endIfExpired() {
			e.giveUpForNow("no replica has a place for the request")
		}
		return true
	}
	e.upstreamDone = true // until something is sent
	defer func() { place.Release(e.upstreamDone) }()
	return e.tryReplica(place.Upstream)
}

// tryReplica sends the request to a replica and reports whether the request
// has ended.
func (e *exchange) tryReplica(id string) bool {
	locator := e.relay.config.Locator
	if !locator.AwaitTurn(e.ctx, id) {
		e.relay.config.Metrics.TurnDeclined(e.service.Name)
		e.relay.log.Info("replica has no room within its rate limit", "id", e.call.ID, "upstream", id)
		return false
	}
	if e.withholdIfBlocked() {
		return true
	}
	upstream, ok := locator.Upstream(id, true)
	if !ok {
		e.tried = append(e.tried, id)
		return false
	}
	if e.sends > 0 && !e.allowResend("replica") {
		e.giveUp(http.StatusBadGateway, retryAfterBudget, e.resendRefusal())
		return true
	}
	e.upstreamID = id
	locator.BeginRequest(id, topology.Adapter{}, false)
	defer locator.EndRequest(id, topology.Adapter{}, false)
	ctx, cancel := e.tryContext()
	defer cancel()
	ctx, end := e.beginSend(ctx)
	defer end()
	started := time.Now()
	result := e.send(ctx, upstream, true, SendParams{})
	e.upstreamDone = !result.written
	e.countSend(result)
	if result.err != nil {
		return e.handleSendFailure(upstream, result)
	}
	if result.head.NotRun || result.head.Misdirected {
		e.relay.log.Info("replica refused a request", "id", e.call.ID, "upstream", id, "status", result.response.StatusCode, result.logAttributes())
		e.relay.config.Metrics.Refusal(e.service.Name, result.head.RequestID != "")
		e.tried = append(e.tried, id)
		if result.head.Misdirected {
			locator.RecordFailure(id)
		}
		drain(result)
		e.upstreamDone = true
		return false
	}
	if result.response.StatusCode >= 500 {
		return e.forwardFailure(upstream, result)
	}
	ended := e.forwardBody(upstream, result)
	if e.outcome == outcomeAnswered {
		locator.RecordSuccess(id, time.Since(started))
	}
	return ended
}

// tryContext limits one try of a request that may be repeated.
func (e *exchange) tryContext() (context.Context, context.CancelFunc) {
	if !e.route.Idempotent() || e.possibleRuns+1 >= e.route.MaxAttempts {
		return context.WithCancel(e.ctx)
	}
	return context.WithTimeoutCause(e.ctx, max(tryTimeoutFactor*e.route.LatencyObjective, minTryTimeout), errTryTimeout)
}

var (
	errTryTimeout = errors.New("the replica took too long")
	errTruncated  = errors.New("the answer broke off")
	errEndless    = errors.New("the answer is longer than any real one")
)

// forwardBody forwards a response with its complete body and reports whether
// the request has ended. A short body is read before the head is sent, if there is room.
func (e *exchange) forwardBody(upstream topology.Upstream, result sendResult) bool {
	buffered, complete, err := e.held.readBeginning(result.response.Body, maxBufferedBytes)
	if err == nil && len(buffered) == 0 && !result.response.Framed() && result.response.StatusCode/100 == 2 && e.call.Method != http.MethodHead {
		err = io.ErrUnexpectedEOF // an answer that is empty says so by its framing
	}
	if err != nil {
		result.response.Discard()
		return e.handleSendFailure(upstream, sendResult{err: errors.Join(errTruncated, err), written: true, begun: true})
	}
	if complete {
		e.upstreamDone = true
		e.recordAnswer(result.response.StatusCode)
		result.response.Release()
		e.w.Header().Set("Content-Length", strconv.Itoa(len(buffered)))
	}
	e.headSent = true
	e.status = result.response.StatusCode
	e.writeHead(result)
	e.outcome = outcomeAnswered
	if _, err := e.w.Write(buffered); err != nil {
		return e.endCallerLeft(result)
	}
	if complete {
		return true
	}
	n, err := io.Copy(e.w, io.LimitReader(result.response.Body, maxAnswerBytes))
	if err != nil || n == maxAnswerBytes {
		result.response.Discard()
		return e.endBroken("the answer broke off or has no end")
	}
	result.response.Release()
	return true
}
