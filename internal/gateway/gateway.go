package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/dissemination"
	"github.com/barleylift/barleylift/internal/fleet"
	"github.com/barleylift/barleylift/internal/freshness"
	"github.com/barleylift/barleylift/internal/hop"
	"github.com/barleylift/barleylift/internal/limit"
	"github.com/barleylift/barleylift/internal/locator"
	"github.com/barleylift/barleylift/internal/mesh"
	"github.com/barleylift/barleylift/internal/metrics"
	"github.com/barleylift/barleylift/internal/mirror"
	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/places"
	"github.com/barleylift/barleylift/internal/relay"
	"github.com/barleylift/barleylift/internal/replicaload"
	"github.com/barleylift/barleylift/internal/topology"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"
)

// keyPrefix is the prefix of the gateway's own keys in the key-value service.
const keyPrefix = "barleylift/"

// memoryShare is the part of a daemon's memory that the Go heap may use, and heldShare that
// which may hold upstreams' answers.
const (
	memoryShare = 0.7
	heldShare   = 0.125
)

// Options are the dependencies of a Gateway.
type Options struct {
	Settings Settings
	Platform Platform
	// Reload reads the settings again.
	Reload func() (Settings, error)
	// Metrics is the address of the metrics page, as host:port; empty for none.
	Metrics string
	// Dial opens connections to upstreams; nil for hop.Dial.
	Dial     hop.Dialer
	Registry *prometheus.Registry
	Meters   *metrics.Gateway
	Log      *slog.Logger
}

// Gateway is one daemon.
type Gateway struct {
	options     Options
	settings    atomic.Pointer[Settings]
	platform    Platform
	log         *slog.Logger
	incarnation int64

	mirror      *mirror.Mirror
	keeper      *fleet.Keeper
	locator     *locator.Locator
	orders      *orders.Pool
	relay       *relay.Relay
	mesh        *mesh.Mesh
	pools       *pools
	budgets     *budgets
	peers       *peers
	turns       *turns
	origins     *origins
	quarantined *quarantined
	reach       *reach
	// router and coordinators are those of the entries that daemons share.
	router       *dissemination.Router
	coordinators *dissemination.Coordinators
	// proof is that the configuration is the newest, and keysWereUsable what was last logged
	// of it.
	proof          freshness.Proof
	keysWereUsable atomic.Bool
	quotas         *quotas
	// replicaSums is what runs at replicas on all VMs, if this one is a coordinator, and
	// replicaLoads what coordinators have reported of that.
	replicaSums  *replicaload.Sums
	replicaLoads replicaload.Known
	// places are this VM's places at fragile replicas, and placeGranter hands out those of the
	// replicas that this VM ranks first for.
	places       *places.Client
	placeGranter *places.Granter
	// placeMembers is the digest of the members when a place was last claimed here.
	placeMembers atomic.Uint64
	// software is what the key-value service says of software versions, and softwareSeenFrom
	// since when this daemon sees those of the engines, by clock.Boot; 0 if it doesn't yet.
	software         *software
	softwareSeenFrom atomic.Int64
	// replicaLoadsKnown is whether the last log line on replicaLoads said that sums are in
	// use. Only the goroutine of the exchanges uses it.
	replicaLoadsKnown bool
	// forwardLimiter limits the bytes that this daemon forwards as a watcher.
	forwardLimiter *rate.Limiter

	draining  atomic.Bool
	storeDown atomic.Bool
	// firstReadApplied is set once the first read of the key-value service has
	// been applied.
	firstReadApplied atomic.Bool
	// storeRegainedAt is when the service last became reachable, by clock.Boot.
	storeRegainedAt atomic.Int64
	// completeness proves that the copy of the service is up to date between two
	// polls, and copyWasProven is what was last logged of that.
	completeness  completeness
	copyWasProven atomic.Bool
	// checkpointAt is when the last checkpoint came, by clock.Boot.
	checkpointAt atomic.Int64
	// lastCheckpointAt is when this daemon last sent checkpoints. Only the goroutine of the
	// heartbeats uses it and outage.
	lastCheckpointAt time.Duration
	outage           storeOutage
	// era is the era of the key-value service that was applied last.
	era atomic.Int64

	// mu guards the fields below; it is not held during I/O.
	mu sync.Mutex
	// upstreams holds the current registrations.
	upstreams map[string]topology.Upstream
	// removals holds the upstreams without a registration that are still used.
	removals map[string]removal
	// refreshedAt is when the copy was last refreshed for removals.
	refreshedAt time.Duration
	// modelLoadNotBefore maps engines' processes to the earliest time to order a
	// load of their base model.
	modelLoadNotBefore map[processKey]time.Duration
	// statedLeaving holds the processes that are known to leave from an answer.
	statedLeaving map[processKey]*leavingStatement
	// reassign triggers a new assignment of engines.
	reassign chan struct{}
}

