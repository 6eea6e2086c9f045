package relay

import (
	"cmp"
	"context"
	"net/http"

	"github.com/barleylift/barleylift/internal/hop"
	"github.com/barleylift/barleylift/internal/topology"
)

// headerUnreachable is set on a refusal of a request that was passed on if another VM may
// serve it: this one reaches no upstream either, can't prove that its configuration is the
// newest, is full or ends.
const headerUnreachable = "Barleylift-Unreachable"

const (
	// maxTriedVMs is the number of VMs to which one request is passed on.
	maxTriedVMs = 3
	// maxPassedOn bounds the requests of other VMs in flight, about 50 kB each: a VM that
	// helps others must have memory for its own callers.
	maxPassedOn = 256
)

// ServePassedOn serves requests that other VMs pass on because they reach no upstream or may
// not accept API keys.
// Such a request is not passed on again.
func (r *Relay) ServePassedOn(w http.ResponseWriter, request *http.Request) {
	r.passedOn.Add(1)
	defer r.passedOn.Add(-1)
	r.serve(w, request, true)
}

// markUnreachable marks the refusal of a request of another VM as one that a third VM may
// serve.
func markUnreachable(w http.ResponseWriter, passedOn bool) {
	if passedOn {
		w.Header().Set(headerUnreachable, "1")
	}
}

// refusePassedOn refuses a request of another VM that this one can't help with, and reports
// whether it did.
func (e *exchange) refusePassedOn() bool {
	if !e.passedOn || !e.relay.config.Peers.CutOff() && e.relay.passedOn.Load() <= maxPassedOn && e.keysUsable() {
		return false
	}
	markUnreachable(e.w, true)
	e.giveUp(http.StatusBadGateway, retryAfterBusy, "the VM can't serve requests of other VMs")
	return true
}

// passOn sends the request through another VM if this one reaches no upstream, or may not
// accept its API key. handled is false if there is no reason to, or no VM; the request then
// goes on here, unless it may not.
func (e *exchange) passOn() (handled, ended bool) {
	peers := e.relay.config.Peers
	keysUsable := e.keysUsable()
	if keysUsable && !peers.CutOff() {
		return false, false
	}
	vm, pool, ok := "", (*hop.Pool)(nil), false
	if !e.passedOn && len(e.triedVMs) < maxTriedVMs && e.mayRunAgain() {
		vm, pool, ok = peers.ChooseVM(e.triedVMs)
	}
	if !ok {
		return !keysUsable, !keysUsable && e.refuseNotFresh()
	}
	if !e.allowResend("vm") {
		e.giveUp(http.StatusBadGateway, retryAfterBudget, e.resendRefusal())
		return true, true
	}
	if e.withholdIfBlocked() {
		return true, true
	}
	// The other VM takes the tokens itself.
	e.returnTokens()
	e.triedVMs = append(e.triedVMs, vm)
	e.relay.config.Metrics.RequestPassedOn(e.service.Name)
	e.viaVM = true
	ended = e.tryVM(vm, pool)
	e.viaVM = false
	return true, ended
}

// firstTry returns the request that brought the first event of the stream.
func (e *exchange) firstTry() string {
	return cmp.Or(e.call.FirstTry, e.call.ID)
}

// tryVM sends the request to another VM and forwards its answer. It reports whether the
// request has ended.
func (e *exchange) tryVM(vm string, pool *hop.Pool) bool {
	ctx, end := e.beginSend(e.ctx)
	defer end()
	via := topology.Upstream{ID: "vm " + vm}
	e.upstreamID = via.ID
	result := e.sendToVM(ctx, pool)
	if result.err == nil {
		e.relay.log.Info("request passed on", "id", e.call.ID, "vm", vm, "not_fresh", e.notFresh, "status", result.response.StatusCode, "signed", result.head.Signed)
	}
	if result.err == nil && !result.mayHaveRun {
		return e.handleVMRefusal(result)
	}
	e.countSend(result)
	if result.err != nil {
		return e.handleSendFailure(via, result)
	}
	if result.response.StatusCode/100 == 2 {
		return e.forward(via, result)
	}
	if e.headSent {
		e.relay.log.Info("VM did not go on with the stream", "id", e.call.ID, "vm", vm, "status", result.response.StatusCode)
		drain(result)
		return !e.mayRunAgain() && e.endBroken("no VM could go on with the stream")
	}
	ended := e.forwardBody(via, result)
	if e.outcome == outcomeAnswered && !result.head.Signed {
		e.outcome = outcomeUnknown
	}
	return ended
}

// sendToVM sends the request to another VM and reads the head of its answer: an upstream's,
// or one of the VM's own.
func (e *exchange) sendToVM(ctx context.Context, pool *hop.Pool) sendResult {
	protocol := e.relay.config.Protocol
	params := PassOnParams{TimeLeft: e.timeLeft(), LastEventID: e.lastEventID, KeysRequired: e.keysRequired}
	if e.events > 0 {
		params.FirstTry = e.firstTry()
	}
	response, failed := e.exchangeOver(ctx, pool, &hop.Request{
		Method: e.call.Method, Target: e.call.Target, Host: e.call.Host, Header: protocol.PassOnHeader(e.call, params), Body: e.body,
	}, e.lastCheckOfPassOn)
	if response == nil {
		return failed
	}
	head := protocol.DecodeResponseHead(response.StatusCode, response.Header)
	result := sendResult{
		response: response, head: head, written: true, conn: response.Conn(), reused: response.Reused(), skipped: response.Skipped,
		// Other VMs send these statuses only if the request has not run.
		mayHaveRun: !head.StatusImpliesNotRun && !isKeyRefusal(head, response.StatusCode, response.Header),
	}
	if head.ContentEncoded || head.RequestID != e.call.ID || response.StatusCode/100 == 2 && !head.Signed {
		response.Discard()
		result.response, result.err = nil, errForeignResponse
	}
	return result
}

// lastCheckOfPassOn returns why the request must not be passed on any more, just before the
// first byte.
func (e *exchange) lastCheckOfPassOn() error {
	if e.endsTooSoon() {
		return errEnding
	}
	if err := e.checkKey(); err != nil {
		return err
	}
	return e.useReservation()
}

// handleVMRefusal ends a request that another VM has refused as not run, unless a third one
// may serve it. It reports whether the request has ended.
func (e *exchange) handleVMRefusal(result sendResult) bool {
	mayServeElsewhere := result.response.Header.Get(headerUnreachable) != ""
	keyRefused := isKeyRefusal(result.head, result.response.StatusCode, result.response.Header)
	version := result.response.Header.Get(headerKeyRefused)
	quotaRetryAfter, overQuota := overQuotaElsewhere(result.response.StatusCode, result.response.Header)
	retryAfter := result.head.Statement.Pause
	drain(result)
	if keyRefused {
		return e.handleVMKeyRefusal(version)
	}
	if overQuota && e.possibleRuns == 0 && !e.headSent {
		e.refuseOverQuota(quotaRetryAfter)
		return true
	}
	if mayServeElsewhere {
		return false
	}
	e.giveUp(http.StatusBadGateway, max(retryAfter, retryAfterBudget), "the VM that the request was passed on to refused it")
	return true
}
