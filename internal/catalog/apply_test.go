package catalog

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/infra"
)

// sampleContents returns a small valid configuration with n adapters.
func sampleContents(n int) Contents {
	contents, problems := Parse("sample.toml", []byte(`
[[zone]]
name = "z1"
region = "r1"
[[weight_store]]
name = "w1"
loads_per_second = 2.0
[[engine]]
name = "e1"
address = "http://127.0.0.1:9001"
zone = "z1"
base_model = "base"
weight_store = "w1"
slots = 4
max_running = 8
`))
	if len(problems) > 0 {
		panic(problems)
	}
	for i := range n {
		contents.Adapters = append(contents.Adapters, Adapter{
			Name: fmt.Sprintf("customer-%03d-adapter-%05d", i%500, i), BaseModel: "base", Versions: []string{"v1", "v2"},
		})
	}
	return contents
}

// sampleWith returns the sample configuration with one additional adapter.
func sampleWith(name string) Contents {
	contents := sampleContents(10)
	contents.Adapters = append(contents.Adapters, Adapter{Name: name, BaseModel: "base", Versions: []string{"v1"}})
	return contents
}

func mustApply(t testing.TB, kv infra.KV, contents Contents) ApplyResult {
	t.Helper()
	accepted, err := Apply(t.Context(), kv, contents, nil)
	if err != nil {
		t.Fatal(err)
	}
	return accepted
}

func writesHead(txn infra.Txn) bool {
	return len(txn.Then) > 0 && txn.Then[0].Key == HeadKey
}

func TestApplyCountsGenerationsAndUploadsOnlyChanges(t *testing.T) {
	kv := fake.NewKV()
	if got := mustApply(t, kv, sampleContents(3000)); got.Generation != 1 || got.Uploaded == 0 {
		t.Fatalf("first apply: %+v", got)
	}
	if got := mustApply(t, kv, sampleContents(3000)); got.Generation != 1 || !got.Unchanged || got.Uploaded != 0 {
		t.Fatalf("same contents: %+v", got)
	}
	changed := sampleContents(3000)
	changed.Adapters[7].Versions = append(changed.Adapters[7].Versions, "v3")
	if got := mustApply(t, kv, changed); got.Generation != 2 || got.Uploaded != 1 {
		t.Fatalf("one change: %+v", got)
	}
	stored, generation, err := ReadContents(t.Context(), kv)
	if err != nil || generation != 2 {
		t.Fatal(generation, err)
	}
	if changes := Diff(changed, stored); len(changes) != 0 {
		t.Fatalf("stored contents differ: %v", changes)
	}
	if changes := Diff(sampleContents(3000), stored); len(changes) != 1 || changes[0].Change != Changed {
		t.Fatalf("diff: %v", changes)
	}
}

func TestApplyOnOutdatedBaseIsAConflict(t *testing.T) {
	kv := fake.NewKV()
	mustApply(t, kv, sampleWith("a"))
	mustApply(t, kv, sampleWith("b"))
	base := uint64(1)
	_, err := Apply(t.Context(), kv, sampleWith("c"), &base)
	var conflict *ConflictError
	if !errors.As(err, &conflict) || *conflict != (ConflictError{Base: 1, InForce: 2}) {
		t.Fatal(err)
	}
}

// interceptor calls beforeHeadWrite once, right before the first transaction that
// writes the head.
type interceptor struct {
	infra.KV
	beforeHeadWrite func()
}

func (i *interceptor) Txn(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	if run := i.beforeHeadWrite; run != nil && writesHead(txn) {
		i.beforeHeadWrite = nil
		run()
	}
	return i.KV.Txn(ctx, txn)
}

