package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/claim"
	"github.com/barleylift/barleylift/internal/entry"
	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/locate"
	"github.com/barleylift/barleylift/internal/metrics"
	"github.com/barleylift/barleylift/internal/owner"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/peer"
	"github.com/barleylift/barleylift/internal/permit"
	"github.com/barleylift/barleylift/internal/plain"
	"github.com/barleylift/barleylift/internal/profile"
	"github.com/barleylift/barleylift/internal/upstream"
)

func (d *Daemon) buildPlatform(*slog.Logger, Options) error {
	d.registry = prometheus.NewRegistry()
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.metrics = metrics.New(d.registry)
	kv, err := infra.NewEtcdKV(infra.EtcdConfig{
		Endpoints: d.settings.KeyValue.Endpoints,
		Timeout:   d.settings.KeyValue.Timeout,
		Observe:   d.metrics.KVCall,
	})
	if err != nil {
		return fmt.Errorf("key-value service: %w", err)
	}
	d.kv = kv
	if d.settings.VMList.URL == "" {
		return nil
	}
	client, err := infra.NewVMListClient(d.settings.VMList.URL, nil)
	if err != nil {
		return fmt.Errorf("VM list: %w", err)
	}
	d.vmList = client
	return nil
}

func (d *Daemon) buildTransport(log *slog.Logger, options Options) error {
	config := options.PeerTLS
	if config == nil {
		loaded, err := peer.LoadTLS(d.settings.Peer.TLSCert, d.settings.Peer.TLSKey, d.settings.Peer.TLSCA)
		if err != nil {
			return err
		}
		config = loaded
	}
	transport, err := peer.New(peer.Config{
		Listen: d.settings.Peer.Listen,
		TLS:    config,
		Log:    log.With("part", "peer"),
		ObserveBytes: func(method peer.Method, direction string, n int) {
			d.metrics.PeerBytes(methodLabel(method), direction, n)
		},
	})
	if err != nil {
		return err
	}
	d.transport = transport
	return nil
}

// methodLabel returns the metric label of a method. Unknown methods share one
// label, so that peers cannot create an unbounded number of labels.
func methodLabel(method peer.Method) string {
	switch method {
	case peer.MethodModelCall, peer.MethodLocate, peer.MethodLoad, peer.MethodPermit,
		peer.MethodKeyedCall, peer.MethodConfiguration, peer.MethodStatus, plain.MethodSettle:
		return string(method)
	default:
		return "other"
	}
}

func (d *Daemon) buildStore(log *slog.Logger, _ Options) error {
	store, err := catalog.NewStore(catalog.StoreConfig{
		KV:         d.kv,
		Caller:     d.transport,
		Members:    func() []ownership.Member { return d.manager.Members() },
		Self:       d.settings.Name,
		Metrics:    d.metrics,
		Log:        log,
		StaleBound: d.settings.Configuration.StaleBound,
	})
	if err != nil {
		return err
	}
	d.store = store
	return nil
}

func (d *Daemon) buildManager(log *slog.Logger, _ Options) error {
	listen, err := listenTCP(d.settings.Entry.Listen, d.settings.Limits.MaxConnections)
	if err != nil {
		return fmt.Errorf("entry.listen: %w", err)
	}
	d.callerListener = listen
	manager, err := ownership.NewManager(ownership.Config{
		KV: d.kv,
		Self: ownership.Member{
			Name:         d.settings.Name,
			Zone:         d.settings.Zone,
			Region:       d.settings.Region,
			PeerAddress:  advertisedAddress(d.settings.Peer.Advertise, d.transport.Address()),
			EntryAddress: advertisedAddress(d.settings.Entry.Advertise, d.callerListener.address()),
		},
		LeaseTTL: d.settings.Lease.TTL,
		RegionOf: d.regionOf,
		Listener: ownershipListener{d},
		Log:      log,
	})
	if err != nil {
		return fmt.Errorf("ownership: %w", err)
	}
	d.manager = manager
	return nil
}

// advertisedAddress returns the configured address, or the bound one if no
// address is configured or its port is 0.
func advertisedAddress(configured, bound string) string {
	if configured == "" || hasPortZero(configured) {
		return bound
	}
	return configured
}

func (d *Daemon) regionOf(zone string) string {
	if snapshot := d.store.Current(); snapshot != nil {
		if z, ok := snapshot.Zone(zone); ok {
			return z.Region
		}
	}
	return ""
}

func (d *Daemon) weightStore(name string) (catalog.WeightStore, bool) {
	snapshot := d.store.Current()
	if snapshot == nil {
		return catalog.WeightStore{}, false
	}
	return snapshot.WeightStore(name)
}

