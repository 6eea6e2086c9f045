package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
)

// errEnding ends what the relay still has in flight when the daemon ends.
var errEnding = errors.New("the daemon is ending")

// ending is the state of a relay whose daemon shuts down. It is safe for concurrent use.
type ending struct {
	// begun is done once the daemon shuts down, and over once it ends.
	begun, over   context.Context
	begin, finish context.CancelCauseFunc

	mu sync.Mutex // guards end; held for a few instructions
	// end is when the daemon ends, by clock.Boot.
	end time.Duration
}

func newEnding() *ending {
	e := &ending{}
	e.begun, e.begin = context.WithCancelCause(context.Background())
	e.over, e.finish = context.WithCancelCause(context.Background())
	return e
}

// Drain begins the shutdown of the daemon, which ends after some time. From now on all responses
// close the caller's connection, and no upstream gets a request that usually takes longer than
// what is left.
func (r *Relay) Drain(endsIn time.Duration) {
	r.ending.mu.Lock()
	r.ending.end = clock.Boot() + endsIn
	r.ending.mu.Unlock()
	r.draining.Store(true)
	r.ending.begin(errEnding)
}

// RefuseNew makes the relay refuse new requests; those in flight continue.
func (r *Relay) RefuseNew() {
	r.refusing.Store(true)
}

// End ends the requests in flight with an answer, as far as none has begun.
func (r *Relay) End() {
	r.refusing.Store(true)
	r.ending.finish(errEnding)
}

// timeToSend returns how long requests of a route may still be sent to upstreams; ok is false
// if the daemon doesn't shut down.
func (r *Relay) timeToSend(route string) (left time.Duration, ok bool) {
	if r.ending.begun.Err() == nil {
		return 0, false
	}
	r.ending.mu.Lock()
	defer r.ending.mu.Unlock()
	return r.ending.end - clock.Boot() - r.runTimes.of(route), true
}

// endsTooSoon reports whether the daemon is going to end before the request usually would. A
// stream that has begun goes on for as long as it can.
func (e *exchange) endsTooSoon() bool {
	left, ok := e.relay.timeToSend(e.route.Name)
	return ok && left <= 0 && !e.headSent
}

// endIfTooLateToSend ends the request if the daemon is going to end before it usually would, and
// reports whether it did.
func (e *exchange) endIfTooLateToSend() bool {
	if !e.endsTooSoon() {
		return false
	}
	markUnreachable(e.w, e.passedOn && e.sends == 0)
	e.giveUp(http.StatusBadGateway, retryAfterEnding, errEnding.Error())
	return true
}

// cancelWhenTooLateToSend cancels a wait before a send when the daemon is going to end before
// the request usually would. stop must be called when the wait is over.
func (e *exchange) cancelWhenTooLateToSend(ctx context.Context, cancel context.CancelFunc) (stop func() bool) {
	return context.AfterFunc(e.relay.ending.begun, func() {
		for {
			left, _ := e.relay.timeToSend(e.route.Name)
			if left <= 0 || !clock.Sleep(ctx, left) {
				cancel()
				return
			}
		}
	})
}

// Weights of runTimes: an estimate follows longer runs soon and shorter ones slowly, so that it
// exceeds most of them.
const (
	longerRunWeight  = 0.25
	shorterRunWeight = 0.02
)

// runTimes estimates how long the upstreams take for requests of each route, from the send to
// the end of the answer. It is safe for concurrent use.
type runTimes struct {
	mu      sync.Mutex // guards byRoute; held for a few instructions
	byRoute map[string]time.Duration
}

// of returns the estimate for a route; 0 if none of its requests was answered.
func (t *runTimes) of(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byRoute[route]
}

func (t *runTimes) record(route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	estimate, known := t.byRoute[route]
	weight := shorterRunWeight
	if took > estimate {
		weight = longerRunWeight
	}
	if !known {
		weight = 1
	}
	t.byRoute[route] = estimate + time.Duration(weight*float64(took-estimate))
}