func TestOneOfTwoConcurrentAppliesSucceeds(t *testing.T) {
	kv := fake.NewKV()
	mustApply(t, kv, sampleContents(10))
	racing := &interceptor{KV: kv, beforeHeadWrite: func() { mustApply(t, kv, sampleWith("winner")) }}
	_, err := Apply(t.Context(), racing, sampleWith("loser"), nil)
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.InForce != 2 {
		t.Fatal(err)
	}
	stored, generation, _ := ReadContents(t.Context(), kv)
	if changes := Diff(sampleWith("winner"), stored); generation != 2 || len(changes) != 0 {
		t.Fatal(generation, changes)
	}
}

func TestNonceResolvesOutcomeAfterLostResponse(t *testing.T) {
	for _, later := range []int{0, 1, 5} {
		synctest.Test(t, func(t *testing.T) {
			kv := fake.NewKV()
			mustApply(t, kv, sampleContents(10))
			kv.LoseTxnResponses(1, writesHead)
			lossy := &afterLostResponse{KV: kv, then: func() {
				for i := range later {
					mustApply(t, kv, sampleWith(fmt.Sprintf("later-%d", i)))
				}
			}}
			accepted, err := Apply(t.Context(), lossy, sampleWith("mine"), nil)
			if err != nil || accepted.Generation != 2 {
				t.Fatalf("%d later applies: %+v, %v", later, accepted, err)
			}
			head, _, _ := ReadHead(t.Context(), kv)
			if want := uint64(2 + later); head.Generation != want {
				t.Fatalf("generation %d, want %d", head.Generation, want)
			}
		})
	}
}

// afterLostResponse calls then once, right after the first transaction that failed.
type afterLostResponse struct {
	infra.KV
	then func()
}

func (a *afterLostResponse) Txn(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	result, err := a.KV.Txn(ctx, txn)
	if run := a.then; run != nil && err != nil {
		a.then = nil
		run()
	}
	return result, err
}

func TestApplyReportsUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fake.NewKV()
		kv.LoseTxnResponses(1, writesHead)
		_, err := Apply(t.Context(), &afterLostResponse{KV: kv, then: func() { kv.SetDown(true) }}, sampleContents(10), nil)
		var unknown *UnknownOutcomeError
		if !errors.As(err, &unknown) {
			t.Fatalf("got %v", err)
		}
		kv.SetDown(false)
		if again := mustApply(t, kv, sampleContents(10)); !again.Unchanged || again.Generation != 1 {
			t.Fatalf("apply again: %+v", again)
		}
	})
}

func TestGarbageCollectionDuringConcurrentApply(t *testing.T) {
	kv := fake.NewKV()
	mustApply(t, kv, sampleWith("returning"))
	for i := range gcInterval - 2 {
		mustApply(t, kv, sampleWith(fmt.Sprintf("n%d", i)))
	}
	// The concurrent apply relies on the chunk of generation 1, which the garbage
	// collection at generation 64 deletes right before its swap.
	racing := &interceptor{KV: kv}
	racing.beforeHeadWrite = func() {
		read, _ := readHead(t.Context(), kv)
		stored, _ := kv.Range(t.Context(), ChunkPrefix)
		unused := unusedChunkKeys(stored.Entries, read.head)
		if len(unused) < gcInterval-2 {
			t.Fatalf("only %d unused chunks", len(unused))
		}
		if !(Applier{KV: kv}).deleteChunks(t.Context(), read, unused) {
			t.Fatal("nothing deleted")
		}
	}
	if _, err := Apply(t.Context(), racing, sampleWith("returning"), nil); err != nil {
		t.Fatal(err)
	}
	stored, generation, err := ReadContents(t.Context(), kv)
	if err != nil || generation != gcInterval {
		t.Fatal(generation, err)
	}
	if changes := Diff(sampleWith("returning"), stored); len(changes) != 0 {
		t.Fatal(changes)
	}
	chunks, _ := kv.Range(t.Context(), ChunkPrefix)
	head, _, _ := ReadHead(t.Context(), kv)
	if len(chunks.Entries) != len(head.Chunks) {
		t.Fatalf("%d chunks stored for a head of %d after the garbage collection", len(chunks.Entries), len(head.Chunks))
	}
}
