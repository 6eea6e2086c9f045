package upstream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// errStalled is returned if the watchdog aborted an exchange because no more
// data arrived on its connection.
var errStalled = errors.New("the connection went silent")

// maxFailedLookUps is the number of consecutive failed look-ups after which a
// stalled exchange is aborted.
const maxFailedLookUps = 3

// watchdog detects that one exchange has stalled. If no data arrives for the
// idle timeout, it looks the call up on a new connection. An exchange whose
// call is running and has nothing more to send continues; otherwise the
// exchange is aborted once the next look-up finds the same.
type watchdog struct {
	client  *EngineClient
	attempt *attempt
	cancel  context.CancelFunc

	mu            sync.Mutex
	timer         *time.Timer
	stopped       bool
	stalled       bool
	suspected     bool
	failedLookUps int
	activityCount int
}

// newWatchdog starts a watchdog that aborts the exchange by calling cancel.
func (c *EngineClient) newWatchdog(a *attempt, cancel context.CancelFunc) *watchdog {
	w := &watchdog{client: c, attempt: a, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(c.config.IdleTimeout, w.onIdleTimeout)
	return w
}

// recordActivity records that data has arrived and restarts the idle timeout.
func (w *watchdog) recordActivity() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.activityCount++
	w.suspected = false
	w.failedLookUps = 0
	w.timer.Reset(w.client.config.IdleTimeout)
}

// stop stops the watchdog. A look-up in progress has no effect.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// wrapError adds errStalled to the error of an exchange that the watchdog
// aborted.
func (w *watchdog) wrapError(err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil && w.stalled {
		return fmt.Errorf("%w: %w", errStalled, err)
	}
	return err
}

func (w *watchdog) onIdleTimeout() {
	w.mu.Lock()
	activityBefore := w.activityCount
	stopped := w.stopped
	w.mu.Unlock()
	if stopped {
		return
	}
	state, err := w.client.LookUp(context.Background(), w.attempt.call.Request.Attempt)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.activityCount != activityBefore {
		return
	}
	if w.shouldAbort(state, err) {
		w.stalled = true
		w.client.config.Client.CloseIdleConnections()
		w.cancel()
		return
	}
	w.timer.Reset(w.client.config.IdleTimeout)
}

// shouldAbort updates the watchdog with the result of a look-up and reports
// whether the exchange must be aborted. The caller must hold w.mu.
func (w *watchdog) shouldAbort(state RequestState, err error) bool {
	if err != nil {
		w.failedLookUps++
		return w.failedLookUps >= maxFailedLookUps
	}
	w.failedLookUps = 0
	if state.Running && !w.hasUndeliveredTokens(state) {
		w.suspected = false
		return false
	}
	alreadySuspected := w.suspected
	w.suspected = true
	return alreadySuspected
}

// hasUndeliveredTokens reports whether the engine has generated tokens of a
// stream that have not arrived, or does not state how many it has generated.
func (w *watchdog) hasUndeliveredTokens(state RequestState) bool {
	if !w.attempt.call.Request.Stream {
		return false
	}
	return state.Produced == nil || int64(*state.Produced) > w.attempt.deliveredParts.Load()
}