// processKey identifies one process of an upstream.
type processKey struct {
	id          string
	incarnation int64
}

// Run runs a daemon until ctx ends and it has drained.
func Run(ctx context.Context, options Options) error {
	g, err := build(options)
	if err != nil {
		return err
	}
	return g.run(ctx)
}

// maxIncarnation bounds the random incarnation of a daemon's process, so that it
// is exact in JSON. Incarnations are only compared for equality: one from the
// time of day would repeat after a step of the clock.
const maxIncarnation = 1 << 53

func build(options Options) (*Gateway, error) {
	if options.Dial == nil {
		options.Dial = hop.Dial
	}
	s := options.Settings
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	}
	g := &Gateway{
		options:            options,
		platform:           options.Platform,
		log:                options.Log.With("part", "gateway"),
		incarnation:        1 + rand.Int64N(maxIncarnation),
		budgets:            newBudgets(s.Budget, time.Unix(0, int64(clock.Boot()))),
		upstreams:          make(map[string]topology.Upstream),
		removals:           make(map[string]removal),
		modelLoadNotBefore: make(map[processKey]time.Duration),
		statedLeaving:      make(map[processKey]*leavingStatement),
		reassign:           make(chan struct{}, 1),
		peers:              newPeers(),
		turns:              newTurns(),
		origins:            newOrigins(),
		quarantined:        newQuarantined(),
		reach:              newReach(),
		coordinators:       dissemination.NewCoordinators(s.VM),
		replicaSums:        replicaload.NewSums(),
		software:           newSoftware(),
		places:             places.NewClient(),
		placeGranter:       places.NewGranter(),
		forwardLimiter:     rate.NewLimiter(forwardRate, forwardBurst),
	}
	g.settings.Store(&s)
	g.proof.SetBound(s.RevocationBound)
	g.storeDown.Store(true)
	g.quotas = newQuotas(s, g.incarnation, options.Meters.Quotas, options.Log)
	g.pools = newPools(g.dialUpstream, g.connectionShare)
	if err := g.buildParts(s); err != nil {
		return nil, err
	}
	return g, nil
}

