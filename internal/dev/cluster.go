package dev

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/daemon"
	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/peer"
	"github.com/barleylift/barleylift/internal/settings"
)

// Options configure a Cluster. Zero values mean the defaults of the dev command.
type Options struct {
	// Listen is the first entry's address; empty for a free port on 127.0.0.1.
	Listen string
	// EnginesPerZone is the number of engines in each availability zone.
	EnginesPerZone int
	// Slots is the number of adapters that an engine holds at once.
	Slots int
	// Adapters is the number of configured adapters.
	Adapters int
	// StepTime is the duration of one decoding step.
	StepTime time.Duration
	// LoadsPerSecond is the number of adapter loads per second of the weight store.
	LoadsPerSecond float64
	// IgnoresFencing makes the engines accept orders with old fencing tokens.
	IgnoresFencing bool
	// LeaseTTL is the time to live of the daemons' leases.
	LeaseTTL time.Duration
	// AnswerKeep is how long callers may cache the list of entry addresses.
	AnswerKeep time.Duration
	// MaxDrain bounds a graceful shutdown.
	MaxDrain time.Duration
	// ServiceFault returns the fault of each request at the plain service; nil
	// means no faults.
	ServiceFault func(*http.Request) fake.ServiceFault
	Log          *slog.Logger
}

func (o Options) withDefaults() Options {
	setDefault(&o.Listen, "127.0.0.1:0")
	setDefault(&o.EnginesPerZone, 2)
	setDefault(&o.Slots, 3)
	setDefault(&o.Adapters, 40)
	setDefault(&o.StepTime, 9*time.Millisecond)
	setDefault(&o.LoadsPerSecond, 4)
	setDefault(&o.LeaseTTL, 5*time.Second)
	setDefault(&o.AnswerKeep, time.Second)
	setDefault(&o.MaxDrain, settings.DefaultMaxDrain)
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Cluster is a set of daemons with the stand-ins that they depend on.
type Cluster struct {
	KV      *fake.KV
	VMs     *fake.VMList
	Store   *fake.WeightStore
	Engines []*fake.Engine
	Service *fake.Service
	Daemons []*daemon.Daemon
	// Contents is the configuration that was applied.
	Contents catalog.Contents

	options   Options
	authority *fake.Authority
	servers   []*http.Server
	kvURL     string
	vmURL     string
}

// Start starts the stand-ins and the daemons. It returns when the example
// configuration is in force in every daemon and all engines and claim shards
// have an owner.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	c := &Cluster{options: o.withDefaults(), KV: fake.NewKV(), VMs: fake.NewVMList()}
	if err := c.start(ctx); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	authority, err := fake.NewAuthority()
	if err != nil {
		return err
	}
	c.authority = authority
	if err := c.startStandIns(); err != nil {
		return err
	}
	if problems := catalog.Check(c.Contents); len(problems) > 0 {
		return problems
	}
	if _, err := catalog.Apply(ctx, c.KV, c.Contents, nil); err != nil {
		return err
	}
	for i := range zoneNames {
		if err := c.startDaemon(ctx, i); err != nil {
			return err
		}
	}
	return c.awaitReady(ctx)
}

// startStandIns starts the stand-ins and sets Contents.
func (c *Cluster) startStandIns() error {
	var err error
	if c.kvURL, err = c.listen(c.KV.Handler()); err != nil {
		return err
	}
	if c.vmURL, err = c.listen(c.VMs.Handler()); err != nil {
		return err
	}
	c.Service = fake.NewService(fake.ServiceConfig{Name: ServiceName, KeyHeader: KeyHeader, Fault: c.options.ServiceFault})
	serviceURL, err := c.listen(c.Service.Handler())
	if err != nil {
		return err
	}
	engines, err := c.startEngines()
	if err != nil {
		return err
	}
	c.Contents = exampleContents(c.options, engines, serviceURL)
	return nil
}

func (c *Cluster) startEngines() ([]catalog.Engine, error) {
	c.Store = fake.NewWeightStore(c.options.LoadsPerSecond, 1)
	var engines []catalog.Engine
	for _, zone := range zoneNames {
		for n := range c.options.EnginesPerZone {
			spec := c.engineSpec(zone, n)
			standIn := fake.NewEngine(c.engineConfig(spec))
			address, err := c.listen(standIn.Handler())
			if err != nil {
				return nil, err
			}
			spec.Address = address
			c.Engines = append(c.Engines, standIn)
			engines = append(engines, spec)
		}
	}
	return engines, nil
}

