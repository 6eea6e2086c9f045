package owner

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/metrics"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/profile"
	"github.com/barleylift/barleylift/internal/upstream"
	"github.com/prometheus/client_golang/prometheus"
)

const engineName = "e1"

// testView is a View whose content a test sets.
type testView struct {
	mu      sync.Mutex
	self    ownership.Member
	members []ownership.Member
	token   ownership.Token
	valid   bool
}

func (v *testView) set(change func(*testView)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change(v)
}

func (v *testView) Self() ownership.Member { return v.self }

func (v *testView) Members() []ownership.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]ownership.Member{v.self}, v.members...)
}

func (v *testView) Owner(ownership.Kind, string) (ownership.Owner, bool) {
	return ownership.Owner{}, false
}

func (v *testView) Holds(ownership.Kind, string) (ownership.Token, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.token, v.valid
}

func (v *testView) LeaseValid() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.valid
}

// rig is an in-memory test rig of one fake engine and a key-value service.
type rig struct {
	t       testing.TB
	engine  *fake.Engine
	network *fake.Network
	kv      *fake.KV
	spec    catalog.Engine
}

// testEngine returns the engine configuration that most tests use.
func testEngine(slots int) fake.EngineConfig {
	return fake.EngineConfig{
		Slots: slots, MaxRunning: 4, StepTime: 10 * time.Millisecond, LoadTime: 100 * time.Millisecond, ReportInterval: 50 * time.Millisecond,
	}
}

func newRig(t testing.TB, config fake.EngineConfig) *rig {
	engine := fake.NewEngine(config)
	network := fake.NewNetwork()
	server := &http.Server{Handler: engine.Handler()}
	go func() { _ = server.Serve(network) }()
	t.Cleanup(func() {
		_ = server.Close()
		engine.Restart()
		time.Sleep(time.Second)
	})
	spec := catalog.Engine{
		Name: engineName, Address: "http://engine", BaseModel: "base", WeightStore: "w", Slots: config.Slots, MaxRunning: config.MaxRunning,
		ChecksFencing: config.ChecksFencing, ResumesStreams: config.ResumesStreams, MaxReportLag: time.Second,
	}
	return &rig{t: t, engine: engine, network: network, kv: fake.NewKV(), spec: spec}
}

func (r *rig) snapshot() *catalog.Snapshot {
	return catalog.NewSnapshot(1, catalog.Contents{
		Engines:   []catalog.Engine{r.spec},
		Profiles:  []profile.Profile{{Name: "p", Urgency: profile.Normal}},
		Customers: []catalog.Customer{{Name: "c", Weight: 1}},
	})
}

// daemon is one daemon of the rig that may own the engine.
type daemon struct {
	*Pool
	rig     *rig
	view    *testView
	holding ownership.Holding
}

// daemon starts a pool. If gate is not nil, it is called with each request
// before it is sent.
func (r *rig) daemon(name string, gate func(*http.Request), adjust ...func(*Config)) *daemon {
	view := &testView{self: ownership.Member{Name: name, PeerAddress: name + ":1", EntryAddress: name + ":2"}, valid: true}
	config := Config{
		KV: r.kv, View: view, Snapshot: r.snapshot, Metrics: metrics.New(prometheus.NewRegistry()), Log: slog.New(slog.DiscardHandler),
	}
	config.Client = func(e catalog.Engine) (*upstream.EngineClient, error) {
		probe := r.network.Transport()
		probe.DisableKeepAlives = true
		return upstream.NewEngineClient(upstream.EngineClientConfig{
			Engine: e,
			Client: &http.Client{Transport: &gatedTransport{next: r.network.Transport(), gate: gate}},
			Probe:  &http.Client{Transport: &gatedTransport{next: probe, gate: gate}},
		})
	}
	for _, change := range adjust {
		change(&config)
	}
	pool, err := NewPool(config)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(pool.Stop)
	return &daemon{Pool: pool, rig: r, view: view}
}

// gatedTransport passes each request to a gate, which may block it.
type gatedTransport struct {
	next *http.Transport
	gate func(*http.Request)
}

func (g *gatedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if g.gate != nil {
		g.gate(request)
	}
	return g.next.RoundTrip(request)
}

func (g *gatedTransport) CloseIdleConnections() { g.next.CloseIdleConnections() }

// gain writes the owner key for the daemon and notifies its pool.
func (d *daemon) gain() {
	key := infra.Put(defaultOwnerKey(engineName), []byte(d.view.self.Name))
	ctx := context.Background()
	if _, err := d.rig.kv.Txn(ctx, infra.Txn{Then: []infra.Op{infra.Delete(key.Key)}}); err != nil {
		d.rig.t.Fatal(err)
	}
	result, err := d.rig.kv.Txn(ctx, infra.Txn{Then: []infra.Op{key}})
	if err != nil {
		d.rig.t.Fatal(err)
	}
	d.holding = ownership.Holding{Resource: ownership.Resource{Kind: ownership.KindEngine, ID: engineName}, Token: ownership.Token(result.Revision)}
	d.view.set(func(v *testView) { v.token = d.holding.Token })
	d.Gained(d.holding)
}

// collector is a Sink that keeps all parts.
type collector struct {
	mu    sync.Mutex
	parts []call.Part
	// arrived receives a value for each part, if not nil.
	arrived chan int
}

func (c *collector) Deliver(p call.Part) error {
	c.mu.Lock()
	c.parts = append(c.parts, p)
	c.mu.Unlock()
	if c.arrived != nil {
		c.arrived <- p.Index
	}
	return nil
}

func (c *collector) text() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var text strings.Builder
	for _, p := range c.parts {
		_, rest, _ := strings.Cut(string(p.Data), `"text":"`)
		token, _, _ := strings.Cut(rest, `"`)
		text.WriteString(token)
	}
	return text.String()
}

func modelCall(adapter string, tokens int) call.ModelRequest {
	ref, err := call.ParseAdapterRef(adapter)
	if err != nil {
		panic(err)
	}
	return call.ModelRequest{
		ID: call.NewID(), Attempt: call.NewID(), Customer: "c", Profile: "p", Adapter: ref, Engine: engineName, Path: "/v1/completions",
		Body: []byte(`{"model":"` + adapter + `","prompt":"x"}`), Stream: true, MaxTokens: tokens, Tolerance: 20 * time.Second,
	}
}

// complete runs a call and fails the test unless the call receives its own
// complete response.
func (d *daemon) complete(adapter string, tokens int) call.Result {
	d.rig.t.Helper()
	m := modelCall(adapter, tokens)
	sink := &collector{}
	result := d.Run(context.Background(), m, sink)
	if result.Outcome != call.Done {
		d.rig.t.Errorf("call for %s: %v", adapter, result)
	} else if want := fake.EngineText(adapter, m.Attempt, tokens); sink.text() != want {
		d.rig.t.Errorf("call for %s got %q, want %q", adapter, sink.text(), want)
	}
	return result
}

func expectNoViolations(t testing.TB, e *fake.Engine) {
	t.Helper()
	if v := e.Violations(); len(v) > 0 {
		t.Errorf("violations: %v", v)
	}
}
