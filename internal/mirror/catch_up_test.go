package mirror

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/infra"
)

// dividedKV answers requests for the changes of a watch one by one, with a pause after each reply, and
// each reply holds at most part changes.
type dividedKV struct {
	*fake.KV
	now   func() time.Duration
	part  atomic.Int64
	pause atomic.Int64
	// silentUntil is a reading of now up to which calls get no answer.
	silentUntil atomic.Int64
	// failRanges makes Range fail.
	failRanges atomic.Bool
	// tooLarge makes the next reply to a watch exceed the bound on replies.
	tooLarge atomic.Bool
}

// Range implements infra.KV.
func (k *dividedKV) Range(ctx context.Context, prefix string) (infra.RangeResult, error) {
	if k.failRanges.Load() {
		return infra.RangeResult{}, &infra.Error{Op: "range", Kind: infra.Unavailable, Err: context.DeadlineExceeded}
	}
	if err := k.awaitAnswer(ctx); err != nil {
		return infra.RangeResult{}, err
	}
	return k.KV.Range(ctx, prefix)
}

// awaitAnswer fails when ctx ends, if the call gets no answer.
func (k *dividedKV) awaitAnswer(ctx context.Context) error {
	if k.now() < time.Duration(k.silentUntil.Load()) {
		<-ctx.Done()
		return &infra.Error{Op: "call", Kind: infra.Unavailable, Err: ctx.Err()}
	}
	return nil
}

// Watch implements infra.KV.
func (k *dividedKV) Watch(ctx context.Context, prefix string, from int64) (<-chan infra.WatchBatch, error) {
	changes, err := k.KV.Watch(ctx, prefix, from)
	if err != nil {
		return nil, err
	}
	out := make(chan infra.WatchBatch)
	go func() {
		defer close(out)
		for ctx.Err() == nil {
			requestedAt := k.now()
			reply, open := <-changes
			clock.Sleep(ctx, time.Millisecond)
			for open && reply.Err == nil && len(reply.Events) < int(k.part.Load()) && len(changes) > 0 {
				next := <-changes
				reply = infra.WatchBatch{Events: append(reply.Events, next.Events...), Revision: next.Revision, Err: next.Err}
			}
			if !open {
				return
			}
			reply.RequestedAt = requestedAt
			if reply.Err == nil && k.tooLarge.Swap(false) {
				reply = infra.WatchBatch{Err: &infra.Error{Op: "watch", Kind: infra.TooLarge, Err: io.ErrShortBuffer}}
			}
			select {
			case out <- reply:
			case <-ctx.Done():
				return
			}
			clock.Sleep(ctx, time.Duration(k.pause.Load()))
		}
	}()
	return out, nil
}

// followedKey is a copy of p/config that a mirror keeps, beside other keys.
type followedKey struct {
	kv     *dividedKV
	mirror *Mirror
	value  atomic.Int64
	// outages counts how often the service became unreachable.
	outages atomic.Int64
	// provenAt is when AsOf last advanced.
	provenAt atomic.Int64
	// standstill is added to the clock of the mirror.
	standstill atomic.Int64
	mu         sync.Mutex // guards caughtUp and deleted
	caughtUp   map[CatchUpCause]int
	deleted    map[string]int
}

// deletions returns how often the deletion of a key was delivered.
func (f *followedKey) deletions(key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.deleted[key]
}

// catchUps returns the number of catch-ups for a cause.
func (f *followedKey) catchUps(cause CatchUpCause) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.caughtUp[cause]
}