func (c *Cluster) engineSpec(zone string, n int) catalog.Engine {
	return catalog.Engine{
		Name:            fmt.Sprintf("engine-%s-%d", zone, n+1),
		Zone:            zone,
		BaseModel:       BaseModel,
		WeightStore:     StoreName,
		Slots:           c.options.Slots,
		MaxRunning:      8,
		ChecksFencing:   !c.options.IgnoresFencing,
		ResumesStreams:  true,
		HonoursPriority: true,
		MaxReportLag:    time.Second,
	}
}

func (c *Cluster) engineConfig(spec catalog.Engine) fake.EngineConfig {
	return fake.EngineConfig{
		Name:            spec.Name,
		BaseModel:       spec.BaseModel,
		Slots:           spec.Slots,
		MaxRunning:      spec.MaxRunning,
		StepTime:        c.options.StepTime,
		ReportInterval:  200 * time.Millisecond,
		ChecksFencing:   spec.ChecksFencing,
		ResumesStreams:  spec.ResumesStreams,
		HonoursPriority: spec.HonoursPriority,
		Store:           c.Store,
	}
}

// listen serves a stand-in on a free loopback port and returns its base URL.
func (c *Cluster) listen(handler http.Handler) (string, error) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(socket) }()
	return "http://" + socket.Addr().String(), nil
}

// startDaemon starts the daemon of the i-th zone.
func (c *Cluster) startDaemon(ctx context.Context, i int) error {
	name := daemonName(zoneNames[i])
	certificate, err := c.authority.Issue(name, peer.ServerName)
	if err != nil {
		return err
	}
	options := daemon.Options{PeerTLS: peer.NewTLS(certificate, c.authority.Pool())}
	d, err := daemon.New(c.settings(name, i), c.options.Log, options)
	if err != nil {
		return err
	}
	c.Daemons = append(c.Daemons, d)
	return d.Start(ctx)
}

func (c *Cluster) settings(name string, i int) *settings.Settings {
	listen := "127.0.0.1:0"
	if i == 0 {
		listen = c.options.Listen
	}
	s := settings.Default()
	s.Name = name
	s.Zone = zoneNames[i]
	s.Region = Region
	s.Entry.Listen = listen
	s.Peer.Listen = "127.0.0.1:0"
	s.Admin.Listen = "127.0.0.1:0"
	s.KeyValue.Endpoints = []string{c.kvURL}
	s.VMList.URL = c.vmURL
	s.VMList.PollInterval = 200 * time.Millisecond
	s.Lease.TTL = c.options.LeaseTTL
	s.Drain.AnswerKeep = c.options.AnswerKeep
	s.Drain.MaxDrain = c.options.MaxDrain
	return s
}

// readyPollInterval is the interval at which awaitReady checks the owners.
const readyPollInterval = 20 * time.Millisecond

// awaitReady waits until each daemon has a configuration in force and sees an
// owner for each engine and claim shard.
func (c *Cluster) awaitReady(ctx context.Context) error {
	for _, d := range c.Daemons {
		select {
		case <-d.Ready():
		case <-ctx.Done():
			return errors.New("dev: start was canceled or timed out before every daemon had a configuration in force")
		}
	}
	for !c.allOwned() {
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return errors.New("dev: start was canceled or timed out before every engine and claim shard had an owner")
		}
	}
	return nil
}

func (c *Cluster) allOwned() bool {
	for _, d := range c.Daemons {
		if !d.AllOwned() {
			return false
		}
	}
	return true
}

// SetVMs sets the platform's list of VMs: all engines are live except those at
// the given indexes, which are leaving.
func (c *Cluster) SetVMs(leaving ...int) {
	isLeaving := make(map[int]bool)
	for _, i := range leaving {
		isLeaving[i] = true
	}
	var vms []infra.VM
	for i, e := range c.Contents.Engines {
		state := infra.VMLive
		if isLeaving[i] {
			state = infra.VMLeaving
		}
		vms = append(vms, infra.VM{Address: e.Address[len("http://"):], Zone: e.Zone, State: state})
	}
	c.VMs.Set(vms...)
}

// Stop kills all daemons without draining them, then stops the stand-ins.
func (c *Cluster) Stop() {
	for _, d := range c.Daemons {
		d.Kill()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
}