func (d *Daemon) buildOwners(log *slog.Logger, _ Options) error {
	d.permitService = permit.NewService(d.weightStore, log)
	client, err := permit.NewClient(permit.ClientConfig{
		View:    d.manager,
		Caller:  d.transport,
		Service: d.permitService,
		Stores:  d.weightStore,
		Logger:  log,
		Pressure: func(engine string, adapter call.AdapterRef) float64 {
			return d.owners.Pressure(engine, adapter)
		},
	})
	if err != nil {
		return err
	}
	d.permitClient = client
	owners, err := owner.NewPool(owner.Config{
		KV:       d.kv,
		View:     d.manager,
		Permits:  client,
		Snapshot: d.store.Current,
		Metrics:  d.metrics,
		Log:      log,
		Release:  d.releaseFunc(ownership.KindEngine),
	})
	if err != nil {
		return err
	}
	d.owners = owners
	return nil
}

// releaseFunc returns a function that releases the ownership of one resource of
// the kind.
func (d *Daemon) releaseFunc(kind ownership.Kind) func(context.Context, string) error {
	return func(ctx context.Context, id string) error {
		return d.manager.Release(ctx, kind, id)
	}
}

func (d *Daemon) buildServices(log *slog.Logger, _ Options) error {
	services, err := upstream.NewServiceClient(upstream.ServiceClientConfig{Zone: d.settings.Zone, Log: log})
	if err != nil {
		return err
	}
	d.services = services
	claims, err := claim.NewPool(claim.Config{
		KV:       d.kv,
		View:     d.manager,
		Sender:   services,
		Snapshot: d.store.Current,
		Metrics:  d.metrics,
		Log:      log,
		Release:  d.releaseFunc(ownership.KindClaim),
		Forward:  plain.NewForwarder(d.transport, d.manager),
	})
	if err != nil {
		return err
	}
	d.claims = claims
	handler, err := plain.NewHandler(plain.Config{
		Caller:       d.transport,
		View:         d.manager,
		Claims:       claims,
		Services:     services,
		Metrics:      d.metrics,
		Log:          log,
		Authenticate: d.authenticate,
		Limiter:      d.limiter,
	})
	if err != nil {
		return err
	}
	d.plain = handler
	return nil
}

func (d *Daemon) authenticate(r *http.Request) (catalog.Customer, profile.Profile, call.Result) {
	return entry.Authenticate(d.store.Current(), r)
}

func (d *Daemon) buildEntry(log *slog.Logger, _ Options) error {
	locator, err := locate.New(locate.Config{
		Snapshot: d.store.Current,
		View:     d.manager,
		Caller:   d.transport,
		Loads:    d.owners,
		Leaving:  d.leavingVMs.has,
		Log:      log,
	})
	if err != nil {
		return err
	}
	d.locator = locator
	handler, err := entry.New(entry.Config{
		Snapshot:      d.store.Current,
		ConfigFresh:   d.store.Fresh,
		View:          d.manager,
		Caller:        d.transport,
		Runner:        d.owners,
		Locator:       locator,
		Plain:         d.plain,
		Limiter:       d.limiter,
		Status:        d.status,
		Metrics:       d.metrics,
		Log:           log,
		EntriesMaxAge: d.settings.Drain.AnswerKeep,
		MaxBodyBytes:  d.settings.Limits.MaxBodyBytes,
		MaxInFlight:   d.settings.Limits.MaxCallsInFlight,
	})
	if err != nil {
		return err
	}
	d.entry = handler
	return nil
}

func (d *Daemon) buildListeners(log *slog.Logger, _ Options) error {
	certificate, err := callerCertificate(d.settings.Entry.TLSCert, d.settings.Entry.TLSKey)
	if err != nil {
		return err
	}
	d.callerListener.attach(d.entry, certificate, d.settings.Limits.MaxHeaderBytes, log.With("part", "entry"))
	admin, err := listenTCP(d.settings.Admin.Listen, maxAdminConnections)
	if err != nil {
		return fmt.Errorf("admin.listen: %w", err)
	}
	d.adminListener = admin
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", checkHandler(func() error { return nil }))
	mux.HandleFunc("GET /readyz", checkHandler(d.ready))
	d.adminListener.attach(mux, nil, d.settings.Limits.MaxHeaderBytes, log.With("part", "admin"))
	return nil
}

// callerCertificate loads the TLS configuration of the entry; nil means plain HTTP.
func callerCertificate(certFile, keyFile string) (*tls.Config, error) {
	if certFile == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("entry.tls_cert: %w", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}

func (d *Daemon) registerPeerMethods() {
	d.transport.Handle(peer.MethodModelCall, d.entry.ServePeer)
	d.transport.Handle(peer.MethodLocate, d.locator.ServeLocate)
	d.transport.Handle(peer.MethodLoad, d.locator.ServeLoad)
	d.transport.Handle(peer.MethodPermit, d.permitService.Serve)
	d.transport.Handle(peer.MethodKeyedCall, d.plain.PeerHandler())
	d.transport.Handle(plain.MethodSettle, d.plain.SettleHandler())
	d.transport.Handle(peer.MethodConfiguration, d.store.Handler())
}
