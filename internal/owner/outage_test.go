package owner

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/fake"
)

// outageStats sums up the calls of one run.
type outageStats struct {
	calls, done, refused, residentRefused int
	stall, refusalWait                    time.Duration
}

// TestOutageCost replays the same skewed demand on one engine with the
// key-value service up and down. Calls for resident adapters must be served in
// both cases. The effect on the other calls is logged.
func TestOutageCost(t *testing.T) {
	for _, checks := range []bool{true, false} {
		for _, down := range []bool{false, true} {
			t.Run(fmt.Sprintf("fencing=%t/down=%t", checks, down), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := replayDemand(t, checks, down)
					t.Logf("%d calls, %.1f%% done, mean load stall of those done %v", f.calls, 100*float64(f.done)/float64(f.calls), (f.stall / time.Duration(f.done)).Round(time.Millisecond))
					if f.residentRefused > 0 {
						t.Errorf("%d calls for resident adapters were refused", f.residentRefused)
					}
					if f.refusalWait > 0 {
						t.Errorf("calls waited %v in all to be refused", f.refusalWait)
					}
					if f.done+f.refused != f.calls {
						t.Errorf("%d done and %d refused of %d calls", f.done, f.refused, f.calls)
					}
				})
			})
		}
	}
}

// replayDemand sends 20 calls/s for 50 s to 8 slots, with a Zipf-distributed
// choice among 100 adapters. It returns the stats of the last 30 s, during
// which the key-value service may be down.
func replayDemand(t *testing.T, checks, down bool) outageStats {
	const (
		adapters, rate  = 100, 20
		before, measure = 20 * time.Second, 30 * time.Second
	)
	r := newRig(t, fake.EngineConfig{
		Slots: 8, MaxRunning: 32, StepTime: 10 * time.Millisecond, LoadTime: 300 * time.Millisecond, ReportInterval: 200 * time.Millisecond, ChecksFencing: checks,
	})
	d := r.daemon("d1", nil)
	d.gain()
	random := rand.New(rand.NewPCG(1, 2))
	zipf := rand.NewZipf(random, 1.2, 1, adapters-1)
	var (
		mu    sync.Mutex
		wg    sync.WaitGroup
		stats outageStats
	)
	began := time.Now()
	for elapsed := time.Duration(0); elapsed < before+measure; elapsed = time.Since(began) {
		if down && elapsed >= before {
			r.kv.SetDown(true)
			d.view.set(func(v *testView) { v.valid = false })
		}
		m := modelCall(fmt.Sprintf("a%d@v1", zipf.Uint64()), 10)
		m.Tolerance = 2 * time.Second
		load, _ := d.EngineLoad(engineName, m.Adapter)
		wg.Go(func() {
			got := d.Run(t.Context(), m, &collector{})
			mu.Lock()
			defer mu.Unlock()
			if elapsed >= before {
				stats.add(got, load.Resident)
			}
		})
		time.Sleep(time.Second / rate)
	}
	wg.Wait()
	expectNoViolations(t, r.engine)
	return stats
}

func (f *outageStats) add(got call.Result, resident bool) {
	f.calls++
	switch got.Outcome {
	case call.Done:
		f.done++
		f.stall += got.LoadStall
	case call.NotRun:
		f.refused++
		f.refusalWait += got.QueueWait
		if resident {
			f.residentRefused++
		}
	}
}
