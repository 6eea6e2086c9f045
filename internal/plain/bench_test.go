package plain

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/fake"
)

type benchCall struct {
	name, method, path string
	keyed              bool
}

// BenchmarkOverhead sends the same calls directly to the simulated service and
// through an entry, and reports the ratio of their mean times.
func BenchmarkOverhead(b *testing.B) {
	for _, kind := range []benchCall{
		{name: "repeatable", method: http.MethodGet, path: "/artifacts/a"},
		{name: "once", method: http.MethodPost, path: "/once"},
		{name: "keyed", method: http.MethodPost, path: "/ticks", keyed: true},
	} {
		for _, callers := range []int{12, 48, 192, 768} {
			b.Run(fmt.Sprintf("%s/callers=%d", kind.name, callers), func(b *testing.B) {
				measureOverhead(b, kind, callers)
			})
		}
	}
}

func measureOverhead(b *testing.B, kind benchCall, callers int) {
	service := fake.NewService(fake.ServiceConfig{})
	address := serve(b, service.Handler())
	setup := newTestSetup(b, replicaAt(address))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	b.SetParallelism(callers / runtime.GOMAXPROCS(0))
	b.ReportAllocs()
	b.ResetTimer()
	direct := sendAll(b, client, address, kind)
	through := sendAll(b, client, setup.entry.url, kind)
	b.ReportMetric(through.Seconds()/direct.Seconds(), "ratio")
	b.ReportMetric(float64(b.N)/through.Seconds(), "calls/s")
}

var benchKey atomic.Int64

// sendAll sends b.N calls and returns the total time that they took.
func sendAll(b *testing.B, client *http.Client, base string, kind benchCall) time.Duration {
	begin := time.Now()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := sendOne(client, base, kind); err != nil {
				b.Error(err)
			}
		}
	})
	return time.Since(begin)
}

func sendOne(client *http.Client, base string, kind benchCall) error {
	request, err := http.NewRequest(kind.method, base+kind.path, strings.NewReader("tick"))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+testToken)
	if kind.keyed {
		request.Header.Set("Idempotency-Key", strconv.FormatInt(benchKey.Add(1), 10))
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}
