package mirror

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/infra"
)

// recordedCopy records the changes that a Mirror delivers.
type recordedCopy struct {
	values map[string]string
	stale  int
	last   map[string]int64
}

func (c *recordedCopy) apply(changes []Change, _ int64) {
	for _, change := range changes {
		if change.Entry.ModRevision <= c.last[change.Entry.Key] {
			c.stale++
		}
		c.last[change.Entry.Key] = change.Entry.ModRevision
		if change.Deleted {
			delete(c.values, change.Entry.Key)
			continue
		}
		c.values[change.Entry.Key] = string(change.Entry.Value)
	}
}

func start(t *testing.T, kv infra.KV) (*Mirror, *recordedCopy) {
	c := &recordedCopy{values: map[string]string{}, last: map[string]int64{}}
	m, err := New(Config{KV: kv, Prefix: "p/", Apply: c.apply, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go m.Run(ctx)
	return m, c
}

func put(t *testing.T, kv *fake.KV, key, value string) int64 {
	t.Helper()
	result, err := kv.Txn(t.Context(), infra.Txn{Then: []infra.Op{infra.Put(key, []byte(value))}})
	if err != nil {
		t.Fatal(err)
	}
	return result.Revision
}

func checkCopy(t *testing.T, c *recordedCopy, want map[string]string) {
	t.Helper()
	if !maps.Equal(c.values, want) {
		t.Errorf("the copy holds %v, want %v", c.values, want)
	}
	if c.stale > 0 {
		t.Errorf("%d changes had an older revision than delivered before", c.stale)
	}
}

func TestMirrorFollowsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fake.NewKV()
		put(t, kv, "p/a", "1")
		put(t, kv, "other", "x")
		_, c := start(t, kv)
		synctest.Wait()
		checkCopy(t, c, map[string]string{"p/a": "1"})
		put(t, kv, "p/a", "2")
		put(t, kv, "p/b", "1")
		if _, err := kv.Txn(t.Context(), infra.Txn{Then: []infra.Op{infra.Delete("p/a")}}); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		checkCopy(t, c, map[string]string{"p/b": "1"})
	})
}

func TestMirrorCatchesUpAfterLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fake.NewKV()
		put(t, kv, "p/gone", "1")
		_, c := start(t, kv)
		synctest.Wait()
		kv.SetDown(true)
		synctest.Wait()
		kv.SetDown(false)
		put(t, kv, "p/new", "1")
		if _, err := kv.Txn(t.Context(), infra.Txn{Then: []infra.Op{infra.Delete("p/gone")}}); err != nil {
			t.Fatal(err)
		}
		kv.Compact()
		time.Sleep(2 * maxRetryPause)
		synctest.Wait()
		checkCopy(t, c, map[string]string{"p/new": "1"})
	})
}

// Changes that another daemon forwards must be applied at once, even during an
// outage, and no change, injected or from the watch, may revert a newer one.
func TestInjectedChangesAreDeliveredOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fake.NewKV()
		m, c := start(t, kv)
		synctest.Wait()
		kv.SetDown(true)
		synctest.Wait()
		const future = 100
		m.Inject([]Change{{Entry: infra.Entry{Key: "p/a", Value: []byte("new"), ModRevision: future}}})
		m.Inject([]Change{{Entry: infra.Entry{Key: "p/a", Value: []byte("old"), ModRevision: future - 1}}})
		m.Inject([]Change{{Entry: infra.Entry{Key: "p/b", ModRevision: future + 1}, Deleted: true}})
		m.Inject([]Change{{Entry: infra.Entry{Key: "p/b", Value: []byte("old"), ModRevision: future}}})
		time.Sleep(2 * maxRetryPause)
		synctest.Wait()
		checkCopy(t, c, map[string]string{"p/a": "new"})
		kv.SetDown(false)
		time.Sleep(2 * maxRetryPause)
		synctest.Wait()
		checkCopy(t, c, map[string]string{"p/a": "new"})
	})
}

// The service comes back from a copy that lacks the last writes, and gives out
// their revisions again. The copy must follow the new writes, and not keep what
// is gone.
func TestMirrorFollowsAServiceThatComesBackFromAnOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fake.NewKV()
		put(t, kv, "p/kept", "1")
		put(t, kv, "p/changed", "old")
		snapshot := kv.Snapshot()
		put(t, kv, "p/changed", "lost")
		put(t, kv, "p/lost", "1")
		put(t, kv, "p/lost", "2")
		m, c := start(t, kv)
		synctest.Wait()
		checkCopy(t, c, map[string]string{"p/kept": "1", "p/changed": "lost", "p/lost": "2"})
		former := m.Revision()
		kv.RestoreInNewEra(snapshot)
		time.Sleep(2 * maxRetryPause)
		synctest.Wait()
		checkCopy(t, c, map[string]string{"p/kept": "1", "p/changed": "old"})
		put(t, kv, "p/new", "1")
		if _, err := kv.Txn(t.Context(), infra.Txn{Then: []infra.Op{infra.Delete("p/kept")}}); err != nil {
			t.Fatal(err)
		}
		m.Inject([]Change{{Entry: infra.Entry{Key: "p/lost", Value: []byte("late"), ModRevision: former + 1}}})
		synctest.Wait()
		checkCopy(t, c, map[string]string{"p/changed": "old", "p/new": "1"})
	})
}

// A daemon hears of the new era from another one before its own watch ends.
func TestForwardedChangeOfANewEraCausesARead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fake.NewKV()
		put(t, kv, "p/a", "1")
		m, c := start(t, kv)
		synctest.Wait()
		calls := kv.Calls().Range
		later := Change{Entry: infra.Entry{Key: "p/b", Value: []byte("1"), ModRevision: infra.InEra(1, 1)}}
		m.Inject([]Change{later})
		time.Sleep(2 * minRetryPause)
		synctest.Wait()
		if kv.Calls().Range == calls {
			t.Error("the keys were not read again")
		}
		if c.values["p/b"] != "1" {
			t.Error("the forwarded change was not applied")
		}
	})
}

// A key that was missing when all keys were read again may be created at the very next
// revision: the change is new.
func TestKeyCreatedRightAfterItWasMissingIsDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fake.NewKV()
		put(t, kv, "p/member", "1")
		_, c := start(t, kv)
		synctest.Wait()
		kv.SetDown(true)
		synctest.Wait()
		kv.SetDown(false)
		if _, err := kv.Txn(t.Context(), infra.Txn{Then: []infra.Op{infra.Delete("p/member")}}); err != nil {
			t.Fatal(err)
		}
		kv.Compact()
		time.Sleep(2 * maxRetryPause)
		synctest.Wait()
		checkCopy(t, c, map[string]string{})
		put(t, kv, "p/member", "2")
		synctest.Wait()
		checkCopy(t, c, map[string]string{"p/member": "2"})
	})
}
