package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/dev"
)

// idleObservation is the time for which idle daemons are measured.
const idleObservation = 10 * time.Second

// BenchmarkIdle reports the cost of three daemons without calls for growing
// numbers of engines: bytes of messages between them, calls to the key-value
// service, bytes of its watches, and CPU time, which includes the stand-ins.
func BenchmarkIdle(b *testing.B) {
	for _, perZone := range []int{2, 4, 8, 16} {
		b.Run(fmt.Sprintf("engines=%d", 3*perZone), func(b *testing.B) {
			c := startCluster(b, dev.Options{EnginesPerZone: perZone, LeaseTTL: 10 * time.Second})
			for b.Loop() {
				measureIdle(b, c)
			}
		})
	}
}

func measureIdle(b *testing.B, c *dev.Cluster) {
	bytesBefore, callsBefore, cpu := peerBytes(b, c.Daemons), c.KV.Calls(), cpuTime(b)
	time.Sleep(idleObservation)
	cpu = cpuTime(b) - cpu
	bytesAfter, callsAfter := peerBytes(b, c.Daemons), c.KV.Calls()
	daemonSeconds := float64(len(c.Daemons)) * idleObservation.Seconds()
	total := 0.0
	for method, sum := range bytesAfter {
		total += sum - bytesBefore[method]
	}
	b.ReportMetric(total/daemonSeconds, "peer-B/daemon-s")
	b.ReportMetric(float64(callsAfter.Total()-callsBefore.Total())/daemonSeconds, "kv-calls/daemon-s")
	b.ReportMetric(float64(callsAfter.Writes()-callsBefore.Writes())/daemonSeconds, "kv-writes/daemon-s")
	b.ReportMetric(float64(callsAfter.WatchBytes-callsBefore.WatchBytes)/daemonSeconds, "watch-B/daemon-s")
	b.ReportMetric(float64(cpu.Microseconds())/idleObservation.Seconds(), "cpu-µs/s")
}
