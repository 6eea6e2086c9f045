package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/claim"
	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/entry"
	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/limit"
	"github.com/barleylift/barleylift/internal/locate"
	"github.com/barleylift/barleylift/internal/metrics"
	"github.com/barleylift/barleylift/internal/owner"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/peer"
	"github.com/barleylift/barleylift/internal/permit"
	"github.com/barleylift/barleylift/internal/plain"
	"github.com/barleylift/barleylift/internal/settings"
	"github.com/barleylift/barleylift/internal/upstream"
)

const (
	// announceTimeout bounds the announcement that the daemon is leaving.
	announceTimeout = 2 * time.Second
	// revokeTimeout bounds the revocation of the lease after a drain.
	revokeTimeout = 5 * time.Second
)

// Options override parts of the settings.
type Options struct {
	// PeerTLS replaces the peer certificate files of the settings; nil means that
	// the files are loaded.
	PeerTLS *tls.Config
}

// Daemon is one barleylift daemon. It may be started only once. Drain shuts it
// down gracefully, Kill immediately.
type Daemon struct {
	settings *settings.Settings
	log      *slog.Logger
	registry *prometheus.Registry
	metrics  *metrics.Set

	kv            infra.KV
	vmList        infra.VMList
	transport     *peer.Transport
	store         *catalog.Store
	manager       *ownership.Manager
	owners        *owner.Pool
	permitService *permit.Service
	permitClient  *permit.Client
	claims        *claim.Pool
	services      *upstream.ServiceClient
	plain         *plain.Handler
	locator       *locate.Service
	entry         *entry.Handler
	leavingVMs    *leavingVMs
	limiter       *limit.Limiter

	callerListener *listener
	adminListener  *listener
	cancel         context.CancelFunc
	pollers        errgroup.Group
}

// New builds a daemon and binds its addresses. Errors name the component and the
// field.
func New(s *settings.Settings, log *slog.Logger, options Options) (*Daemon, error) {
	d := &Daemon{settings: s, log: log.With("part", "daemon", "daemon", s.Name), leavingVMs: newLeavingVMs(), limiter: limit.NewLimiter()}
	log = log.With("daemon", s.Name)
	steps := []func(*slog.Logger, Options) error{
		d.buildPlatform, d.buildTransport, d.buildStore, d.buildManager,
		d.buildOwners, d.buildServices, d.buildEntry, d.buildListeners,
	}
	for _, step := range steps {
		if err := step(log, options); err != nil {
			d.closeBuilt()
			return nil, err
		}
	}
	d.registerPeerMethods()
	return d, nil
}

// closeBuilt stops the components that were built before New failed.
func (d *Daemon) closeBuilt() {
	if d.owners != nil {
		d.owners.Stop()
	}
	if d.claims != nil {
		d.claims.Stop()
	}
	if d.transport != nil {
		d.transport.Stop()
	}
	for _, l := range []*listener{d.callerListener, d.adminListener} {
		if l != nil {
			l.close()
		}
	}
}

// Start starts the components. It returns once callers can connect; calls get
// the outcome not_run until the first configuration is in force.
func (d *Daemon) Start(ctx context.Context) error {
	ctx, d.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if err := d.transport.Start(); err != nil {
		return err
	}
	d.store.Subscribe(d.apply)
	d.store.Start(ctx)
	if err := d.manager.Start(ctx); err != nil {
		return fmt.Errorf("ownership: %w", err)
	}
	if d.vmList != nil {
		d.pollers.Go(func() error { return d.pollVMs(ctx) })
	}
	d.adminListener.serve()
	d.callerListener.serve()
	d.log.Info("serving", "entry", d.EntryAddress(), "peer", d.transport.Address(), "zone", d.settings.Zone)
	return nil
}

// apply applies a configuration generation to every component.
func (d *Daemon) apply(snapshot *catalog.Snapshot) {
	if err := d.plain.Apply(snapshot); err != nil {
		d.log.Error("could not apply the routes of the new configuration; keeping the previous routes", "error", err)
	}
	d.services.Apply(snapshot)
	d.owners.Apply(snapshot)
	d.manager.SetResources(resources(snapshot))
}