// follow starts a mirror of a service with p/config and a number of other keys.
func follow(t *testing.T, otherKeys int) *followedKey {
	t.Helper()
	origin := time.Now()
	f := &followedKey{caughtUp: make(map[CatchUpCause]int), deleted: make(map[string]int)}
	now := func() time.Duration { return time.Since(origin) + time.Duration(f.standstill.Load()) + time.Second }
	f.kv = &dividedKV{KV: fake.NewKV(), now: now}
	f.kv.part.Store(1)
	f.set(t, 0)
	for n := range otherKeys {
		put(t, f.kv.KV, fmt.Sprintf("p/other-%d", n), "x")
	}
	m, err := New(Config{KV: f.kv, Prefix: "p/", Log: slog.New(slog.DiscardHandler), Now: now,
		Proven: func() { f.provenAt.Store(int64(now())) },
		ReachabilityChanged: func(reachable bool) {
			if !reachable {
				f.outages.Add(1)
			}
		},
		CaughtUp: func(cause CatchUpCause, _ string) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.caughtUp[cause]++
		},
		Apply: func(changes []Change, _ int64) {
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, change := range changes {
				if change.Deleted {
					f.deleted[change.Entry.Key]++
				}
				if change.Entry.Key == "p/config" {
					version, _ := strconv.ParseInt(string(change.Entry.Value), 10, 64)
					f.value.Store(version)
				}
			}
		}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	f.mirror = m
	go m.Run(ctx)
	time.Sleep(time.Second)
	return f
}

func (f *followedKey) set(t *testing.T, version int) int64 {
	t.Helper()
	return put(t, f.kv.KV, "p/config", strconv.Itoa(version))
}

// applyBound is the shortest bound of the deployments for a configuration to be in force (config_apply_ms).
const applyBound = 2 * time.Second

// A daemon that had been away applied each version that it had missed, one after the other, although the
// newest one was there. However it was away, and however long the backlog, the newest one is in force soon.
func TestNewestVersionIsInForceSoonAfterAnInterruption(t *testing.T) {
	const versions, pause = 24, 1350 * time.Millisecond
	writeVersions := func(t *testing.T, f *followedKey) {
		f.kv.pause.Store(int64(pause))
		for n := range versions {
			f.set(t, n+1)
		}
	}
	interruptions := map[string]func(t *testing.T, f *followedKey){
		"calls fail": func(t *testing.T, f *followedKey) {
			f.kv.SetDown(true)
			time.Sleep(5 * time.Second)
			f.kv.SetDown(false)
			writeVersions(t, f)
		},
		"calls get no answer": func(t *testing.T, f *followedKey) {
			f.kv.silentUntil.Store(int64(f.kv.now() + 5*time.Second))
			f.kv.BreakWatches()
			time.Sleep(5 * time.Second)
			writeVersions(t, f)
		},
		"history is gone too": func(t *testing.T, f *followedKey) {
			f.kv.SetDown(true)
			time.Sleep(5 * time.Second)
			f.kv.SetDown(false)
			writeVersions(t, f)
			f.kv.Compact()
		},
		"process stands still": func(t *testing.T, f *followedKey) {
			writeVersions(t, f)
			f.standstill.Store(int64(5 * time.Second))
		},
	}
	for name, interrupt := range interruptions {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := follow(t, 3)
				interrupt(t, f)
				time.Sleep(applyBound)
				synctest.Wait()
				if got := f.value.Load(); got != versions {
					t.Errorf("version %d is in force %v after the interruption, want %d", got, applyBound, versions)
				}
			})
		})
	}
}

// A backlog may be long without an interruption too. A daemon that hears from another one, or from the
// service, of a revision that a reply requested later did not reach must not read on part by part.
func TestPartOfABacklogCausesARead(t *testing.T) {
	const versions, pause = 24, 1350 * time.Millisecond
	learn := map[string]func(f *followedKey, newest int64){
		"another daemon tells":   func(f *followedKey, newest int64) { f.mirror.Report(newest) },
		"the service is asked":   func(f *followedKey, _ int64) { f.mirror.SetProofAge(100 * time.Millisecond) },
		"the era is a later one": func(f *followedKey, newest int64) { f.mirror.Report(infra.InEra(1, newest)) },
	}
	for name, tell := range learn {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := follow(t, 30)
				f.kv.pause.Store(int64(pause))
				var newest int64
				for n := range versions {
					newest = f.set(t, n+1)
				}
				time.Sleep(100 * time.Millisecond)
				tell(f, newest)
				time.Sleep(2 * pause)
				synctest.Wait()
				wantRead := name != "the era is a later one"
				if got := f.value.Load(); (got == versions) != wantRead || (f.catchUps(CausePart) == 1) != wantRead {
					t.Errorf("version %d of %d is in force after %d reads because of a part", got, versions, f.catchUps(CausePart))
				}
			})
		})
	}
}

// A key that is deleted and written again within a backlog was taken for gone as long as only the first
// part had come. If the state can't be read, the part is all there is.
func TestPartOfABacklogIsNotAppliedUnlessTheReadFails(t *testing.T) {
	for _, readFails := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := follow(t, 30)
			const pause = 100 * time.Millisecond
			f.kv.pause.Store(int64(pause))
			if _, err := f.kv.Txn(t.Context(), infra.Txn{Then: []infra.Op{infra.Delete("p/other-0")}}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(pause / 2)
			if _, err := f.kv.Txn(t.Context(), infra.Txn{Then: []infra.Op{infra.Delete("p/other-1")}}); err != nil {
				t.Fatal(err)
			}
			newest := put(t, f.kv.KV, "p/other-1", "again")
			f.mirror.Report(newest)
			f.kv.failRanges.Store(readFails)
			time.Sleep(5 * time.Second)
			synctest.Wait()
			if got := f.deletions("p/other-1"); (got > 0) != readFails || f.deletions("p/other-0") != 1 {
				t.Errorf("the read fails: %t, %d deletions delivered", readFails, got)
			}
		})
	}
}

