package bench

import (
	"bufio"
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/daemon"
	"github.com/barleylift/barleylift/internal/dev"
	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/ownership"
)

const (
	// maxRunning is the number of calls that the engine of a call path runs at the
	// same time.
	maxRunning = 1024
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	// startTimeout limits the start of a cluster.
	startTimeout = time.Minute
)

func startCluster(b *testing.B, o dev.Options) *dev.Cluster {
	b.Helper()
	ctx, cancel := context.WithTimeout(b.Context(), startTimeout)
	defer cancel()
	c, err := dev.Start(ctx, o)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(c.Stop)
	c.SetVMs()
	return c
}

// callPath holds the addresses of an engine, of the daemon that owns it, and of
// another daemon that serves as the entry.
type callPath struct {
	entry  string
	engine string
	owner  string
}

// newCallPath starts a cluster and replaces its engines with a single one that
// runs maxRunning calls at the same time.
func newCallPath(b *testing.B, step time.Duration) callPath {
	b.Helper()
	c := startCluster(b, dev.Options{EnginesPerZone: 1})
	spec := c.Contents.Engines[0]
	spec.Name, spec.MaxRunning, spec.Slots = "engine-wide", maxRunning, 2
	engine := fake.NewEngine(fake.EngineConfig{
		Name: spec.Name, BaseModel: spec.BaseModel, Slots: spec.Slots, MaxRunning: maxRunning, StepTime: step,
		ReportInterval: time.Millisecond, ChecksFencing: true, ResumesStreams: true,
	})
	engine.Preload(model)
	server := httptest.NewServer(engine.Handler())
	b.Cleanup(server.Close)
	b.Cleanup(server.CloseClientConnections)
	spec.Address = server.URL
	contents := c.Contents
	contents.Engines = []catalog.Engine{spec}
	ctx, cancel := context.WithTimeout(b.Context(), startTimeout)
	defer cancel()
	applied, err := catalog.Apply(ctx, c.KV, contents, nil)
	if err != nil {
		b.Fatal(err)
	}
	await(ctx, b, func() bool { return generationInForce(c, applied.Generation) })
	return selectCallPath(b, c.Daemons, spec)
}

// generationInForce reports whether every daemon has the generation or a newer one
// in force and sees an owner for each engine and claim shard.
func generationInForce(c *dev.Cluster, generation uint64) bool {
	for _, d := range c.Daemons {
		if d.Generation() < generation || !d.AllOwned() {
			return false
		}
	}
	return true
}

func selectCallPath(b *testing.B, daemons []*daemon.Daemon, engine catalog.Engine) callPath {
	b.Helper()
	p := callPath{engine: engine.Address}
	for _, d := range daemons {
		owner, _ := d.View().Owner(ownership.KindEngine, engine.Name)
		if owner.Member == d.View().Self().Name {
			p.owner = "http://" + d.EntryAddress()
		} else {
			p.entry = "http://" + d.EntryAddress()
		}
	}
	if p.entry == "" || p.owner == "" {
		b.Fatalf("the engine has no owner or every daemon owns it: %+v", p)
	}
	return p
}

func await(ctx context.Context, b *testing.B, condition func() bool) {
	b.Helper()
	for !condition() {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			b.Fatal("the condition did not become true within the timeout")
		}
	}
}

// cpuTime returns the CPU time that the process has used so far.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the bytes of live heap and of stacks.
func memoryInUse() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// peerBytes returns barleylift_peer_bytes_total by method, summed over the daemons.
func peerBytes(b *testing.B, daemons []*daemon.Daemon) map[string]float64 {
	b.Helper()
	sums := make(map[string]float64)
	for _, d := range daemons {
		response, err := http.Get("http://" + d.AdminAddress() + "/metrics")
		if err != nil {
			b.Fatal(err)
		}
		lines := bufio.NewScanner(response.Body)
		for lines.Scan() {
			addPeerBytes(b, sums, lines.Text())
		}
		response.Body.Close()
	}
	return sums
}

func addPeerBytes(b *testing.B, sums map[string]float64, line string) {
	rest, ok := strings.CutPrefix(line, "barleylift_peer_bytes_total{")
	if !ok {
		return
	}
	_, afterMethod, _ := strings.Cut(rest, `method="`)
	method, _, _ := strings.Cut(afterMethod, `"`)
	_, value, _ := strings.Cut(rest, "} ")
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || method == "" {
		b.Fatalf("metric %q: %v", line, err)
	}
	sums[method] += n
}
