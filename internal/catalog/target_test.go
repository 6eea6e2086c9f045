package catalog

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/barleylift/barleylift/internal/fake"
)

// The target is 31,000 adapters, 1,800 changes a day and 4 KB/s of control traffic
// per daemon, of which the configuration may use a quarter.
const (
	targetAdapters      = 31_000
	targetChangesPerDay = 1800
	controlBytesPerSec  = 4096
	configurationShare  = 0.25
	// base64Factor is the growth of a value by its base64 encoding in the service's JSON.
	base64Factor = 4.0 / 3
)

func TestControlTrafficAtTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fleet, idle = 9, 10 * time.Minute
		kv := fake.NewKV()
		contents := sampleContents(targetAdapters)
		mustApply(t, kv, contents)
		net := newNetwork(t, fleet, sharedKV(kv))
		net.start(t.Context())
		defer net.stop()
		time.Sleep(propagationBound)

		calls, sent := kv.Calls(), net.bytes.Load()
		time.Sleep(idle)
		perDaemon := func(total float64, over time.Duration) float64 { return total / fleet / over.Seconds() }
		polls := perDaemon(float64(kv.Calls().RangeBytes-calls.RangeBytes), idle) * base64Factor
		exchanges := perDaemon(float64(net.bytes.Load()-sent), idle) * 2 // sent and received

		calls, sent = kv.Calls(), net.bytes.Load()
		contents.Adapters[0].Versions = []string{"v3"}
		mustApply(t, kv, contents)
		read := kv.Calls().RangeBytes - calls.RangeBytes // by the apply itself
		time.Sleep(time.Second)
		if n := net.countNotAt(2); n > 0 {
			t.Fatalf("%d daemons lack the change", n)
		}
		after := kv.Calls()
		watched := float64(after.WatchBytes-calls.WatchBytes+after.RangeBytes-calls.RangeBytes-read) * base64Factor
		announcements := float64(net.bytes.Load()-sent) * 2
		const perChange = targetChangesPerDay / 86400.0
		changes := (watched + announcements) / fleet * perChange

		total := polls + exchanges + changes
		t.Logf("bytes/s for each daemon: polls %.0f, exchanges %.0f, changes %.0f, together %.0f", polls, exchanges, changes, total)
		if total > controlBytesPerSec*configurationShare {
			t.Errorf("%.0f bytes/s for each daemon, more than %.0f", total, controlBytesPerSec*configurationShare)
		}
	})
}

// The key-value service handles about 2,000 reads a second. A fleet whose daemons
// all start at once must stay below that rate, which works because most daemons
// fetch the chunks from a peer.
func TestWholeFleetStartsWithinTheServicesRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fleet, readsPerSecond = 510, 2000
		kv := fake.NewKV()
		mustApply(t, kv, sampleContents(2000))
		net := newNetwork(t, fleet, sharedKV(kv))
		calls := kv.Calls()
		net.start(t.Context())
		defer net.stop()
		startedAt := time.Now()
		for _, s := range net.stores {
			<-s.Ready()
		}
		took := time.Since(startedAt)
		reads := kv.Calls().Range + kv.Calls().Get + kv.Calls().Txn - calls.Range - calls.Get - calls.Txn
		t.Logf("%d daemons started within %s by %d reads of the service", fleet, took, reads)
		if took > propagationBound || float64(reads) > readsPerSecond*took.Seconds() {
			t.Errorf("%d daemons took %s and %d reads", fleet, took, reads)
		}
	})
}
