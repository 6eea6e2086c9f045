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
	// announceTimeout bounds the announcement that a daemon drains.
	announceTimeout = 2 * time.Second
	// revokeTimeout bounds the end of the lease after a drain.
	revokeTimeout = 5 * time.Second
)

// Options are the parts that a process may bring along in place of what its
// settings name.
type Options struct {
	// PeerTLS replaces the certificate files of the settings.
	PeerTLS *tls.Config
}

// Daemon is one barleylift process. Start it once; Drain ends it gracefully
// and Kill at once.
type Daemon struct {
	settings *settings.Settings
	log      *slog.Logger
	registry *prometheus.Registry
	metrics  *metrics.Set

	kv        infra.KV
	vmList    infra.VMList
	transport *peer.Transport
	store     *catalog.Store
	manager   *ownership.Manager
	owners    *owner.Pool
	permits   *permit.Service
	loads     *permit.Client
	claims    *claim.Pool
	services  *upstream.ServiceClient
	plain     *plain.Handler
	locator   *locate.Service
	entry     *entry.Handler
	leaving   *leavingVMs
	limiter   *limit.Limiter

	callers *listener
	admin   *listener
	cancel  context.CancelFunc
	polling errgroup.Group
}

// New builds a daemon and binds its addresses. Errors name the part and field.
func New(s *settings.Settings, log *slog.Logger, options Options) (*Daemon, error) {
	d := &Daemon{settings: s, log: log.With("part", "daemon", "daemon", s.Name), leaving: newLeavingVMs(), limiter: limit.NewLimiter()}
	log = log.With("daemon", s.Name)
	steps := []func(*slog.Logger, Options) error{
		d.buildPlatform, d.buildTransport, d.buildStore, d.buildManager,
		d.buildOwners, d.buildServices, d.buildEntry, d.buildListeners,
	}
	for _, step := range steps {
		if err := step(log, options); err != nil {
			d.abandon()
			return nil, err
		}
	}
	d.registerPeerMethods()
	return d, nil
}

// abandon releases what a failed New has built.
func (d *Daemon) abandon() {
	if d.owners != nil {
		d.owners.Stop()
	}
	if d.claims != nil {
		d.claims.Stop()
	}
	if d.transport != nil {
		d.transport.Stop()
	}
	for _, l := range []*listener{d.callers, d.admin} {
		if l != nil {
			l.close()
		}
	}
}

// Start begins to serve. It returns once callers can connect; calls are
// answered not_run until the first configuration is in force.
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
		d.polling.Go(func() error { return d.pollVMs(ctx) })
	}
	d.admin.serve()
	d.callers.serve()
	d.log.Info("serving", "entry", d.EntryAddress(), "peer", d.transport.Address(), "zone", d.settings.Zone)
	return nil
}

// apply puts a configuration generation in force in every part.
func (d *Daemon) apply(snapshot *catalog.Snapshot) {
	if err := d.plain.Apply(snapshot); err != nil {
		d.log.Error("routes stay as they were", "error", err)
	}
	d.services.Apply(snapshot)
	d.owners.Apply(snapshot)
	d.manager.SetResources(resources(snapshot))
}

// resources lists everything that some daemon has to own.
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

// EntryAddress returns the host:port that callers are told.
func (d *Daemon) EntryAddress() string {
	return d.manager.Self().EntryAddress
}

// AdminAddress returns the host:port of metrics and health.
func (d *Daemon) AdminAddress() string {
	return d.admin.address()
}

// Ready is closed when the first configuration generation is in force.
func (d *Daemon) Ready() <-chan struct{} {
	return d.store.Ready()
}

// Generation returns the configuration generation in force.
func (d *Daemon) Generation() uint64 {
	return d.store.Generation()
}

// View returns what the daemon sees of membership and ownership.
func (d *Daemon) View() ownership.View {
	return d.manager
}

// Drain ends the daemon without cutting off a call: it leaves the member list,
// goes on serving for as long as callers may keep an answer that names it,
// finishes every call, hands over what it owns and stops. It returns an error
// if ctx or the settings' bound ends first; calls that are left are cut then.
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

// announceLeaving takes the daemon off the list that callers are told. While
// the key-value service is down the others go on naming it; that must not use
// up the time in which calls can finish.
func (d *Daemon) announceLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := d.manager.MarkLeaving(ctx); err != nil {
		d.log.Warn("departure was not announced", "error", err)
	}
}

// finishCalls waits for the calls of callers and of other daemons.
func (d *Daemon) finishCalls(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return d.callers.shutdown(ctx) })
	group.Go(func() error { return d.owners.Drain(ctx) })
	group.Go(func() error { return d.claims.Drain(ctx) })
	return group.Wait()
}

// stop ends all parts after the calls have ended.
func (d *Daemon) stop(ctx context.Context) {
	d.stopManager(ctx)
	d.callers.close()
	d.admin.close()
	d.owners.Stop()
	d.claims.Stop()
	d.loads.Stop()
	d.permits.Stop()
	d.store.Stop()
	d.cancel()
	_ = d.polling.Wait()
	d.services.Close()
	d.transport.Stop()
}

// stopManager revokes the lease, as far as the key-value service answers.
func (d *Daemon) stopManager(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	d.manager.Stop(ctx)
}

// Kill ends the daemon as a crash would, as far as one process can show it:
// connections break, and the lease is left to run out.
func (d *Daemon) Kill() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	d.callers.close()
	d.admin.close()
	d.transport.Stop()
	d.cancel()
	d.manager.Stop(ended)
	d.owners.Stop()
	d.claims.Stop()
	d.loads.Stop()
	d.permits.Stop()
	d.store.Stop()
	_ = d.polling.Wait()
	d.services.Close()
}

// Run serves until ctx ends and then drains.
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

// ready reports why the daemon should get no new callers, nil if it should.
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

// handlerOf reports an error as 503, none as 200.
func handlerOf(check func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := check(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	}
}
