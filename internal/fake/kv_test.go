package fake

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/barleylift/barleylift/internal/infra"
)

func kindOf(err error) infra.ErrorKind {
	var e *infra.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return -1
}

func create(key, value string, lease infra.LeaseID) infra.Txn {
	return infra.Txn{
		If:   []infra.Compare{infra.Absent(key)},
		Then: []infra.Op{{Kind: infra.OpPut, Key: key, Value: []byte(value), Lease: lease}},
		Else: []infra.Op{infra.Read(key)},
	}
}

func TestKVLeasesTransactionsAndWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := NewKV()
		ctx := t.Context()
		lease, err := kv.Grant(ctx, 10*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		first, err := kv.Txn(ctx, create("a/1", "x", lease))
		if err != nil || !first.Succeeded {
			t.Fatalf("create: %+v, %v", first, err)
		}
		second, err := kv.Txn(ctx, create("a/1", "y", lease))
		if err != nil || second.Succeeded || len(second.Reads) != 1 || string(second.Reads[0][0].Value) != "x" {
			t.Fatalf("second create: %+v, %v", second, err)
		}
		time.Sleep(9 * time.Second)
		if ttl, err := kv.KeepAlive(ctx, lease); err != nil || ttl != 10*time.Second {
			t.Fatalf("renewal: %v, %v", ttl, err)
		}
		watch, err := kv.Watch(ctx, "a/", first.Revision)
		if err != nil {
			t.Fatal(err)
		}
		if b := <-watch; b.Events[0].Entry.CreateRevision != first.Revision {
			t.Fatalf("history: %+v", b)
		}
		time.Sleep(11 * time.Second)
		if b := <-watch; !b.Events[0].Deleted || b.Revision != first.Revision+1 {
			t.Fatalf("expiry: %+v", b)
		}
		if _, err := kv.KeepAlive(ctx, lease); kindOf(err) != infra.LeaseNotFound {
			t.Fatalf("renewal of an ended lease: %v", err)
		}
		kv.Compact()
		if _, err := kv.Watch(ctx, "a/", first.Revision); kindOf(err) != infra.Compacted {
			t.Fatalf("watch of compacted revisions: %v", err)
		}
		kv.SetDown(true)
		if b := <-watch; b.Err == nil {
			t.Fatalf("watch survived an outage: %+v", b)
		}
	})
}

func TestKVFaults(t *testing.T) {
	kv := NewKV()
	ctx := context.Background()
	if _, err := kv.Txn(ctx, create("big", string(make([]byte, maxValueBytes+1)), 0)); kindOf(err) != infra.Refused {
		t.Errorf("value over 1 MB: %v", err)
	}
	kv.LoseTxnResponses(1, nil)
	if _, err := kv.Txn(ctx, create("k", "v", 0)); kindOf(err) != infra.Ambiguous {
		t.Errorf("lost response: %v", err)
	}
	old := kv.Snapshot()
	if e, err := kv.Get(ctx, "k"); err != nil || string(e.Value) != "v" {
		t.Errorf("a transaction whose response was lost must have taken effect: %+v, %v", e, err)
	}
	if _, err := kv.Txn(ctx, infra.Txn{Then: []infra.Op{infra.Delete("k")}}); err != nil {
		t.Error(err)
	}
	kv.Restore(old)
	if e, err := kv.Get(ctx, "k"); err != nil || !e.Exists() {
		t.Errorf("restored: %+v, %v", e, err)
	}
	kv.SetRates(0, 1)
	if _, err := kv.Txn(ctx, create("l", "v", 0)); err != nil {
		t.Error(err)
	}
	if _, err := kv.Txn(ctx, create("m", "v", 0)); kindOf(err) != infra.Unavailable {
		t.Errorf("over the rate: %v", err)
	}
	kv.SetDown(true)
	if _, err := kv.Get(ctx, "k"); kindOf(err) != infra.Unavailable {
		t.Errorf("down: %v", err)
	}
}
