package upstream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// errSilent tells that a connection stayed silent while the engine had gone on.
var errSilent = errors.New("the connection went silent")

// maxFailedProbes is the number of look-ups in a row that may fail before a
// silent connection is given up.
const maxFailedProbes = 3

// watchdog bounds the silence of one exchange. When nothing arrived for the
// idle time it looks the call up on a new connection. A call that runs and has
// nothing more to send is left alone; otherwise the exchange is given up
// after one more look-up that finds the same.
type watchdog struct {
	client *EngineClient
	answer *answer
	cancel context.CancelFunc

	mu       sync.Mutex
	timer    *time.Timer
	stopped  bool
	silent   bool
	suspect  bool
	failures int
	touches  int
}

// newWatchdog starts a watchdog that gives up the exchange by calling cancel.
func (c *EngineClient) newWatchdog(a *answer, cancel context.CancelFunc) *watchdog {
	w := &watchdog{client: c, answer: a, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(c.config.IdleTimeout, w.expire)
	return w
}

// touch tells that bytes arrived.
func (w *watchdog) touch() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.touches++
	w.suspect = false
	w.failures = 0
	w.timer.Reset(w.client.config.IdleTimeout)
}

// stop ends the watch. A look-up that is under way has no effect any more.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// explain replaces the error of an exchange that the watchdog gave up.
func (w *watchdog) explain(err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil && w.silent {
		return fmt.Errorf("%w: %w", errSilent, err)
	}
	return err
}

func (w *watchdog) expire() {
	w.mu.Lock()
	seen := w.touches
	stopped := w.stopped
	w.mu.Unlock()
	if stopped {
		return
	}
	state, err := w.client.LookUp(context.Background(), w.answer.call.Request.Attempt)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.touches != seen {
		return
	}
	if w.judge(state, err) {
		w.silent = true
		w.client.config.Client.CloseIdleConnections()
		w.cancel()
		return
	}
	w.timer.Reset(w.client.config.IdleTimeout)
}

// judge reports whether the exchange is to be given up. The caller holds w.mu.
func (w *watchdog) judge(state RequestState, err error) bool {
	if err != nil {
		w.failures++
		return w.failures >= maxFailedProbes
	}
	w.failures = 0
	if state.Running && !w.withheld(state) {
		w.suspect = false
		return false
	}
	again := w.suspect
	w.suspect = true
	return again
}

// withheld reports whether the engine has generated tokens of a stream that
// have not arrived, or does not tell how many it has generated.
func (w *watchdog) withheld(state RequestState) bool {
	if !w.answer.call.Request.Stream {
		return false
	}
	return state.Produced == nil || int64(*state.Produced) > w.answer.delivered.Load()
}