// resources returns all resources that need an owner.
func resources(snapshot *catalog.Snapshot) []ownership.Resource {
	all := claim.Resources()
	for _, e := range snapshot.Engines {
		all = append(all, ownership.Resource{Kind: ownership.KindEngine, ID: e.Name, Zone: e.Zone})
	}
	for _, w := range snapshot.WeightStores {
		all = append(all, ownership.Resource{Kind: ownership.KindPermits, ID: w.Name})
	}
	return all
}

// EntryAddress returns the host:port that is advertised to callers.
func (d *Daemon) EntryAddress() string {
	return d.manager.Self().EntryAddress
}

// AdminAddress returns the host:port of the metrics and health endpoints.
func (d *Daemon) AdminAddress() string {
	return d.adminListener.address()
}

// Ready is closed when the first configuration generation is in force.
func (d *Daemon) Ready() <-chan struct{} {
	return d.store.Ready()
}

// Generation returns the configuration generation in force.
func (d *Daemon) Generation() uint64 {
	return d.store.Generation()
}

// View returns the daemon's view of membership and ownership.
func (d *Daemon) View() ownership.View {
	return d.manager
}

// Drain stops the daemon without aborting calls: it announces that it is leaving,
// keeps serving for as long as callers may cache its address, finishes all calls,
// releases the resources that it owns and stops. It returns an error if ctx ends
// or settings.Drain.MaxDrain elapses first; the remaining calls are aborted then.
func (d *Daemon) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Drain.MaxDrain)
	defer cancel()
	d.log.Info("draining")
	d.entry.Drain()
	d.announceLeaving(ctx)
	clock.Sleep(ctx, d.settings.Drain.AnswerKeep)
	err := d.finishCalls(ctx)
	d.stop(ctx)
	d.log.Info("drained", "error", err)
	return err
}

// announceLeaving removes the daemon from the addresses that are given to callers.
// While the key-value service is down, the other daemons keep offering it; the
// timeout keeps the wait from using up the time in which calls can finish.
func (d *Daemon) announceLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := d.manager.MarkLeaving(ctx); err != nil {
		d.log.Warn("could not announce the drain; other daemons may still offer this one to callers", "error", err)
	}
}

// finishCalls waits until the calls of callers and of other daemons have ended.
func (d *Daemon) finishCalls(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return d.callerListener.shutdown(ctx) })
	group.Go(func() error { return d.owners.Drain(ctx) })
	group.Go(func() error { return d.claims.Drain(ctx) })
	return group.Wait()
}

// stop stops all components after the calls have ended.
func (d *Daemon) stop(ctx context.Context) {
	d.stopManager(ctx)
	d.callerListener.close()
	d.adminListener.close()
	d.owners.Stop()
	d.claims.Stop()
	d.permitClient.Stop()
	d.permitService.Stop()
	d.store.Stop()
	d.cancel()
	_ = d.pollers.Wait()
	d.services.Close()
	d.transport.Stop()
}

// stopManager stops the ownership manager, which revokes the lease if the
// key-value service responds within revokeTimeout.
func (d *Daemon) stopManager(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	d.manager.Stop(ctx)
}

// Kill simulates a crash of the daemon, as far as possible within one process:
// connections break and the lease is not revoked, so it expires.
func (d *Daemon) Kill() {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	d.callerListener.close()
	d.adminListener.close()
	d.transport.Stop()
	d.cancel()
	d.manager.Stop(canceled)
	d.owners.Stop()
	d.claims.Stop()
	d.permitClient.Stop()
	d.permitService.Stop()
	d.store.Stop()
	_ = d.pollers.Wait()
	d.services.Close()
}

// Run starts a daemon, serves until ctx ends and then drains.
func Run(ctx context.Context, s *settings.Settings, log *slog.Logger) error {
	d, err := New(s, log, Options{})
	if err != nil {
		return err
	}
	if err := d.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	return d.Drain(context.WithoutCancel(ctx))
}

var errNoSnapshot = errors.New("no configuration is in force yet")

// ready returns the reason why the daemon should get no new callers, or nil if
// it is ready.
func (d *Daemon) ready() error {
	switch {
	case d.store.Current() == nil:
		return errNoSnapshot
	case !d.store.Fresh():
		return errors.New("the configuration may be out of date")
	case d.manager.Self().Leaving:
		return errors.New("the daemon drains")
	}
	return nil
}

// checkHandler returns a handler that responds 503 with the error of check, or
// 200 if there is none.
func checkHandler(check func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := check(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	}
}
