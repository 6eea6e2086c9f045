package relay

import (
	"errors"
	"net/http"
	"time"
)

// Freshness knows whether this VM may accept API keys.
type Freshness interface {
	// KeysUsable reports whether this VM can prove now that its configuration was the newest
	// a short time ago, so that no API key in it was removed longer ago.
	KeysUsable() bool
}

// retryAfterNotFresh is sent while this VM may not accept API keys: the next exchange with
// another VM may end that.
const retryAfterNotFresh = 300 * time.Millisecond

// errNotFresh ends a send before its first byte: API keys may not be accepted any more.
var errNotFresh = errors.New("the configuration is not known to be the newest")

// keysUsable reports whether the request may run here as far as its API key is concerned. It
// is asked after the whole request has arrived, so that the proof holds for the time at which
// the caller sent it, and again before each attempt. Once it is false it stays so: the key
// was not checked here, or not with the newest configuration.
//
// The table in force is at least the one that was proven. One that was loaded before may be
// older, so an API key is checked with a table that is loaded after this.
func (e *exchange) keysUsable() bool {
	if e.route.Public || !e.relay.Table().RequiresKeys() {
		return true
	}
	if !e.relay.config.Freshness.KeysUsable() {
		e.notFresh = true
	}
	return !e.notFresh
}

// refuseNotFresh ends a request whose API key can't be accepted, and that no other VM takes. One
// that was sent stays here: the VM that passed it on doesn't count that send for its budget.
func (e *exchange) refuseNotFresh() bool {
	markUnreachable(e.w, e.passedOn && e.sends == 0)
	e.giveUp(http.StatusBadGateway, retryAfterNotFresh, errNotFresh.Error())
	return true
}
