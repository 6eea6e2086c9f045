package gateway

import (
	"context"
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleylift/barleylift/internal/fleet"
	"github.com/barleylift/barleylift/internal/limit"
	"github.com/barleylift/barleylift/internal/locator"
	"github.com/barleylift/barleylift/internal/mesh"
	"github.com/barleylift/barleylift/internal/metrics"
	"github.com/barleylift/barleylift/internal/mirror"
	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/relay"
	"github.com/barleylift/barleylift/internal/topology"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"
)

// keyPrefix is that of the product's own keys in the key-value service.
const keyPrefix = "barleylift/"

// memoryShare is the part of a daemon's memory that the Go heap may take.
const memoryShare = 0.7

// Options are the dependencies of a Gateway.
type Options struct {
	Settings Settings
	Platform Platform
	// Reload reads the settings again.
	Reload func() (Settings, error)
	// Metrics is the address of the metrics page, as host:port; empty for none.
	Metrics  string
	Registry *prometheus.Registry
	Meters   *metrics.Gateway
	Log      *slog.Logger
}

// Gateway is one daemon.
type Gateway struct {
	options  Options
	settings atomic.Pointer[Settings]
	platform Platform
	log      *slog.Logger
	boot     int64

	mirror  *mirror.Mirror
	keeper  *fleet.Keeper
	locator *locator.Locator
	orders  *orders.Pool
	relay   *relay.Relay
	mesh    *mesh.Mesh
	pools   *pools
	budgets *budgets
	peers   *peers
	// telling bounds the bytes that this daemon passes on as a watcher.
	telling *rate.Limiter

	draining  atomic.Bool
	storeDown atomic.Bool
	// primed tells that the first read of the service has been taken over.
	primed atomic.Bool
	// storeBack is when the service was last regained, by clock.Boot.
	storeBack atomic.Int64

	// mu guards the fields below; it is not held during I/O.
	mu sync.Mutex
	// upstreams are the registrations in force.
	upstreams map[string]topology.Upstream
	// missing maps upstreams without a registration to when they count as gone.
	missing map[string]time.Duration
	// modelFrom is when an engine's process may load its base model.
	modelFrom map[processKey]time.Duration
	// reassign asks for new assignments of engines.
	reassign chan struct{}
}

// processKey names one process of an upstream.
type processKey struct {
	id   string
	born int64
}

// Run runs a daemon until ctx ends and it has drained.
func Run(ctx context.Context, options Options) error {
	g, err := build(options)
	if err != nil {
		return err
	}
	return g.run(ctx)
}

func build(options Options) (*Gateway, error) {
	s := options.Settings
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	}
	g := &Gateway{
		options:   options,
		platform:  options.Platform,
		log:       options.Log.With("part", "gateway"),
		boot:      time.Now().UnixMilli(),
		budgets:   newBudgets(s.Budget),
		upstreams: make(map[string]topology.Upstream),
		missing:   make(map[string]time.Duration),
		modelFrom: make(map[processKey]time.Duration),
		reassign:  make(chan struct{}, 1),
		peers:     newPeers(),
		telling:   rate.NewLimiter(tellRate, tellBurst),
	}
	g.settings.Store(&s)
	g.storeDown.Store(true)
	g.pools = newPools(g.connectionShare)
	if err := g.buildParts(s); err != nil {
		return nil, err
	}
	return g, nil
}

func (g *Gateway) buildParts(s Settings) error {
	var err error
	log := g.options.Log
	meters := g.options.Meters
	if g.locator, err = locator.New(locator.Config{Zone: s.Zone, Name: s.VM, SendRequest: g.ask, SendProgress: g.begun, Log: log}); err != nil {
		return err
	}
	if g.keeper, err = fleet.NewKeeper(fleet.KeeperConfig{
		KV:     g.platform.Store(),
		Prefix: keyPrefix,
		Self: fleet.Member{
			Name: s.VM, Zone: s.Zone, Region: s.Region, Entry: s.Entry.String(), Mesh: s.Mesh.String(), Incarnation: g.boot, Cores: s.Cores,
		},
		Timing:          fleet.Timing{LeaseTTL: max(fleet.DefaultLeaseTTL, s.MinLeaseTTL), QuietTime: s.QuietTime},
		Log:             log,
		AllDisconnected: g.storeUnreachable,
		IsOrdering:      g.ordering,
		OnChange:        g.signalReassign,
	}); err != nil {
		return err
	}
	if g.orders, err = orders.New(orders.Config{
		Client:       g.platform.Engines(g.pools),
		Holder:       s.VM,
		MayOrder:     g.keeper.MayOrder,
		ReportStatus: g.tell,
		CountOrder:   meters.EngineOrder,
		CountReport:  meters.EngineReport,
		Log:          log,
	}); err != nil {
		return err
	}
	if g.relay, err = relay.New(relay.Config{
		Protocol: g.platform.Protocol(),
		Locator:  g.locator,
		Senders:  g.pools,
		Budget:   func(service string) *limit.RetryBudget { return g.budgets.of(service) },
		Metrics:  meters,
		Log:      log,
	}); err != nil {
		return err
	}
	if g.mirror, err = mirror.New(mirror.Config{
		KV: g.platform.Store(), Apply: g.apply, ReachabilityChanged: g.storeReachable, Log: log,
	}); err != nil {
		return err
	}
	g.mesh, err = mesh.Open(mesh.Config{
		Listen: s.Mesh, From: s.VM, Incarnation: g.boot, Receive: g.receive, CountBytes: meters.MeshBytes, Log: log,
	})
	return err
}

// connectionShare is this daemon's part of the connections that one upstream
// of a service accepts from all daemons.
func (g *Gateway) connectionShare(service string) int {
	table := g.relay.Table()
	if table == nil {
		return 0
	}
	s := table.Service(service)
	if s == nil || s.MaxConnections <= 0 {
		return 0
	}
	// A tenth is left to control calls and to daemons that have just joined.
	const usable = 0.9
	return max(int(usable*float64(s.MaxConnections))/g.budgets.memberCount(), 1)
}

func (g *Gateway) run(ctx context.Context) error {
	s := g.settings.Load()
	g.log.Info("daemon starting", "vm", s.VM, "zone", s.Zone, "entry", s.Entry.String(), "boot", g.boot)
	servers, err := g.listen()
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var running sync.WaitGroup
	running.Go(g.mesh.Run)
	for _, part := range []func(context.Context){
		g.mirror.Run, g.keeper.Run, g.runAssignments, g.runNotices, g.runSweeps, g.runReloads,
	} {
		running.Go(func() { part(background) })
	}
	servers.serve()
	<-ctx.Done()
	g.drain(servers)
	stop()
	if err := g.mesh.Close(); err != nil {
		g.log.Warn("mesh socket not closed", "error", err)
	}
	running.Wait()
	g.log.Info("daemon stopped", "vm", s.VM)
	return nil
}

// sweepEvery is the time between two looks at idle connections and missing upstreams.
const sweepEvery = 500 * time.Millisecond

func (g *Gateway) runSweeps(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.pools.sweep(now)
			g.removeMissing()
		}
	}
}