// Refresh must prove that the copy is complete, while replies come with pauses too.
func TestRefreshProvesTheCopyComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := follow(t, 30)
		f.kv.pause.Store(int64(time.Minute))
		f.set(t, 1)
		time.Sleep(time.Second)
		f.set(t, 2)
		wantedAt := f.kv.now()
		f.provenAt.Store(0)
		f.mirror.Refresh()
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		if asOf := f.mirror.AsOf(); asOf < wantedAt || f.value.Load() != 2 || f.provenAt.Load() < int64(wantedAt) {
			t.Errorf("the copy is complete as of %v with version %d, want %v and 2, said at %v", asOf, f.value.Load(), wantedAt, time.Duration(f.provenAt.Load()))
		}
	})
}

// A watch that waits may be cut while the service answers all other calls. That counted as an outage, after
// which missing registrations stay in use for a while.
func TestCutWatchesAreNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := follow(t, 30)
		for range 8 {
			f.kv.BreakWatches()
			time.Sleep(30 * time.Millisecond)
		}
		cutAt := f.kv.now()
		f.set(t, 1)
		for f.value.Load() != 1 {
			time.Sleep(10 * time.Millisecond)
		}
		if took := f.kv.now() - cutAt; f.outages.Load() != 0 || took > 2*maxRetryPause {
			t.Errorf("%d outages, the next change was known after %v", f.outages.Load(), took)
		}
		f.kv.SetDown(true)
		time.Sleep(time.Second)
		if f.outages.Load() != 1 {
			t.Errorf("%d outages while the service was down, want 1", f.outages.Load())
		}
	})
}

// A backlog of fewer changes than keys whose values exceed what one reply may have.
func TestTooLargeReplyCausesARead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := follow(t, 30)
		f.kv.tooLarge.Store(true)
		f.kv.BreakWatches()
		f.set(t, 1)
		time.Sleep(applyBound)
		synctest.Wait()
		if f.value.Load() != 1 || f.catchUps(CauseTooLarge) == 0 {
			t.Errorf("version %d is in force after %d reads", f.value.Load(), f.catchUps(CauseTooLarge))
		}
	})
}

// Daemons report revisions all the time, which must cost no call to the service while the copy keeps up.
func TestReportsCauseNoReadsWhileTheCopyKeepsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := follow(t, 3)
		f.kv.part.Store(100)
		before := f.kv.Calls().Range
		for n := range 50 {
			revision := f.set(t, n+1)
			f.mirror.Report(revision)
			time.Sleep(300 * time.Millisecond)
		}
		if got := f.kv.Calls().Range - before; got != 0 || f.value.Load() != 50 {
			t.Errorf("%d reads, version %d", got, f.value.Load())
		}
	})
}

// After a short interruption the changes are fewer than the keys: a read of all of them would cost the
// service and the link more.
func TestFewMissedChangesAreReadByTheWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := follow(t, 30)
		f.kv.SetDown(true)
		time.Sleep(time.Second)
		f.kv.SetDown(false)
		f.kv.part.Store(100)
		f.set(t, 1)
		before := f.kv.Calls().RangeBytes
		time.Sleep(applyBound)
		if got := f.kv.Calls().RangeBytes - before; got != 0 || f.value.Load() != 1 || f.catchUps(CauseOutage) != 1 {
			t.Errorf("%d bytes read, version %d, %d catch-ups", got, f.value.Load(), f.catchUps(CauseOutage))
		}
	})
}

// Each version of a value that a daemon had missed was decoded, one after the other, on VMs with a small
// share of a core too.
func TestEarlierChangesOfADeliveryAreMarked(t *testing.T) {
	m, err := New(Config{KV: fake.NewKV(), Apply: func([]Change, int64) {}, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	change := func(key string, revision int64) Change {
		return Change{Entry: infra.Entry{Key: key, ModRevision: revision}}
	}
	got := m.filterNew([]Change{change("a", 1), change("b", 2), change("a", 3), change("a", 3), change("a", 4)})
	want := []bool{true, false, true, false}
	for i, c := range got {
		if len(got) != len(want) || c.Superseded != want[i] {
			t.Fatalf("got %+v, want superseded %v", got, want)
		}
	}
}
