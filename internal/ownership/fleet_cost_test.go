package ownership

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/infra"
)

// fleetSizes are the numbers of daemons that TestFleetCost runs.
var fleetSizes = flag.String("fleet", "9,50", "numbers of daemons for TestFleetCost, separated by commas")

const (
	// targetEnginesPerDaemon is 2,700 engines over 510 daemons.
	targetEnginesPerDaemon = 2700.0 / 510
	fleetZones             = 9
	// serviceWriteRate is the service's limit on writes, in calls a second.
	serviceWriteRate = 300
	// serviceReadRate is the service's limit on reads, in calls a second.
	serviceReadRate = 2000
	// startInterval is the time between the starts of two daemons. With two
	// writes each they stay below the service's limit.
	startInterval = 10 * time.Millisecond
	// longOutage is longer than any lease lasts without a renewal.
	longOutage = 8 * DefaultLeaseTTL
)

// faultyKV is one daemon's connection to the service, with faults.
type faultyKV struct {
	infra.KV
	mu            sync.Mutex // guards the fields below
	cut           bool
	failReadsOf   string        // prefix whose reads fail
	failWatchesOf string        // prefix whose watches fail
	watchDelay    time.Duration // delay of the first batch of a watch
	watches       []context.CancelFunc
}

var errCut = &infra.Error{Op: "any", Kind: infra.Unavailable, Err: errors.New("connection is cut")}

func (c *faultyKV) setCut(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
	for _, cancel := range c.watches {
		cancel()
	}
	c.watches = nil
}

func (c *faultyKV) isCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

func (c *faultyKV) setFailWatchesOf(prefix string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failWatchesOf = prefix
}

func (c *faultyKV) failsWatchesOf(prefix string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failWatchesOf != "" && c.failWatchesOf == prefix
}

func (c *faultyKV) Range(ctx context.Context, prefix string) (infra.RangeResult, error) {
	if c.isCut() || (c.failReadsOf != "" && strings.HasPrefix(prefix, c.failReadsOf)) {
		return infra.RangeResult{}, errCut
	}
	return c.KV.Range(ctx, prefix)
}

func (c *faultyKV) Txn(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	if c.isCut() {
		return infra.TxnResult{}, errCut
	}
	return c.KV.Txn(ctx, txn)
}

func (c *faultyKV) Grant(ctx context.Context, ttl time.Duration) (infra.LeaseID, error) {
	if c.isCut() {
		return 0, errCut
	}
	return c.KV.Grant(ctx, ttl)
}

func (c *faultyKV) KeepAlive(ctx context.Context, lease infra.LeaseID) (time.Duration, error) {
	if c.isCut() {
		return 0, errCut
	}
	return c.KV.KeepAlive(ctx, lease)
}

func (c *faultyKV) Watch(ctx context.Context, prefix string, from int64) (<-chan infra.WatchBatch, error) {
	if c.isCut() || c.failsWatchesOf(prefix) {
		return nil, errCut
	}
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	c.watches = append(c.watches, cancel)
	delay := c.watchDelay
	c.mu.Unlock()
	batches, err := c.KV.Watch(ctx, prefix, from)
	if delay == 0 || err != nil {
		return batches, err
	}
	delayed := make(chan infra.WatchBatch)
	go func() {
		defer close(delayed)
		clock.Sleep(ctx, delay)
		for batch := range batches {
			select {
			case delayed <- batch:
			case <-ctx.Done():
				return
			}
		}
	}()
	return delayed, nil
}

// measurement holds the counts of one period of a run.
type measurement struct {
	calls      fake.Calls
	peakWrites int
	// allOwnedAfter is the time from the start of the period after which all
	// resources were owned until its end.
	allOwnedAfter time.Duration
}

// measure runs the fleet for a period and counts its calls second by second.
func (f *fleet) measure(length time.Duration) measurement {
	before := f.kv.Calls()
	last := before
	var s measurement
	for elapsed := time.Second; elapsed <= length; elapsed += time.Second {
		time.Sleep(time.Second)
		now := f.kv.Calls()
		s.peakWrites = max(s.peakWrites, now.Writes()-last.Writes()-(now.RateLimited-last.RateLimited))
		last = now
		if f.owned() < len(f.resources) {
			s.allOwnedAfter = elapsed
		}
	}
	s.calls = difference(last, before)
	return s
}

