package gateway

import (
	"net/http"
	"time"

	"github.com/barleylift/barleylift/internal/hop"
	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/mirror"
	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/relay"
	"github.com/barleylift/barleylift/internal/routing"
	"github.com/barleylift/barleylift/internal/topology"
)

// Platform translates between the gateway and the system around it.
type Platform interface {
	// Store returns the client of the key-value service.
	Store() infra.KV
	// SetStore sets the address for later calls of that client.
	SetStore(address string)
	// SetWatchTiming sets the minimum time between two responses of a watch of
	// Store, and how long the service may hold a request while nothing changes.
	SetWatchTiming(pause, hold time.Duration)
	// Protocol returns the translation of requests and responses.
	Protocol() relay.Protocol
	// Engines returns the client for orders to engines, which passes on what their
	// answers say about later requests.
	Engines(pools ControlPools, observe StatementObserver) orders.Client
	// Decode decodes a change of the key-value service. If the value is invalid,
	// it returns an error, together with the update that results from that.
	Decode(change mirror.Change) (Update, error)
	// DirectoryHandler serves callers that look up entries, and ReadyHandler the
	// platform's readiness checks.
	DirectoryHandler(Directory) http.Handler
	ReadyHandler(Directory) http.Handler
}

// StatementObserver records what an upstream's answer says about later requests.
// sentAt is when the request was sent, by clock.Boot. It is 0 for answers that need
// not name a rate limit. answer names the answer in the log.
type StatementObserver func(upstream topology.Upstream, statement topology.Statement, sentAt time.Duration, answer string)

// ControlPools provides the connections for orders and reports.
type ControlPools interface {
	Control(upstream topology.Upstream) *hop.Pool
}

// Directory provides the addresses of entries and this daemon's readiness.
type Directory interface {
	// Entries returns the addresses of entries for a caller in a zone, and for
	// how many seconds the answer may be kept.
	Entries(region, zone string) (addresses []string, seconds float64)
	// Ready reports whether this daemon accepts requests.
	Ready() bool
}

// Update is a decoded change of the key-value service. At most one field is set.
type Update struct {
	// Config is a version of the operator's configuration.
	Config *routing.Config
	// ConfigUnchanged is set for a configuration that is the last decoded one.
	ConfigUnchanged bool
	// ConfigSuperseded is set for a configuration that has not been decoded, as a later one
	// follows in the same delivery.
	ConfigSuperseded bool
	// Upstream is a registration of an engine or replica.
	Upstream *topology.Upstream
	// RemovedUpstream identifies an upstream without a valid registration.
	RemovedUpstream string
	// Version is a version of an adapter that the operator has set.
	Version *AdapterVersion
}

// AdapterVersion is a version of an adapter that the operator has set.
type AdapterVersion struct {
	Adapter topology.Adapter
	Version int64
}
