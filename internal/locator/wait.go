package locator

import (
	"context"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
)

// Time constants of asks.
const (
	// requestInterval is the time between two asks for one turn; asks and answers are
	// datagrams that may be lost.
	requestInterval = 120 * time.Millisecond
	// answerTimeout is how long an owner may leave asks unanswered.
	answerTimeout = 350 * time.Millisecond
	// declinedPause is how long an engine whose owner declined an adapter is
	// passed over for adapters that must be loaded.
	declinedPause = 300 * time.Millisecond
)

// AdmissionRequest is a request that wants to begin at an engine.
type AdmissionRequest struct {
	Ticket  uint64
	Adapter topology.Adapter
	// Version is set by the Locator.
	Version        int64
	Tokens         int
	Rank           int
	PauseObjective time.Duration
	// Due is when the first event should come, and Expires when the caller's
	// time is over, by clock.Boot.
	Due     time.Duration
	Expires time.Duration
}

// Admission is the answer to an Ask.
type Admission int

// The answers to an Ask.
const (
	// Admitted: the request may be sent now; Begun is to be called.
	Admitted Admission = iota
	// Declined: the engine can't take the request soon.
	Declined
	// Unowned: nobody hands out turns at the engine at present.
	Unowned
	// WaitEnded: the request's own time or the wait for its turn is over.
	WaitEnded
)

// String returns the name of the answer.
func (t Admission) String() string {
	return [...]string{"begin", "declined", "unowned", "over"}[t]
}

// wait is a request that waits for its turn.
type wait struct {
	// statuses receives how the request stands; it has room for the final one.
	statuses chan residency.Status
}

// AwaitAdmission asks for a turn at an engine until there is an answer or ctx ends.
func (l *Locator) AwaitAdmission(ctx context.Context, engine string, ask AdmissionRequest) Admission {
	ask.Version = l.requestVersion(engine, ask.Adapter)
	w := l.startWait(engine, ask.Ticket)
	defer l.endWait(engine, ask.Ticket)
	answered := clock.Boot()
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for {
		if !l.config.SendRequest(engine, ask) {
			return l.recordSilentOwner(engine, ask, "unknown")
		}
		select {
		case status := <-w.statuses:
			answered = clock.Boot()
			if status != residency.Waiting {
				return l.applyDecision(engine, ask, status)
			}
			// The owner knows of the request; it is repeated at the next tick.
			status, waiting := l.awaitTick(ctx, w, ticker)
			if !waiting {
				return WaitEnded
			}
			if status != residency.Waiting {
				return l.applyDecision(engine, ask, status)
			}
		case <-ticker.C:
		case <-ctx.Done():
			return WaitEnded
		}
		if clock.Boot()-answered > answerTimeout {
			return l.recordSilentOwner(engine, ask, "silent")
		}
	}
}

// awaitTick waits for the next tick or a final status.
func (l *Locator) awaitTick(ctx context.Context, w *wait, ticker *time.Ticker) (residency.Status, bool) {
	for {
		select {
		case status := <-w.statuses:
			if status != residency.Waiting {
				return status, true
			}
		case <-ticker.C:
			return residency.Waiting, true
		case <-ctx.Done():
			return residency.Waiting, false
		}
	}
}

// applyDecision takes over a final status.
func (l *Locator) applyDecision(engine string, ask AdmissionRequest, status residency.Status) Admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.views[engine]
	if status == residency.Ready {
		l.admitted[waitKey{engine, ask.Ticket}] = true
		if v != nil && ask.Adapter.Name != "" {
			v.held[ask.Adapter] = max(v.held[ask.Adapter], ask.Version)
		}
		return Admitted
	}
	if v != nil {
		delete(v.held, ask.Adapter)
		v.orderlessUntil = clock.Boot() + declinedPause
		if status == residency.Unreachable {
			v.failures.add(clock.Boot(), suspectThreshold)
		}
	}
	return Declined
}

// recordSilentOwner notes that nobody hands out turns at an engine.
func (l *Locator) recordSilentOwner(engine string, ask AdmissionRequest, how string) Admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.views[engine]; v != nil {
		v.orderlessUntil = clock.Boot() + silentOwnerPause
		v.unownedUntil = v.orderlessUntil
	}
	l.log.Info("owner of engine does not answer", "engine", engine, "owner", how, "adapter", ask.Adapter.String(), "ticket", ask.Ticket)
	return Unowned
}

// MayHaveOwner reports whether somebody may be handing out turns at an engine.
func (l *Locator) MayHaveOwner(engine string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.views[engine]
	return v == nil || clock.Boot() >= v.unownedUntil
}

// waitKey names a request that waits.
type waitKey struct {
	engine string
	ticket uint64
}

func (l *Locator) startWait(engine string, ticket uint64) *wait {
	const room = 8
	w := &wait{statuses: make(chan residency.Status, room)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waits[waitKey{engine, ticket}] = w
	if v := l.views[engine]; v != nil {
		v.waiting++
	}
	return w
}

// endWait ends a wait. A turn that came too late is given back.
func (l *Locator) endWait(engine string, ticket uint64) {
	key := waitKey{engine, ticket}
	l.mu.Lock()
	w := l.waits[key]
	delete(l.waits, key)
	if v := l.views[engine]; v != nil {
		v.waiting--
	}
	unused := !l.admitted[key] && hasUnreadAdmission(w)
	l.mu.Unlock()
	if unused {
		l.config.SendProgress(engine, ticket, orders.AdmissionProgress{Ended: true})
	}
}

// hasUnreadAdmission reports whether a turn is among the news that nobody has read.
func hasUnreadAdmission(w *wait) bool {
	for {
		select {
		case status := <-w.statuses:
			if status == residency.Ready {
				return true
			}
		default:
			return false
		}
	}
}

// ReportProgress tells the owner of an engine that a request's turn is over, or that the
// request has ended.
func (l *Locator) ReportProgress(engine string, ticket uint64, progress orders.AdmissionProgress) {
	l.mu.Lock()
	delete(l.admitted, waitKey{engine, ticket})
	l.mu.Unlock()
	l.config.SendProgress(engine, ticket, progress)
}

// RequestLoad asks for an adapter at an engine for later requests.
func (l *Locator) RequestLoad(engine string, adapter topology.Adapter) {
	l.config.SendRequest(engine, AdmissionRequest{Adapter: adapter, Version: l.NeededVersion(adapter)})
}

// HandleStatus takes over an owner's news about a request. A turn that comes after its
// request has left is given back.
func (l *Locator) HandleStatus(news orders.AdmissionStatus) {
	key := waitKey{news.Engine, news.Ticket}
	l.mu.Lock()
	if v := l.views[news.Engine]; v != nil {
		v.state.Waiting = news.Waiting
		v.waitingAtState = v.waiting
	}
	w := l.waits[key]
	if w != nil {
		select {
		case w.statuses <- news.Status:
		default:
			// The request has several answers to read already.
		}
	}
	unused := w == nil && news.Status == residency.Ready && !l.admitted[key]
	l.mu.Unlock()
	if unused {
		// The caller may hold the lock of the engine's worker.
		go l.config.SendProgress(news.Engine, news.Ticket, orders.AdmissionProgress{Ended: true})
	}
}
