package permit

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/owner"
)

var testStore = catalog.WeightStore{Name: "weights", LoadsPerSecond: 10, Concurrent: 1}

// request returns a request for the test store with a pressure.
func request(pressure float64) owner.PermitRequest {
	return owner.PermitRequest{Store: testStore.Name, Engine: "e", Adapter: call.AdapterRef{Name: "a", Version: "1"}, Pressure: pressure}
}

// acquire requests a permit in the background; the channel receives it.
func acquire(ctx context.Context, d *daemon, pressure float64) <-chan owner.Permit {
	got := make(chan owner.Permit, 1)
	d.setPressure(request(pressure).Adapter, pressure)
	go func() {
		if p, err := d.client.Acquire(ctx, request(pressure)); err == nil {
			got <- p
		}
	}()
	synctest.Wait()
	return got
}

// permitWithin returns the permit if it is granted within d, else nil.
func permitWithin(got <-chan owner.Permit, d time.Duration) owner.Permit {
	time.Sleep(d)
	synctest.Wait()
	select {
	case p := <-got:
		return p
	default:
		return nil
	}
}

// startNetwork makes a daemon the owner of the store and lets its handover
// grace pass.
func startNetwork(owner string, names ...string) *network {
	n := newNetwork(testStore, names...)
	n.setOwner(owner, testStore.Name)
	time.Sleep(handoverGrace)
	return n
}

func TestPermitsGoToTheMostUrgentDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startNetwork("a", "a", "b", "c")
		defer n.stop()
		first := permitWithin(acquire(t.Context(), n.daemons["a"], 1), 0)
		if first == nil {
			t.Fatal("a free permit was not granted")
		}
		low, high := acquire(t.Context(), n.daemons["b"], 1), acquire(t.Context(), n.daemons["c"], 100)
		if permitWithin(high, time.Minute) != nil || permitWithin(low, 0) != nil {
			t.Fatal("a second permit was granted while one is held")
		}
		first.Release()
		first.Release()
		second := permitWithin(high, time.Second)
		if second == nil || permitWithin(low, 0) != nil {
			t.Fatal("the most urgent request was not the only one granted")
		}
		second.Release()
		third := permitWithin(low, time.Second)
		if third == nil {
			t.Fatal("the last request was not granted")
		}
		third.Release()
	})
}

func TestPressureUpdatesReorderWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startNetwork("a", "a", "b", "c")
		defer n.stop()
		first := permitWithin(acquire(t.Context(), n.daemons["a"], 1), 0)
		constant, rising := acquire(t.Context(), n.daemons["b"], 100), acquire(t.Context(), n.daemons["c"], 1)
		n.daemons["c"].setPressure(request(0).Adapter, 1000)
		time.Sleep(2 * renewInterval)
		first.Release()
		second := permitWithin(rising, time.Second)
		if second == nil || permitWithin(constant, 0) != nil {
			t.Fatal("the request whose pressure grew past the other's was not granted first")
		}
		second.Release()
		permitWithin(constant, time.Second).Release()
	})
}

func TestCancelledRequestAndLostHolderFreeTheirPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startNetwork("a", "a", "b", "c")
		defer n.stop()
		ctx, cancel := context.WithCancel(t.Context())
		lost := permitWithin(acquire(t.Context(), n.daemons["b"], 1), 0)
		cancelled := acquire(ctx, n.daemons["a"], 100)
		waiting := acquire(t.Context(), n.daemons["c"], 1)
		cancel()
		if permitWithin(waiting, time.Second) != nil {
			t.Fatal("a second permit was granted while one is held")
		}
		n.disconnect("b")
		got := permitWithin(waiting, time.Second)
		if got == nil || permitWithin(cancelled, 0) != nil {
			t.Fatal("the permit of a lost holder was not granted to the waiting request")
		}
		got.Release()
		lost.Release()
	})
}

func TestSuccessorCountsHeldPermits(t *testing.T) {
	for _, name := range []string{"lost", "handed over"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := startNetwork("a", "a", "b", "c", "d")
				defer n.stop()
				held := permitWithin(acquire(t.Context(), n.daemons["b"], 1), 0)
				waiting := acquire(t.Context(), n.daemons["c"], 1)
				if name == "lost" {
					n.disconnect("a")
					time.Sleep(time.Second)
				}
				n.setOwner("d", testStore.Name)
				if permitWithin(waiting, time.Minute) != nil {
					t.Fatal("the successor granted a permit that is still held")
				}
				held.Release()
				next := permitWithin(waiting, time.Second)
				if next == nil {
					t.Fatal("the successor did not grant after the release")
				}
				next.Release()
			})
		})
	}
}

func TestLoadsGoOnWithoutAGranter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(testStore, "a", "b", "c", "d", "e")
		defer n.stop()
		const minute = 60
		loads := 0
		for startedAt := time.Now(); time.Since(startedAt) < minute*time.Second; loads++ {
			p, err := n.daemons["a"].client.Acquire(t.Context(), request(1))
			if err != nil {
				t.Fatal(err)
			}
			p.Release()
		}
		share := testStore.LoadsPerSecond / 5
		if limit := share*minute + 1; float64(loads) > limit || float64(loads) < limit*0.8 {
			t.Errorf("%d loads in a minute without a granter, want nearly %v", loads, limit)
		}
	})
}

func TestReturnsToTheGranterAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(catalog.WeightStore{Name: testStore.Name, LoadsPerSecond: 0.001, Concurrent: 1}, "a", "b")
		defer n.stop()
		spent := permitWithin(acquire(t.Context(), n.daemons["b"], 1), fallbackDelay+time.Second)
		if spent == nil {
			t.Fatal("the fallback granted no permit")
		}
		spent.Release()
		waiting := acquire(t.Context(), n.daemons["b"], 1)
		n.setOwner("a", testStore.Name)
		got := permitWithin(waiting, fallbackDelay+fallbackRecheckInterval+handoverGrace)
		if got == nil {
			t.Fatal("a request at the fallback did not find the new granter")
		}
		got.Release()
	})
}

// BenchmarkAcquire measures acquiring and releasing a permit, in the owner's
// process (client a) and over an in-memory stream (client b).
func BenchmarkAcquire(b *testing.B) {
	for _, from := range []string{"a", "b"} {
		b.Run(fmt.Sprint("owner=a/client=", from), func(b *testing.B) {
			store := testStore
			store.LoadsPerSecond = 1e9
			n := newNetwork(store, "a", "b")
			defer n.stop()
			n.setOwner("a", store.Name)
			warm, err := n.daemons["a"].client.Acquire(b.Context(), request(1))
			if err != nil {
				b.Fatal(err)
			}
			warm.Release()
			b.ReportAllocs()
			for b.Loop() {
				p, err := n.daemons[from].client.Acquire(b.Context(), request(1))
				if err != nil {
					b.Fatal(err)
				}
				p.Release()
			}
		})
	}
}
