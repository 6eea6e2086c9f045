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

// Constants of requests to plain services.
const (
	// tryFactor is how many objectives a replica may take over a request that
	// may be repeated before another one is tried.
	tryFactor = 2
	// leastTry is the least such time.
	leastTry = 400 * time.Millisecond
	// heldBody is the size up to which an answer is read whole before its head
	// is passed on, so that one that breaks off can still be replaced; in bytes.
	heldBody = 256 << 10
)

// servePlain sends the request to replicas until one has answered it.
func (e *exchange) servePlain() {
	rounds := 0
	for !e.over() {
		replicas := e.relay.config.Locator.Replicas(e.service.Name, e.tried)
		id, ok := steer.PickReplica(replicas)
		if !ok {
			if rounds > 0 || len(e.tried) == 0 || e.runs > 0 {
				e.giveUp(http.StatusBadGateway, retryAfterBusy, "no replica can take the request")
				return
			}
			rounds++
			e.tried = nil
			clock.Sleep(e.ctx, declinedSleep)
			continue
		}
		if e.tryReplica(id) {
			return
		}
	}
}

// tryReplica sends the request to a replica and reports whether the request
// has ended.
func (e *exchange) tryReplica(id string) bool {
	locator := e.relay.config.Locator
	upstream, ok := locator.Upstream(id)
	if !ok {
		e.tried = append(e.tried, id)
		return false
	}
	if e.sends > 0 && !e.mayRepeat("replica") {
		e.giveUp(http.StatusBadGateway, retryAfterBudget, e.repeatRefused())
		return true
	}
	e.upstream = id
	locator.BeginRequest(id, topology.Adapter{}, false)
	defer locator.EndRequest(id, topology.Adapter{}, false)
	ctx, cancel := e.tryContext()
	defer cancel()
	started := time.Now()
	result := e.send(ctx, upstream, SendParams{}, e.reuse())
	e.count(result)
	if result.err != nil {
		return e.sendFailed(id, result)
	}
	if result.head.NotRun || result.head.Misdirected {
		e.relay.log.Info("replica refused a request", "id", e.call.ID, "upstream", id, "status", result.response.StatusCode)
		e.tried = append(e.tried, id)
		if result.head.Misdirected {
			locator.RecordFailure(id)
		}
		drain(result)
		return false
	}
	if result.response.StatusCode >= 500 {
		return e.passFailure(upstream, result)
	}
	ended := e.passBody(upstream, result)
	if e.outcome == outcomeAnswered {
		locator.RecordSuccess(id, time.Since(started))
	}
	return ended
}

// tryContext bounds one try of a request that may be repeated.
func (e *exchange) tryContext() (context.Context, context.CancelFunc) {
	if !e.route.Idempotent() || e.runs+1 >= e.route.MaxAttempts {
		return context.WithCancel(e.ctx)
	}
	return context.WithTimeoutCause(e.ctx, max(tryFactor*e.route.LatencyObjective, leastTry), errSlowTry)
}

var (
	errSlowTry = errors.New("the replica took too long")
	errCut     = errors.New("the answer broke off")
)

// passBody passes an answer with its whole body on and reports whether the
// request has ended. A short body is read before the head is sent.
func (e *exchange) passBody(upstream topology.Upstream, result sent) bool {
	held, err := io.ReadAll(io.LimitReader(result.response.Body, heldBody))
	if err != nil {
		result.response.Discard()
		return e.sendFailed(upstream.ID, sent{err: errors.Join(errCut, err), written: true})
	}
	whole := len(held) < heldBody
	if whole {
		result.response.Release()
		e.w.Header().Set("Content-Length", strconv.Itoa(len(held)))
	}
	e.headSent = true
	e.status = result.response.StatusCode
	e.writeHead(result)
	e.outcome = outcomeAnswered
	if _, err := e.w.Write(held); err != nil {
		return e.callerLost(result)
	}
	if whole {
		return true
	}
	if _, err := io.Copy(e.w, result.response.Body); err != nil {
		result.response.Discard()
		return e.broken("the answer broke off")
	}
	result.response.Release()
	return true
}