func difference(a, b fake.Calls) fake.Calls {
	return fake.Calls{
		Get: a.Get - b.Get, Range: a.Range - b.Range, Txn: a.Txn - b.Txn, Grant: a.Grant - b.Grant,
		KeepAlive: a.KeepAlive - b.KeepAlive, Revoke: a.Revoke - b.Revoke, Watch: a.Watch - b.Watch,
		WatchBytes: a.WatchBytes - b.WatchBytes, RangeBytes: a.RangeBytes - b.RangeBytes, RateLimited: a.RateLimited - b.RateLimited,
	}
}

// skew returns the greatest number of resources at one daemon divided by the
// mean.
func (f *fleet) skew() float64 {
	most := 0
	for _, r := range f.recorders {
		held, _, _ := r.counts()
		most = max(most, held)
	}
	return float64(most) * float64(len(f.managers)) / float64(len(f.resources))
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestFleetCost guards against ownership that costs more calls or takes longer to
// recover than the target of 510 daemons allows. It runs fleets against a service
// with the rates that the platform states, through a start, an idle period, the
// loss of one daemon, the loss and return of a zone and an outage longer than all
// leases. It logs its measurements.
func TestFleetCost(t *testing.T) {
	for _, text := range strings.Split(*fleetSizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(text, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFleet(t, n) })
		})
	}
}

func runFleet(t *testing.T, n int) {
	f := &fleet{t: t, kv: fake.NewKV(), resources: engines(int(float64(n)*targetEnginesPerDaemon+0.5), fleetZones)}
	f.kv.SetRates(serviceReadRate, serviceWriteRate)
	kvs := make([]*faultyKV, n)
	for i := range n {
		kvs[i] = &faultyKV{KV: f.kv}
		f.add(fmt.Sprintf("daemon-%03d", i), zoneName(i%fleetZones), kvs[i])
	}
	for _, m := range f.managers {
		if err := m.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(startInterval)
	}
	report := func(phase string, s measurement) {
		t.Logf("n=%d %s: owned after %v, peak %d writes/s, skew %.2f, %+v", n, phase, s.allOwnedAfter, s.peakWrites, f.skew(), s.calls)
	}
	report("start", f.measure(2*time.Minute))
	mean := float64(len(f.resources)) / float64(n)
	if skew, bound := f.skew(), math.Ceil(loadFactor*mean)/mean; skew > bound+1e-9 {
		t.Errorf("start: skew %.2f, the load bound is %.2f", skew, bound)
	}

	const idle = 10 * time.Minute
	cpu := cpuTime()
	before := f.kv.Calls()
	time.Sleep(idle)
	cpu = cpuTime() - cpu
	s := measurement{calls: difference(f.kv.Calls(), before)}
	perDaemon := float64(s.calls.Total()) / float64(n) / idle.Seconds()
	t.Logf("n=%d idle: %.4f calls/s and %.6f of a core a daemon, its part of the service included", n, perDaemon, cpu.Seconds()/idle.Seconds()/float64(n))
	if want := 102.0 / 510; perDaemon > want {
		t.Errorf("idle: %.4f calls/s a daemon, the target allows %.4f", perDaemon, want)
	}

	kvs[0].setCut(true)
	s = f.measure(2 * time.Minute)
	report("one daemon cut off", s)
	t.Logf("n=%d one daemon cut off: %.0f watch bytes a daemon", n, float64(s.calls.WatchBytes)/float64(n))
	f.requireRecovery("one daemon cut off", s, DefaultLeaseTTL+recoveryBound)
	kvs[0].setCut(false)
	report("one daemon back", f.measure(2*time.Minute))

	cutZone(kvs, true)
	s = f.measure(longOutage)
	report("zone cut off", s)
	f.requireRecovery("zone cut off", s, DefaultLeaseTTL+recoveryBound)
	cutZone(kvs, false)
	report("zone back", f.measure(2*time.Minute))

	f.kv.SetDown(true)
	f.measure(longOutage)
	f.kv.SetDown(false)
	s = f.measure(2 * time.Minute)
	report("outage over", s)
	f.requireRecovery("outage over", s, recoveryBound)
	f.kv.SetRates(0, 0)
	f.stop()
}

// recoveryBound is the time within which the target requires a change to be in
// force everywhere.
const recoveryBound = 16 * time.Second

func (f *fleet) requireRecovery(phase string, s measurement, bound time.Duration) {
	f.t.Helper()
	if s.allOwnedAfter > bound {
		f.t.Errorf("%s: all resources owned after %v, bound %v", phase, s.allOwnedAfter, bound)
	}
}

func cutZone(kvs []*faultyKV, cut bool) {
	for i, kv := range kvs {
		if i%fleetZones == 0 {
			kv.setCut(cut)
		}
	}
}
