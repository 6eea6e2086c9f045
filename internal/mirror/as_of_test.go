package mirror

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/infra"
)

// timedKV records when the last read of all keys arrived, and when it was answered.
type timedKV struct {
	*fake.KV
	arrivedAt, answeredAt time.Duration
	reads                 int
}

func (k *timedKV) Range(ctx context.Context, prefix string) (infra.RangeResult, error) {
	if prefix != "p/" {
		return k.KV.Range(ctx, prefix)
	}
	k.reads++
	k.arrivedAt = clock.Boot()
	result, err := k.KV.Range(ctx, prefix)
	k.answeredAt = clock.Boot()
	return result, err
}

// Each read of all keys must set AsOf, to before its first page was requested: a change that is
// acknowledged while the pages are read may be missing. AsOf must not tell of the read before
// its changes are in force: a removed API key would count as the newest state.
func TestReadsOfAllKeysSetAsOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := &timedKV{KV: fake.NewKV()}
		put(t, kv.KV, "p/a", "1")
		var m *Mirror
		applied := 0
		began := clock.Boot()
		m, err := New(Config{KV: kv, Prefix: "p/", Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Apply: func(changes []Change, _ int64) {
			if len(changes) > 0 {
				applied++
			}
			if m.AsOf() > began {
				t.Error("AsOf tells of a read whose changes are being applied")
			}
		}})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go m.Run(ctx)
		synctest.Wait()
		if asOf := m.AsOf(); applied != 1 || asOf < began || asOf > kv.arrivedAt || kv.arrivedAt > kv.answeredAt {
			t.Errorf("after the first read AsOf is %v, want from %v to %v", asOf, began, kv.arrivedAt)
		}
		began = clock.Boot()
		kv.SetDown(true)
		synctest.Wait()
		kv.SetDown(false)
		put(t, kv.KV, "p/a", "2")
		kv.Compact()
		time.Sleep(2 * maxRetryPause)
		synctest.Wait()
		if asOf := m.AsOf(); kv.reads < 2 || asOf < began || asOf > kv.arrivedAt {
			t.Errorf("after %d reads AsOf is %v, want from %v to %v", kv.reads, asOf, began, kv.arrivedAt)
		}
	})
}

// The first part of a backlog counted as the newest state of the service, although more parts were to come.
func TestPartOfABacklogLeavesAsOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		origin := time.Now()
		now := func() time.Duration { return time.Since(origin) + time.Second }
		kv := fake.NewKV()
		put(t, kv, "p/a", "0")
		// With more keys than missed changes, the backlog is read by the watch.
		for n := range 10 {
			put(t, kv, fmt.Sprintf("p/other-%d", n), "x")
		}
		var value atomic.Value
		m, err := New(Config{KV: kv, Prefix: "p/", Log: slog.New(slog.DiscardHandler), Now: now, Apply: func(changes []Change, _ int64) {
			for _, change := range changes {
				if change.Entry.Key == "p/a" {
					value.Store(string(change.Entry.Value))
				}
			}
		}})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go m.Run(ctx)
		const proofAge, watchPause = 200 * time.Millisecond, time.Second
		m.SetProofAge(proofAge)
		time.Sleep(2 * proofAge)
		if age := now() - m.AsOf(); age > 2*proofAge {
			t.Errorf("AsOf is %v old while the copy is complete", age)
		}
		kv.SetDown(true)
		synctest.Wait()
		lostAt := now()
		kv.SetWatchPause(watchPause)
		kv.SetDown(false)
		const parts = 3
		for n := range parts {
			put(t, kv, "p/a", string(rune('1'+n)))
		}
		for end := now() + 2*maxRetryPause + parts*watchPause; now() < end; time.Sleep(proofAge / 4) {
			// AsOf is read first, as the value may change meanwhile.
			if asOf := m.AsOf(); value.Load() != "3" && asOf > lostAt {
				t.Fatalf("AsOf tells of the time after the outage while the copy has the value %v of %d", value.Load(), parts)
			}
		}
		if age := now() - m.AsOf(); value.Load() != "3" || age > 2*proofAge {
			t.Errorf("AsOf is %v old with the value %v, want %d", age, value.Load(), parts)
		}
	})
}

// A checkpoint stated that its daemon's copy was complete up to a revision whose changes were still being applied.
func TestRevisionFollowsTheChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fake.NewKV()
		put(t, kv, "p/a", "0")
		var m *Mirror
		applied := 0
		m, err := New(Config{KV: kv, Prefix: "p/", Log: slog.New(slog.DiscardHandler), Apply: func(_ []Change, revision int64) {
			applied++
			if got := m.Revision(); got >= revision {
				t.Errorf("revision %d is stated while the changes up to %d are being applied", got, revision)
			}
		}})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go m.Run(ctx)
		synctest.Wait()
		put(t, kv, "p/a", "1")
		synctest.Wait()
		if applied != 2 {
			t.Errorf("%d deliveries, want 2", applied)
		}
	})
}
