package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/barleylift/barleylift/internal/hop"
	"github.com/barleylift/barleylift/internal/quarantine"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Limits of the connections of callers.
const (
	// headerTimeout and maxHeader are above the limits in all known configurations.
	headerTimeout = 10 * time.Second
	maxHeader     = 64 << 10 // bytes
	// idleTimeout is longer than callers keep idle connections. So callers close
	// them, and no request is lost to a connection that the daemon closes.
	idleTimeout = 60 * time.Second
)

// Connections of callers have no bound on unacknowledged bytes: the kernel counts a closed window as
// such, and a caller may read slowly. The relay bounds how long it writes an answer.
var (
	callerListenConfig = net.ListenConfig{KeepAliveConfig: hop.KeepAlive}
	peerListenConfig   = net.ListenConfig{KeepAliveConfig: hop.KeepAlive, Control: hop.SetUserTimeout}
)

// server is one listening address with its handler.
type server struct {
	name     string
	http     *http.Server
	listener net.Listener
}

// servers holds all listening addresses of a daemon. The first one accepts
// callers' requests.
type servers struct {
	gateway *Gateway
	list    []server
}

// listen binds all addresses.
func (g *Gateway) listen() (*servers, error) {
	s := g.settings.Load()
	all := &servers{gateway: g}
	control := http.NewServeMux()
	control.HandleFunc("GET /status", g.serveStatus)
	pages := http.NewServeMux()
	pages.Handle("GET /metrics", promhttp.HandlerFor(g.options.Registry, promhttp.HandlerOpts{}))
	addresses := []struct {
		name    string
		address string
		handler http.Handler
	}{
		{"entry", s.Entry.String(), g.relay},
		{"directory", s.Directory.String(), g.platform.DirectoryHandler(g)},
		{"readiness", s.Readiness.String(), g.platform.ReadyHandler(g)},
		{"status", s.Status.String(), control},
		{"metrics", g.options.Metrics, pages},
		{"peers", s.Mesh.String(), http.HandlerFunc(g.relay.ServePassedOn)},
	}
	for _, a := range addresses {
		if a.address == "" || a.name == "status" && !s.Status.IsValid() {
			continue
		}
		config := callerListenConfig
		if a.name == "peers" {
			config = peerListenConfig
		}
		listener, err := config.Listen(context.Background(), "tcp4", a.address)
		if err != nil {
			return nil, &SettingError{a.name, err.Error()}
		}
		all.list = append(all.list, server{name: a.name, listener: listener, http: &http.Server{
			Handler:           a.handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeader,
		}})
	}
	return all, nil
}

// serve serves all addresses in the background.
func (s *servers) serve() {
	for _, srv := range s.list {
		go func() {
			if err := srv.http.Serve(srv.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
				s.gateway.log.Error("listener failed, its address is no longer served", "name", srv.name, "error", err)
			}
		}()
	}
}

// shutdown shuts down the listening addresses in order: each closes its idle
// connections and waits for requests in flight until ctx ends.
func (s *servers) shutdown(ctx context.Context) {
	for _, srv := range s.list {
		if err := srv.http.Shutdown(ctx); err != nil {
			s.gateway.log.Warn("server shutdown ended with requests in flight", "name", srv.name, "error", err)
			_ = srv.http.Close() // the end of the process does the same
		}
	}
}

// statusMessage is the daemon's state, for operators.
type statusMessage struct {
	VM            string `json:"vm"`
	Incarnation   int64  `json:"boot"`
	Version       int64  `json:"version"`
	StoreRevision int64  `json:"store_revision"`
	StoreDown     bool   `json:"store_down"`
	Draining      bool   `json:"draining"`
	// CutOff is set while the VM reaches no upstream.
	CutOff bool `json:"cut_off"`
	// KeysUsable is unset while requests with API keys are passed on, as the configuration
	// is not proven to be the newest, and ProofAgeMS is the proof's age; null if there is none.
	KeysUsable bool     `json:"keys_usable"`
	ProofAgeMS *int64   `json:"config_proof_age_ms"`
	InFlight   int64    `json:"in_flight"`
	Engines    []string `json:"engines"`
	Members    []string `json:"members"`
	// Quotas is null if no customer has a limit.
	Quotas *quotaStatus `json:"quotas"`
	// Leaving lists the upstreams that have said in an answer that they leave.
	Leaving []string `json:"leaving"`
	// RateLimits lists the requests a second that upstreams take from all VMs
	// together, as far as this daemon knows.
	RateLimits map[string]float64 `json:"rate_limits"`
	// BlockedParts lists the prompt parts whose requests reach no engine.
	BlockedParts []string `json:"blocked_prompt_parts"`
	// BlockedRequests lists the fingerprints of requests that reach no engine.
	BlockedRequests []string `json:"blocked_requests"`
}

func (g *Gateway) serveStatus(w http.ResponseWriter, _ *http.Request) {
	message := statusMessage{
		VM:              g.settings.Load().VM,
		Incarnation:     g.incarnation,
		StoreRevision:   g.mirror.Revision(),
		StoreDown:       g.storeDown.Load(),
		Draining:        g.draining.Load(),
		CutOff:          g.CutOff(),
		KeysUsable:      g.KeysUsable(),
		Quotas:          g.quotaStatus(),
		ProofAgeMS:      g.proofAgeMS(),
		InFlight:        g.relay.InFlight(),
		Engines:         g.keeper.OwnedEngines(),
		Leaving:         g.leavingByStatement(),
		RateLimits:      g.locator.RateLimits(),
		BlockedParts:    g.blocked(quarantine.PromptPart),
		BlockedRequests: g.blocked(quarantine.WholeRequest),
	}
	if table := g.relay.Table(); table != nil {
		message.Version = table.Version()
	}
	for _, m := range g.keeper.Members() {
		message.Members = append(message.Members, m.Name)
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the operator has disconnected; nothing to do.
	_ = json.NewEncoder(w).Encode(message)
}
