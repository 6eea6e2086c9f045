package relay

import (
	"cmp"
	"errors"
	"net/http"
	"strconv"

	"github.com/barleylift/barleylift/internal/routing"
	"github.com/cespare/xxhash/v2"
)

// headerKeyRefused is set on the refusal of a request that was passed on if the VM does not
// accept its API key. Its value is the version of the VM's configuration.
const headerKeyRefused = "Barleylift-Key-Refused"

var (
	// errKeyRevoked ends a request whose API key was revoked since it arrived.
	errKeyRevoked = errors.New("the API key was revoked while the request waited")
	// errKeysChanged ends a send before its first byte: what upstreams get to know of the
	// caller has changed since its header was built.
	errKeysChanged = errors.New("the configuration of API keys has changed")
)

// refuseCaller refuses a new request if its caller may not use the route or states a
// malformed usage of tokens, and reports whether it did.
func (e *exchange) refuseCaller() bool {
	isUsable := e.keysUsable()
	// The table is loaded after the proof was asked for: one from before may be older.
	e.keyTable = e.relay.table.Load()
	e.keysRequired = e.keyTable.RequiresKeys()
	if !e.keysRequired || !isUsable || e.route.Public && !e.relay.config.Freshness.KeysUsable() {
		return false
	}
	customer, known := e.keyTable.Authenticate(string(e.call.Key))
	switch {
	case known:
		e.customer = customer
	case e.route.Public:
		return false
	default:
		e.refuseKey(cmp.Or(e.call.KeyProblem, "the API key is unknown"))
		return true
	}
	var err error
	if e.cost, err = e.call.Usage.Cost(customer.Quota); err != nil {
		e.outcome, e.status, e.reason = outcomeMalformed, http.StatusBadRequest, err.Error()
		e.relay.config.Protocol.WriteError(e.w, e.call, e.status, 0, e.reason)
		return true
	}
	return false
}

// refuseKey ends a request whose API key is not accepted: with 401 if it certainly has not
// run.
func (e *exchange) refuseKey(reason string) {
	if e.headSent || e.possibleRuns > 0 {
		e.giveUp(http.StatusBadGateway, 0, reason)
		return
	}
	e.outcome, e.status, e.reason = outcomeUnauthorized, http.StatusUnauthorized, reason
	if e.passedOn {
		e.w.Header().Set(headerKeyRefused, strconv.FormatInt(e.keyTable.Version(), 10))
	}
	e.relay.config.Protocol.WriteError(e.w, e.call, e.status, 0, reason)
}

// endIfKeyRevoked ends the request if its API key was revoked since it arrived, and reports
// whether it did.
func (e *exchange) endIfKeyRevoked() bool {
	if !errors.Is(e.checkKey(), errKeyRevoked) {
		return false
	}
	e.refuseKey(errKeyRevoked.Error())
	return true
}

// checkKey checks the request's API key against the newest table. It returns errKeyRevoked if
// the request must not be sent, and errKeysChanged if its header must be built anew.
func (e *exchange) checkKey() error {
	newest := e.relay.table.Load()
	if newest == e.keyTable || !newest.RequiresKeys() {
		return nil
	}
	e.keyTable = newest
	holder, known := newest.Authenticate(string(e.call.Key))
	switch {
	case e.keysRequired && e.customer == nil:
		// The route was public when the request arrived.
		return nil
	case e.customer != nil && known && holder.Name == e.customer.Name:
		return nil
	case e.customer == nil && known:
		// Keys were not required when the request arrived, so it is not counted for a quota.
		e.customer = holder
	case e.isPublic(newest):
		e.customer = nil
	default:
		return errKeyRevoked
	}
	e.keysRequired = true
	return errKeysChanged
}

// isPublic reports whether the request's route is public according to a table. A route that
// the table doesn't have any more stays as it was.
func (e *exchange) isPublic(table *routing.Table) bool {
	if route := table.Match(e.call.Host, e.call.Path); route != nil {
		return route.Public
	}
	return e.route.Public
}

// priority returns the priority of the request, 0 being the most urgent: the customer's, or
// else the route's.
func (e *exchange) priority() int {
	if e.customer != nil && e.customer.HasPriority {
		return e.customer.Priority
	}
	return e.route.Priority
}

// customerName returns the name of the customer that holds the API key, or "".
func (e *exchange) customerName() string {
	if e.customer == nil {
		return ""
	}
	return e.customer.Name
}

// customerHash returns the hash by which owners of engines know the customer; 0 for none.
func (e *exchange) customerHash() uint64 {
	if e.customer == nil {
		return 0
	}
	return xxhash.Sum64String(e.customer.Name)
}

// customerWeight returns the customer's weight in the shares of an engine: its rate.
func (e *exchange) customerWeight() float64 {
	if e.customer == nil {
		return 0
	}
	return e.customer.Quota.Rate
}

// callerText returns what tells the caller from others in the request's fingerprint, which is
// logged and sent to other VMs: nothing that derives from an API key.
func (e *exchange) callerText() string {
	if e.keysRequired {
		return e.customerName()
	}
	return string(e.call.Caller)
}

// isKeyRefusal reports whether another VM's answer says that it does not accept the API key.
func isKeyRefusal(head ResponseHead, status int, header http.Header) bool {
	return status == http.StatusUnauthorized && !head.Signed && header.Get(headerKeyRefused) != ""
}

// handleVMKeyRefusal ends a request whose API key another VM does not accept, unless that VM's
// configuration is older than this one's, which may lack a new key. It reports whether the
// request has ended.
func (e *exchange) handleVMKeyRefusal(version string) bool {
	// A malformed version counts as 0, the oldest.
	n, _ := strconv.ParseInt(version, 10, 64)
	if newest := e.relay.table.Load(); n < newest.Version() {
		e.relay.log.Info("API key refused by a VM with an older configuration", "id", e.call.ID, "vm", e.upstreamID, "version", n, "own_version", newest.Version())
		return false
	}
	e.refuseKey("the VM that the request was passed on to does not accept the API key")
	return true
}
