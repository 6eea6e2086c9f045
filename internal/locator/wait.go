package locator

import (
	"context"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
)

// Time constants of admission requests.
const (
	// requestInterval is the time after which an admission request is repeated;
	// requests and answers are datagrams that may be lost.
	requestInterval = 120 * time.Millisecond
	// answerTimeout is how long an owner may leave requests unanswered.
	answerTimeout = 350 * time.Millisecond
	// declinedPause is how long an engine is avoided for adapters that must be
	// loaded, after its owner has declined a request.
	declinedPause = 300 * time.Millisecond
)

// AdmissionRequest asks the owner of an engine to admit a request there.
type AdmissionRequest struct {
	Ticket  uint64
	Adapter topology.Adapter
	// Version is the required adapter version; the Locator sets it.
	Version        int64
	PromptTokens   int
	Priority       int
	PauseObjective time.Duration
	// FirstEventDue is when the first event should arrive, and Deadline when the
	// caller's deadline passes, as readings of clock.Boot.
	FirstEventDue time.Duration
	Deadline      time.Duration
	// NeedsLoad is set if the adapter must be loaded first. The request then does
	// not count as waiting for the engine's batch.
	NeedsLoad bool
	// TurnBy is until when the request waits for its turn at an engine with a rate
	// limit, as a reading of clock.Boot.
	TurnBy time.Duration
	// ReconsiderAfter is the time after which MayStay is asked, again and again, whether
	// the request goes on waiting; 0 for never.
	ReconsiderAfter time.Duration
	MayStay         func() bool
	// Customer is the xxhash of the customer's name, and Weight its share of capacity
	// relative to others; 0 without a customer.
	Customer uint64
	Weight   float64
	// Resumes is set if the request goes on with a stream.
	Resumes bool
}

// Admission is the outcome of an AdmissionRequest.
type Admission int

// The outcomes of an AdmissionRequest.
const (
	// Admitted: the request may be sent now; the caller must call ReportProgress.
	Admitted Admission = iota
	// Declined: the engine can't serve the request soon.
	Declined
	// Unowned: the engine's owner is unknown or does not answer.
	Unowned
	// WaitEnded: the context ended before the owner decided.
	WaitEnded
	// NoRoom: the engine's rate limit leaves no room for the request in time.
	NoRoom
	// TooLate: the request's turn at the engine would come after its deadline.
	TooLate
)

// String returns the name of the outcome in logs.
func (a Admission) String() string {
	return [...]string{"begin", "declined", "unowned", "over", "no room", "too late"}[a]
}

// wait is a request that waits for admission.
type wait struct {
	// statuses receives the owner's answers; it has room for the final one.
	statuses chan residency.Status
	// forBatch is set if the request waits for room in the engine's batch.
	forBatch bool
	// tokens is the length of the prompt.
	tokens int
	// roomIn is when the engine has room for the request, if it would be too late now.
	// Locator.mu guards it, as statuses arrive from other goroutines.
	roomIn time.Duration
}

// AwaitAdmission requests admission to an engine, and repeats the request until
// the owner decides, does not answer in time, or ctx ends. For TooLate, it also returns when
// the engine has room for the request.
func (l *Locator) AwaitAdmission(ctx context.Context, engine string, request AdmissionRequest) (Admission, time.Duration) {
	request.Version = l.requestVersion(engine, request.Adapter)
	w := l.startWait(engine, request)
	defer l.endWait(engine, request.Ticket)
	admission := l.await(ctx, w, engine, request)
	l.mu.Lock()
	defer l.mu.Unlock()
	if admission != TooLate {
		return admission, 0
	}
	return admission, max(w.roomIn, minRoomIn)
}

// await waits for the outcome of a request.
func (l *Locator) await(ctx context.Context, w *wait, engine string, request AdmissionRequest) Admission {
	lastAnswerAt := clock.Boot()
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	var reconsider <-chan time.Time
	if request.ReconsiderAfter > 0 {
		ticker := time.NewTicker(request.ReconsiderAfter)
		defer ticker.Stop()
		reconsider = ticker.C
	}
	for {
		if !l.config.SendRequest(engine, request) {
			return l.recordSilentOwner(engine, request, "unknown")
		}
		select {
		case status := <-w.statuses:
			lastAnswerAt = clock.Boot()
			if status != residency.Waiting {
				return l.applyDecision(engine, request, status)
			}
			// The owner has queued the request; repeat it at the next tick.
			status, waiting := l.awaitTick(ctx, w, request, ticker.C, reconsider)
			if !waiting {
				return l.withdraw(engine, request)
			}
			if status != residency.Waiting {
				return l.applyDecision(engine, request, status)
			}
		case <-ticker.C:
		case <-reconsider:
			if !request.MayStay() {
				return l.withdraw(engine, request)
			}
		case <-ctx.Done():
			return l.withdraw(engine, request)
		}
		if clock.Boot()-lastAnswerAt > answerTimeout {
			return l.recordSilentOwner(engine, request, "silent")
		}
	}
}

// withdraw tells the owner that a request no longer waits. It would admit it otherwise, and
// keep others from its place until it learns that the admission is not used.
func (l *Locator) withdraw(engine string, request AdmissionRequest) Admission {
	l.config.SendProgress(engine, request.Ticket, orders.AdmissionProgress{Ended: true})
	return WaitEnded
}

