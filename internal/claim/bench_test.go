package claim

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/metrics"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/prometheus/client_golang/prometheus"
)

// instantSender responds immediately with a short body.
type instantSender struct{}

func (instantSender) Send(context.Context, call.KeyedRequest) SendResult {
	return SendResult{Kind: SendExecuted, Response: call.KeyedResponse{Status: 201, Body: []byte(`{"execution":1}`)}}
}

func newBenchPool(b *testing.B, kv *fake.KV) *Pool {
	b.Helper()
	view := &fakeView{tokens: make(map[string]ownership.Token)}
	snapshot := testSnapshot()
	pool, err := NewPool(Config{
		KV: kv, View: view, Sender: instantSender{}, Snapshot: func() *catalog.Snapshot { return snapshot },
		Metrics: metrics.New(prometheus.NewRegistry()), Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		b.Fatal(err)
	}
	c := &cluster{kv: kv, owners: make(map[string]*daemon)}
	d := &daemon{view: view, pool: pool, holdings: make(map[string]ownership.Holding)}
	for _, resource := range Resources() {
		c.gain(d, resource.ID)
	}
	b.Cleanup(pool.Stop)
	return pool
}

// BenchmarkExecute reports claims per second and claims per write for growing
// numbers of callers, over all shards, with a key-value service that takes 2 ms
// per call.
func BenchmarkExecute(b *testing.B) {
	for _, callers := range []int{16, 64, 256, 1024, 4096} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			kv := fake.NewKV()
			pool := newBenchPool(b, kv)
			kv.SetDelay(2 * time.Millisecond)
			writes := kv.Calls().Txn
			var next atomic.Int64
			b.SetParallelism(callers / runtime.GOMAXPROCS(0))
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					keyed := newKeyed(testCustomer, strconv.FormatInt(next.Add(1), 10), "x")
					if _, result := pool.Execute(context.Background(), keyed); result.Outcome != call.Done {
						b.Error(result)
					}
				}
			})
			b.StopTimer()
			claims := float64(b.N)
			b.ReportMetric(claims/b.Elapsed().Seconds(), "claims/s")
			b.ReportMetric(claims/float64(kv.Calls().Txn-writes), "claims/write")
		})
	}
}

// BenchmarkRetainedClaim reports the memory and the stored bytes per claim with
// a short response, after compaction, for growing numbers of claims.
func BenchmarkRetainedClaim(b *testing.B) {
	for _, claims := range []int{1000, 4000, 16000, 64000} {
		b.Run(fmt.Sprintf("claims=%d", claims), func(b *testing.B) {
			for b.Loop() {
				measureRetained(b, claims)
			}
		})
	}
}

func measureRetained(b *testing.B, claims int) {
	header := http.Header{
		"Content-Type": {"application/json"}, "Content-Length": {"15"}, "Date": {"Thu, 01 Jan 2026 00:00:00 GMT"},
	}
	response, err := encodeResponse(call.KeyedResponse{Status: 201, Header: header, Body: []byte(`{"execution":1}`)}, true)
	if err != nil {
		b.Fatal(err)
	}
	expires := time.Now().Add(time.Hour)
	before := heapBytes()
	ledger := NewLedger(1, 1<<40)
	for i := range claims {
		id := NewID(testCustomer, "ticks", strconv.Itoa(i))
		ledger.Begin(id, testCustomer, Digest{}, expires)
		ledger.Prepare(id, uint64(i+1))
		ledger.Commit(id)
		ledger.Settle(id, uint64(i+1), Executed, append([]byte(nil), response...))
	}
	memory := heapBytes() - before
	var records []Record
	for id := range ledger.entries {
		record, _ := ledger.Record(id)
		records = append(records, record)
	}
	w, err := (&store{}).newWrite(1, 0, records, nil, nil)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(memory)/float64(claims), "heap-bytes/claim")
	b.ReportMetric(float64(ledger.Bytes())/float64(claims), "estimated-bytes/claim")
	b.ReportMetric(float64(len(w.segment))/float64(claims), "stored-bytes/claim")
	runtime.KeepAlive(ledger)
}

// heapBytes runs the garbage collector twice, because objects in a sync.Pool
// survive the first run.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkLedger reports the CPU time of the ledger operations for one claim.
func BenchmarkLedger(b *testing.B) {
	ledger := NewLedger(1, 1<<40)
	now := time.Now()
	expires := now.Add(time.Hour)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		id := NewID(testCustomer, "ticks", strconv.Itoa(i))
		if verdict, _ := ledger.Decide(id, testCustomer, Digest{}, now); verdict != Admit {
			b.Fatal(verdict)
		}
		ledger.Begin(id, testCustomer, Digest{}, expires)
		ledger.Prepare(id, uint64(i))
		ledger.Commit(id)
		ledger.Settle(id, uint64(i), Executed, nil)
	}
}

// BenchmarkArrivals sends calls at fixed rates and reports the mean wait per
// call, writes per second and claims per write, with a key-value service that
// takes 2 ms per call.
func BenchmarkArrivals(b *testing.B) {
	const seconds = 3
	for _, perSecond := range []int{10, 40, 160, 640, 2560} {
		b.Run(fmt.Sprintf("rate=%d", perSecond), func(b *testing.B) {
			for b.Loop() {
				measureArrivals(b, perSecond, seconds*perSecond)
			}
		})
	}
}

func measureArrivals(b *testing.B, perSecond, calls int) {
	kv := fake.NewKV()
	pool := newBenchPool(b, kv)
	kv.SetDelay(2 * time.Millisecond)
	writes := kv.Calls().Txn
	var waited atomic.Int64
	var group sync.WaitGroup
	begin := time.Now()
	for i := range calls {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / time.Duration(perSecond))))
		group.Go(func() {
			sent := time.Now()
			keyed := newKeyed(testCustomer, strconv.Itoa(i), "x")
			if _, result := pool.Execute(context.Background(), keyed); result.Outcome != call.Done {
				b.Error(result)
			}
			waited.Add(int64(time.Since(sent)))
		})
	}
	group.Wait()
	elapsed := time.Since(begin).Seconds()
	b.ReportMetric(time.Duration(waited.Load()).Seconds()*1000/float64(calls), "ms/call")
	b.ReportMetric(float64(kv.Calls().Txn-writes)/elapsed, "writes/s")
	b.ReportMetric(float64(calls)/float64(kv.Calls().Txn-writes), "claims/write")
}
