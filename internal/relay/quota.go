package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/quota"
)

// Quotas takes the tokens of requests from customers' quotas, which hold over all VMs.
type Quotas interface {
	// Acquire takes the tokens of a request, or decides that it gets none. It waits for at
	// most quota.MaxWait. Customers without a limit are admitted. Priority 0 is the most
	// urgent.
	Acquire(ctx context.Context, customer string, cost int64, priority int) quota.Decision
	// Return gives back the tokens of a request that was admitted and has not run.
	Return(customer string, cost int64, decision quota.Decision)
}

const (
	// headerOverQuota is set on the refusal of a request that was passed on if the customer
	// is over its quota. Its value is when there is room, in milliseconds.
	headerOverQuota = "Barleylift-Over-Quota"
	// maxTokensAge is the longest time from taking the tokens of a request to its first
	// send. A VM that was frozen in between would add to the windows of others; requests
	// wait for admission for less as a rule.
	maxTokensAge = 3 * time.Second
)

// errTokensOld ends a send before its first byte: the tokens were taken too long ago.
var errTokensOld = errors.New("the tokens were taken too long ago")

// takenTokens are the tokens that a request has taken.
type takenTokens struct {
	customer string
	decision quota.Decision
	// at is when they were taken, by clock.Boot.
	at time.Duration
}

// endIfOverQuota takes the tokens of the request, unless it has them, and ends the request if
// there are none. It reports whether it did. Repeated attempts count once.
func (e *exchange) endIfOverQuota() bool {
	if e.customer == nil || e.possibleRuns > 0 || e.tokens != nil && !e.tokensAreOld() {
		return false
	}
	e.returnTokens()
	name := e.customer.Name
	d := e.relay.config.Quotas.Acquire(e.ctx, name, e.cost, e.priority())
	if d.Outcome == quota.Admitted {
		e.tokens = &takenTokens{name, d, clock.Boot()}
		return false
	}
	if callerDisconnected(e.request) {
		e.outcome = outcomeCallerLeft
		return true
	}
	age := int64(-1)
	if d.Seen.By != "" {
		age = (clock.Boot() - d.Seen.At).Milliseconds()
	}
	e.relay.log.Info("request gets no tokens", "id", e.call.ID, "customer", name, "cost", e.cost, "quota", d.Outcome.String(),
		"level", d.Seen.Level, "age_ms", age, "coordinator", d.Seen.By, "waited_ms", d.Waited.Milliseconds(), "retry_after_ms", d.RetryAfter.Milliseconds())
	if d.Outcome == quota.OverQuota {
		e.refuseOverQuota(d.RetryAfter)
		return true
	}
	e.giveUp(http.StatusBadGateway, d.RetryAfter, "it is not known whether the customer has room within its quota")
	return true
}

// refuseOverQuota ends a request that has not run and won't: its customer is over its quota.
func (e *exchange) refuseOverQuota(retryAfter time.Duration) {
	e.outcome, e.status, e.reason = outcomeOverQuota, http.StatusTooManyRequests, "the customer is over its quota"
	if e.passedOn {
		e.w.Header().Set(headerOverQuota, strconv.FormatInt(retryAfter.Milliseconds(), 10))
	}
	e.relay.config.Protocol.WriteError(e.w, e.call, e.status, retryAfter, e.reason)
}

func (e *exchange) tokensAreOld() bool {
	return e.possibleRuns == 0 && e.tokens != nil && clock.Boot()-e.tokens.at > maxTokensAge
}

// returnTokens gives back the tokens of a request that has certainly not run.
func (e *exchange) returnTokens() {
	if e.tokens == nil || e.possibleRuns > 0 {
		return
	}
	e.relay.config.Quotas.Return(e.tokens.customer, e.cost, e.tokens.decision)
	e.tokens = nil
}

// overQuotaElsewhere returns when there is room if another VM's answer says that the customer
// is over its quota.
func overQuotaElsewhere(status int, header http.Header) (retryAfter time.Duration, ok bool) {
	if status != http.StatusTooManyRequests {
		return 0, false
	}
	ms, err := strconv.ParseInt(header.Get(headerOverQuota), 10, 64)
	return time.Duration(ms) * time.Millisecond, err == nil && ms >= 0
}