// awaitTick waits for the next tick or a final status. It returns false if ctx
// ended or the request may not stay.
func (l *Locator) awaitTick(ctx context.Context, w *wait, request AdmissionRequest, tick, reconsider <-chan time.Time) (residency.Status, bool) {
	for {
		select {
		case status := <-w.statuses:
			if status != residency.Waiting {
				return status, true
			}
		case <-tick:
			return residency.Waiting, true
		case <-reconsider:
			if !request.MayStay() {
				return residency.Waiting, false
			}
		case <-ctx.Done():
			return residency.Waiting, false
		}
	}
}

// applyDecision records a final status and returns the outcome.
func (l *Locator) applyDecision(engine string, request AdmissionRequest, status residency.Status) Admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.views[engine]
	if status == residency.Ready {
		l.admitted[waitKey{engine, request.Ticket}] = true
		if v != nil && request.Adapter.Name != "" {
			v.held[request.Adapter] = max(v.held[request.Adapter], request.Version)
		}
		return Admitted
	}
	switch status {
	case residency.NoRoom:
		return NoRoom
	case residency.TooLate:
		return TooLate
	}
	if v != nil {
		delete(v.held, request.Adapter)
		v.loadsPausedUntil = clock.Boot() + declinedPause
		if status == residency.Unreachable {
			v.failures.add(clock.Boot(), suspectThreshold)
		}
	}
	return Declined
}

// recordSilentOwner records that the owner of an engine is unknown or does not
// answer, which counts for silentOwnerPause.
func (l *Locator) recordSilentOwner(engine string, request AdmissionRequest, ownerStatus string) Admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.views[engine]; v != nil {
		v.loadsPausedUntil = clock.Boot() + silentOwnerPause
		v.unownedUntil = v.loadsPausedUntil
	}
	l.log.Info("owner of engine is unknown or does not answer, requests that need no load bypass admission for a while", "engine", engine, "owner", ownerStatus, "adapter", request.Adapter.String(), "ticket", request.Ticket)
	return Unowned
}

// MayHaveOwner reports whether a daemon may be admitting requests to an engine.
func (l *Locator) MayHaveOwner(engine string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.views[engine]
	return v == nil || clock.Boot() >= v.unownedUntil
}

// waitKey identifies a waiting request.
type waitKey struct {
	engine string
	ticket uint64
}

func (l *Locator) startWait(engine string, request AdmissionRequest) *wait {
	const bufferSize = 8
	w := &wait{statuses: make(chan residency.Status, bufferSize), forBatch: !request.NeedsLoad, tokens: request.PromptTokens}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waits[waitKey{engine, request.Ticket}] = w
	if v := l.views[engine]; v != nil && w.forBatch {
		v.waiting++
		v.waitingTokens += w.tokens
	}
	return w
}

// endWait ends a wait. An admission that arrived too late is released.
func (l *Locator) endWait(engine string, ticket uint64) {
	key := waitKey{engine, ticket}
	l.mu.Lock()
	w := l.waits[key]
	delete(l.waits, key)
	if v := l.views[engine]; v != nil && w.forBatch {
		v.waiting--
		v.waitingTokens -= w.tokens
	}
	unused := !l.admitted[key] && hasUnreadAdmission(w)
	l.mu.Unlock()
	if unused {
		l.config.SendProgress(engine, ticket, orders.AdmissionProgress{Ended: true})
	}
}

// hasUnreadAdmission reports whether an admission is among the unread statuses.
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

// ReportProgress reports the progress of an admitted request to the owner of
// its engine.
func (l *Locator) ReportProgress(engine string, ticket uint64, progress orders.AdmissionProgress) {
	l.mu.Lock()
	delete(l.admitted, waitKey{engine, ticket})
	l.mu.Unlock()
	l.config.SendProgress(engine, ticket, progress)
}

// RequestLoad requests that an engine load an adapter for later requests.
func (l *Locator) RequestLoad(engine string, adapter topology.Adapter) {
	l.config.SendRequest(engine, AdmissionRequest{Adapter: adapter, Version: l.NeededVersion(adapter)})
}

// HandleStatus delivers an owner's answer to the waiting request. An admission
// that arrives after its request has stopped waiting is released.
func (l *Locator) HandleStatus(status orders.AdmissionStatus) {
	key := waitKey{status.Engine, status.Ticket}
	l.mu.Lock()
	if v := l.views[status.Engine]; v != nil {
		v.applyStatus(clock.Boot(), status, l.waits[key])
		v.ownerIncarnation = max(v.ownerIncarnation, status.Incarnation)
		if status.Status == residency.NoRoom {
			v.roomAt = max(v.roomAt, clock.Boot()+max(status.RoomIn, minRoomIn))
		}
	}
	w := l.waits[key]
	if w != nil {
		w.roomIn = status.RoomIn
		select {
		case w.statuses <- status.Status:
		default:
			// The request has unread answers already.
		}
	}
	unused := w == nil && status.Status == residency.Ready && !l.admitted[key]
	l.mu.Unlock()
	if unused {
		// The caller may hold the lock of the engine's worker.
		go l.config.SendProgress(status.Engine, status.Ticket, orders.AdmissionProgress{Ended: true})
	}
}