func (g *Gateway) buildParts(s Settings) error {
	var err error
	log := g.options.Log
	meters := g.options.Meters
	if g.locator, err = locator.New(locator.Config{Zone: s.Zone, Name: s.VM, SendRequest: g.sendRequest, SendProgress: g.sendProgress, SendTurnRequest: g.sendTurnRequest, OthersRunning: g.replicaLoads.Others, Log: log}); err != nil {
		return err
	}
	if g.keeper, err = fleet.NewKeeper(fleet.KeeperConfig{
		KV:     g.platform.Store(),
		Prefix: keyPrefix,
		Self: fleet.Member{
			Name: s.VM, Zone: s.Zone, Region: s.Region, Entry: s.Entry.String(), Mesh: s.Mesh.String(), Incarnation: g.incarnation, Cores: s.Cores,
		},
		Timing:         fleet.Timing{LeaseTTL: max(fleet.DefaultLeaseTTL, s.MinLeaseTTL), QuietTime: s.QuietTime},
		Log:            log,
		Outage:         g.storeOutageReports,
		IsOrdering:     g.reportedMayOrder,
		OnChange:       g.signalReassign,
		InheritCounted: s.QuotaWindow > 0,
	}); err != nil {
		return err
	}
	if g.orders, err = orders.New(orders.Config{
		Client:       g.platform.Engines(g.pools, g.observeStatement),
		Holder:       s.VM,
		MayOrder:     g.keeper.MayOrder,
		PausedUntil:  g.locator.PausedUntil,
		ReportStatus: g.sendStatus,
		CountOrder:   meters.EngineOrder,
		CountReport:  meters.EngineReport,
		Log:          log,
	}); err != nil {
		return err
	}
	if g.relay, err = relay.New(relay.Config{
		Protocol:     g.platform.Protocol(),
		Locator:      g.locator,
		Pools:        g.pools,
		Budget:       func(service string) *limit.RetryBudget { return g.budgets.of(service) },
		Metrics:      meters,
		Observe:      g.observeStatement,
		Origins:      g,
		Quarantine:   g,
		Peers:        g,
		Freshness:    g,
		Quotas:       g,
		Places:       g,
		MaxHeldBytes: int64(heldShare * float64(s.MemoryMB) * (1 << 20)),
		Log:          log,
	}); err != nil {
		return err
	}
	if g.mirror, err = mirror.New(mirror.Config{
		KV: g.platform.Store(), Apply: g.apply, Gap: g.keeper.NoteGap, ReachabilityChanged: g.setStoreReachable, Proven: g.removeExpired, Log: log,
		CaughtUp: func(cause mirror.CatchUpCause, way string) { meters.CatchUp(string(cause), way) },
	}); err != nil {
		return err
	}
	if g.router, err = g.newRouter(s); err != nil {
		return err
	}
	g.routeQuotas()
	g.shareReplicaLoads()
	g.sharePlaces()
	g.mesh, err = mesh.Open(mesh.Config{
		Listen: s.Mesh, From: s.VM, Incarnation: g.incarnation, Receive: g.receive, CountBytes: meters.MeshBytes, Log: log,
	})
	return err
}

// connectionShare returns this daemon's share of the connections that one
// upstream of a service accepts from all daemons; 0 for no limit.
func (g *Gateway) connectionShare(service string) int {
	table := g.relay.Table()
	if table == nil {
		return 0
	}
	s := table.Service(service)
	if s == nil || s.MaxConnections <= 0 {
		return 0
	}
	// A tenth is reserved for control calls and for daemons that have just joined.
	const usable = 0.9
	return max(int(usable*float64(s.MaxConnections))/g.budgets.memberCount(), 1)
}

func (g *Gateway) run(ctx context.Context) error {
	s := g.settings.Load()
	g.log.Info("daemon starting", "vm", s.VM, "zone", s.Zone, "entry", s.Entry.String(), "boot", g.incarnation)
	servers, err := g.listen()
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var running sync.WaitGroup
	running.Go(g.mesh.Run)
	for _, part := range []func(context.Context){
		g.mirror.Run, g.keeper.Run, g.runAssignments, g.runHeartbeats, g.runSweeps, g.runReloads, g.runReachability, g.runExchanges, g.runPlaces, g.runArchive, g.runVersionRecords, g.runQuotas,
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

// sweepInterval is the time between two checks for idle connections and for
// upstreams to remove.
const sweepInterval = 500 * time.Millisecond

func (g *Gateway) runSweeps(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.pools.sweep(now)
			g.reach.sweep(now)
			g.proveRemovals()
			g.expireStatements()
			g.logEndedPauses()
			g.storeQuarantine(ctx)
			g.storeSoftwareVersions(ctx)
		}
	}
}
