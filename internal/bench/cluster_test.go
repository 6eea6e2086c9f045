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
	// wideBatch is the number of calls that the one engine of a path runs at once.
	wideBatch = 1024
	// poll is the time between two looks at a daemon's state.
	poll = 20 * time.Millisecond
	// startTimeout bounds the start of a cluster.
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

// path is a cluster before one engine, called through an entry that is not
// the engine's owner.
type path struct {
	entry  string
	engine string
	owner  string
}

// newPath replaces the cluster's engines by one with a wide batch.
func newPath(b *testing.B, step time.Duration) path {
	b.Helper()
	c := startCluster(b, dev.Options{EnginesPerZone: 1})
	spec := c.Contents.Engines[0]
	spec.Name, spec.MaxRunning, spec.Slots = "engine-wide", wideBatch, 2
	engine := fake.NewEngine(fake.EngineConfig{
		Name: spec.Name, BaseModel: spec.BaseModel, Slots: spec.Slots, MaxRunning: wideBatch, StepTime: step,
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
	accepted, err := catalog.Apply(ctx, c.KV, contents, nil)
	if err != nil {
		b.Fatal(err)
	}
	await(ctx, b, func() bool { return inForce(c, accepted.Generation) })
	return choosePath(b, c.Daemons, spec)
}

func inForce(c *dev.Cluster, generation uint64) bool {
	for _, d := range c.Daemons {
		if d.Generation() < generation || !d.AllOwned() {
			return false
		}
	}
	return true
}

func choosePath(b *testing.B, daemons []*daemon.Daemon, engine catalog.Engine) path {
	b.Helper()
	p := path{engine: engine.Address}
	for _, d := range daemons {
		owner, _ := d.View().Owner(ownership.KindEngine, engine.Name)
		if owner.Member == d.View().Self().Name {
			p.owner = "http://" + d.EntryAddress()
		} else {
			p.entry = "http://" + d.EntryAddress()
		}
	}
	if p.entry == "" || p.owner == "" {
		b.Fatalf("no entry apart from the owner: %+v", p)
	}
	return p
}

func await(ctx context.Context, b *testing.B, condition func() bool) {
	b.Helper()
	for !condition() {
		select {
		case <-time.After(poll):
		case <-ctx.Done():
			b.Fatal("the condition never held")
		}
	}
}

// processorTime returns what the process has used so far.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the bytes of heap and stacks.
func memoryInUse() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// peerBytes sums barleylift_peer_bytes_total over the daemons by method.
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
