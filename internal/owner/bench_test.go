package owner

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/metrics"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/upstream"
	"github.com/prometheus/client_golang/prometheus"
)

// discardSink is a Sink that discards all parts.
type discardSink struct{}

func (discardSink) Deliver(call.Part) error { return nil }

// benchEngine is a fake engine on a loopback socket with one owner.
type benchEngine struct {
	pool   *Pool
	client *upstream.EngineClient
}

func newBenchEngine(b *testing.B, config fake.EngineConfig) *benchEngine {
	config.Slots, config.ChecksFencing, config.ReportInterval = 2, true, time.Millisecond
	engine := fake.NewEngine(config)
	engine.Preload("a@v1")
	server := httptest.NewServer(engine.Handler())
	b.Cleanup(server.Close)
	b.Cleanup(server.CloseClientConnections)
	spec := catalog.Engine{Name: engineName, Address: server.URL, Slots: 2, MaxRunning: config.MaxRunning, ChecksFencing: true, MaxReportLag: time.Second}
	snapshot := catalog.NewSnapshot(1, catalog.Contents{Engines: []catalog.Engine{spec}})
	view := &testView{self: ownership.Member{Name: "d1"}, valid: true, token: 1}
	pool, err := NewPool(Config{
		KV: fake.NewKV(), View: view, Snapshot: func() *catalog.Snapshot { return snapshot },
		Metrics: metrics.New(prometheus.NewRegistry()), Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(pool.Stop)
	pool.Gained(ownership.Holding{Resource: ownership.Resource{Kind: ownership.KindEngine, ID: engineName}, Token: 1})
	client, err := upstream.NewEngineClient(upstream.EngineClientConfig{Engine: spec})
	if err != nil {
		b.Fatal(err)
	}
	e := &benchEngine{pool: pool, client: client}
	if result := e.owned(context.Background(), modelCall("a@v1", 1), discardSink{}); result.Outcome != call.Done {
		b.Fatal(result)
	}
	return e
}

func (e *benchEngine) owned(ctx context.Context, m call.ModelRequest, sink call.Sink) call.Result {
	return e.pool.Run(ctx, m, sink)
}

func (e *benchEngine) direct(ctx context.Context, m call.ModelRequest, sink call.Sink) call.Result {
	return e.client.Complete(ctx, upstream.EngineCall{Request: m, Token: 1}, sink).Result
}

type runner func(context.Context, call.ModelRequest, call.Sink) call.Result

// runCalls runs calls in a number of goroutines and returns the elapsed time.
func runCalls(b *testing.B, run runner, calls, concurrency, tokens int) time.Duration {
	began := time.Now()
	work := make(chan struct{}, calls)
	for range calls {
		work <- struct{}{}
	}
	close(work)
	var wg sync.WaitGroup
	for range concurrency {
		wg.Go(func() {
			for range work {
				if result := run(context.Background(), modelCall("a@v1", tokens), discardSink{}); result.Outcome != call.Done {
					b.Error(result)
				}
			}
		})
	}
	wg.Wait()
	return time.Since(began)
}

const (
	benchTokens      = 64
	benchConcurrency = 32
)

// BenchmarkRun measures calls of 64 tokens, 32 at a time, through the owner and
// directly to the engine. Both include the fake engine's own work.
func BenchmarkRun(b *testing.B) {
	for _, path := range []string{"direct", "owner"} {
		b.Run(path, func(b *testing.B) {
			e := newBenchEngine(b, fake.EngineConfig{MaxRunning: benchConcurrency})
			run := e.direct
			if path == "owner" {
				run = e.owned
			}
			b.ReportAllocs()
			b.ResetTimer()
			took := runCalls(b, run, b.N, benchConcurrency, benchTokens)
			b.ReportMetric(float64(b.N)/took.Seconds(), "calls/s")
			b.ReportMetric(float64(b.N*benchTokens)/took.Seconds(), "tokens/s")
		})
	}
}

// BenchmarkOwnerOverDirect alternates batches through the owner and directly to
// the engine, and reports the ratio of their throughputs.
func BenchmarkOwnerOverDirect(b *testing.B) {
	const batch = 400
	e := newBenchEngine(b, fake.EngineConfig{MaxRunning: benchConcurrency})
	var owned, direct time.Duration
	for b.Loop() {
		direct += runCalls(b, e.direct, batch, benchConcurrency, benchTokens)
		owned += runCalls(b, e.owned, batch, benchConcurrency, benchTokens)
	}
	b.ReportMetric(direct.Seconds()/owned.Seconds(), "throughput-ratio")
}

// BenchmarkActiveCallMemory reports the memory per streaming call. The share of
// the owner is the difference between the two paths.
func BenchmarkActiveCallMemory(b *testing.B) {
	const active = 1000
	for _, path := range []string{"direct", "owner"} {
		b.Run(path, func(b *testing.B) {
			e := newBenchEngine(b, fake.EngineConfig{MaxRunning: active, StepTime: 50 * time.Millisecond})
			run := e.direct
			if path == "owner" {
				run = e.owned
			}
			for b.Loop() {
				b.ReportMetric(float64(memoryGrowth(run, active))/active, "B/call")
			}
		})
	}
}

// memoryGrowth returns the bytes of heap and stacks in use by active calls.
func memoryGrowth(run runner, active int) uint64 {
	before := memoryInUse()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg, started sync.WaitGroup
	started.Add(active)
	for range active {
		wg.Go(func() { run(ctx, modelCall("a@v1", 1<<20), &firstPart{onFirst: started.Done}) })
	}
	started.Wait()
	after := memoryInUse()
	cancel()
	wg.Wait()
	return after - min(before, after)
}

// firstPart is a Sink that calls onFirst once, for the first part.
type firstPart struct {
	once    sync.Once
	onFirst func()
}

func (f *firstPart) Deliver(call.Part) error {
	f.once.Do(f.onFirst)
	return nil
}

func memoryInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
