package catalog

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"github.com/barleylift/barleylift/internal/fake"
)

// adapterCounts are the sizes for which growth is measured, up to the target.
var adapterCounts = []int{1000, 4000, 16000, 31000}

// writeAdapters writes a directory with n adapters, in the compact form or as tables.
func writeAdapters(b *testing.B, n int, compact bool) string {
	b.Helper()
	dir := b.TempDir()
	var text strings.Builder
	if compact {
		text.WriteString("[[adapter_set]]\nbase_model = \"base\"\nadapters = [\n")
	}
	for _, a := range sampleContents(n).Adapters {
		if compact {
			fmt.Fprintf(&text, "%q,\n", a.Name+"@v1,v2")
		} else {
			fmt.Fprintf(&text, "[[adapter]]\nname = %q\nbase_model = \"base\"\nversions = [\"v1\", \"v2\"]\n", a.Name)
		}
	}
	if compact {
		text.WriteString("]\n")
	}
	if err := os.WriteFile(filepath.Join(dir, "adapters.toml"), []byte(text.String()), 0o600); err != nil {
		b.Fatal(err)
	}
	return dir
}

func BenchmarkLoadDir(b *testing.B) {
	for _, form := range []string{"set", "tables"} {
		for _, n := range adapterCounts {
			b.Run(fmt.Sprintf("%s/adapters=%d", form, n), func(b *testing.B) {
				dir := writeAdapters(b, n, form == "set")
				b.ReportAllocs()
				for b.Loop() {
					contents, problems := LoadDir(dir)
					if len(problems) > 0 || len(contents.Adapters) != n {
						b.Fatal(problems)
					}
				}
			})
		}
	}
}

func BenchmarkCheck(b *testing.B) {
	for _, n := range adapterCounts {
		b.Run(fmt.Sprintf("adapters=%d", n), func(b *testing.B) {
			contents := sampleContents(n)
			b.ReportAllocs()
			for b.Loop() {
				if problems := Check(contents); len(problems) > 0 {
					b.Fatal(problems)
				}
			}
		})
	}
}

// headFollower reads and assembles heads of a service as a daemon does.
type headFollower struct {
	kv      *fake.KV
	current *generationState
}

func (f *headFollower) step(b *testing.B) {
	b.Helper()
	ctx := context.Background()
	read, err := readHead(ctx, f.kv)
	if err != nil {
		b.Fatal(err)
	}
	data, err := fetchChunks(ctx, f.kv, f.current.missingChunks(read.head))
	if err != nil {
		b.Fatal(err)
	}
	if f.current, err = f.current.assemble(read.head, read.raw, data); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkOneChange measures the cost of a change of one adapter at a daemon: the
// bytes that the service sends and the assembly of the whole snapshot.
func BenchmarkOneChange(b *testing.B) {
	for _, n := range adapterCounts {
		b.Run(fmt.Sprintf("adapters=%d", n), func(b *testing.B) {
			kv := fake.NewKV()
			contents := sampleContents(n)
			f := &headFollower{kv: kv}
			mustApply(b, kv, contents)
			f.step(b)
			bytes, changes := 0, 0
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				contents.Adapters[changes%n].Versions = []string{fmt.Sprintf("v%d", changes)}
				mustApply(b, kv, contents)
				before := kv.Calls().RangeBytes
				b.StartTimer()
				f.step(b)
				b.StopTimer()
				bytes += kv.Calls().RangeBytes - before
				changes++
				b.StartTimer()
			}
			b.ReportMetric(float64(bytes)/float64(changes), "bytes/change")
		})
	}
}

// BenchmarkFirstGeneration measures a daemon's start from the service alone.
func BenchmarkFirstGeneration(b *testing.B) {
	for _, n := range adapterCounts {
		b.Run(fmt.Sprintf("adapters=%d", n), func(b *testing.B) {
			kv := fake.NewKV()
			mustApply(b, kv, sampleContents(n))
			before, starts := kv.Calls(), 0
			b.ReportAllocs()
			for b.Loop() {
				f := &headFollower{kv: kv}
				f.step(b)
				starts++
			}
			after := kv.Calls()
			b.ReportMetric(float64(after.RangeBytes-before.RangeBytes)/float64(starts), "bytes/start")
			b.ReportMetric(float64(after.Total()-before.Total())/float64(starts), "reads/start")
		})
	}
}

// BenchmarkMemory measures a daemon's memory per idle adapter.
func BenchmarkMemory(b *testing.B) {
	for _, n := range adapterCounts {
		b.Run(fmt.Sprintf("adapters=%d", n), func(b *testing.B) {
			kv := fake.NewKV()
			mustApply(b, kv, sampleContents(n))
			var held uint64
			rounds := 0
			for b.Loop() {
				before := heapBytes()
				f := &headFollower{kv: kv}
				f.step(b)
				f.kv = nil
				held += heapBytes() - before
				rounds++
				runtime.KeepAlive(f)
			}
			b.ReportMetric(float64(held)/float64(rounds)/float64(n), "B/adapter")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkExchange measures an exchange between two daemons that hold the
// same generation, both sides together.
func BenchmarkExchange(b *testing.B) {
	kv := fake.NewKV()
	mustApply(b, kv, sampleContents(1000))
	net := newNetwork(b, 2, sharedKV(kv))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	net.start(ctx)
	defer net.stop()
	for _, s := range net.stores {
		<-s.Ready()
	}
	before, rounds := net.bytes.Load(), 0
	b.ReportAllocs()
	for b.Loop() {
		net.stores["d000"].exchangeWith(ctx, net.members[1])
		rounds++
	}
	b.ReportMetric(float64(net.bytes.Load()-before)/float64(rounds), "bytes/exchange")
}
