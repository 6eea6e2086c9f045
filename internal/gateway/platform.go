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

// Platform translates between the gateway and what surrounds it.
type Platform interface {
	// Store returns the client of the key-value service.
	Store() infra.KV
	// SetStore moves later calls of that client to another address.
	SetStore(address string)
	// SetWatchPause sets the least time between two answers of a watch of that
	// client, so that changes that come close together cost one call.
	SetWatchPause(pause time.Duration)
	// Protocol translates requests and answers.
	Protocol() relay.Protocol
	// Engines returns the client for orders to engines.
	Engines(pools ControlPools) orders.Client
	// Decode reads a change of the key-value service. The error tells why a
	// value can't be used; the update then says what that means.
	Decode(change mirror.Change) (Update, error)
	// DirectoryHandler and ReadyHandler serve callers that ask for entries and
	// the platform's checks.
	DirectoryHandler(Directory) http.Handler
	ReadyHandler(Directory) http.Handler
}

// ControlPools gives the connections for orders and reports.
type ControlPools interface {
	Control(upstream topology.Upstream) *hop.Pool
}

// Directory tells callers and the platform about the daemons.
type Directory interface {
	// Entries returns the addresses of entries for a caller in a zone, and for
	// how many seconds the answer may be kept.
	Entries(region, zone string) (addresses []string, seconds float64)
	// Ready reports whether this daemon takes requests.
	Ready() bool
}

// Update is what a change of the key-value service means. At most one part is set.
type Update struct {
	// Config is a version of the operator's configuration.
	Config *routing.Config
	// Upstream is a registration of an engine or replica.
	Upstream *topology.Upstream
	// RemovedUpstream names an upstream without a usable registration.
	RemovedUpstream string
	// Version is a named version of an adapter.
	Version *AdapterVersion
}

// AdapterVersion is a version of an adapter that the operator named.
type AdapterVersion struct {
	Adapter topology.Adapter
	Version int64
}
