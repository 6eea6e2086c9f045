package claim

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/infra"
)

const testCustomer = "cragbook"

// inWorld runs a test with two daemons, the first of which owns the shard of
// key k1, in a bubble with its own clock.
func inWorld(t *testing.T, test func(t *testing.T, w *world, owner, other *daemon, shard string)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, 0)
		defer w.stop()
		shard := Shard(testCustomer, "ticks", "k1")
		w.gain(w.daemons[0], shard)
		synctest.Wait()
		test(t, w, w.daemons[0], w.daemons[1], shard)
	})
}

func (w *world) expect(t *testing.T, d *daemon, body string, outcome call.Outcome, code call.Code) call.Answer {
	t.Helper()
	answer, result := d.pool.Execute(context.Background(), newKeyed(testCustomer, "k1", body))
	if result.Outcome != outcome || result.Code != code {
		t.Fatalf("got %v, want %s: %s", result, outcome, code)
	}
	return answer
}

func (w *world) expectExecutions(t *testing.T, want int) {
	t.Helper()
	if got, _ := w.service.executions(newKeyed(testCustomer, "k1", "")); got != want {
		t.Fatalf("%d executions, want %d", got, want)
	}
}

func TestRepeatedKeyGetsTheRecordedAnswer(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world, owner, other *daemon, shard string) {
		if first := w.expect(t, owner, "x", call.Done, ""); first.Replayed {
			t.Error("the first answer is marked as replayed")
		}
		second := w.expect(t, owner, "x", call.Done, "")
		if !second.Replayed || string(second.Body) != "answer to cragbook/k1/x" || second.Status != 201 {
			t.Errorf("second answer: %+v", second)
		}
		w.expect(t, owner, "y", call.Rejected, call.CodeKeyReused)
		time.Sleep(time.Second)
		w.gain(other, shard)
		if third := w.expect(t, other, "x", call.Done, ""); !third.Replayed {
			t.Error("the successor's answer is not marked as replayed")
		}
		w.expect(t, other, "y", call.Rejected, call.CodeKeyReused)
		w.expectExecutions(t, 1)
	})
}

func TestClaimOfADeadOwnerIsUnknown(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world, owner, other *daemon, shard string) {
		w.service.behaviours = []sendBehaviour{sendSlowly}
		go owner.pool.Execute(context.Background(), newKeyed(testCustomer, "k1", "x"))
		time.Sleep(time.Second)
		owner.kv.kill()
		w.gain(other, shard)
		w.expect(t, other, "x", call.Unknown, call.CodeClaimUnknown)
		time.Sleep(5 * time.Second)
		w.expectExecutions(t, 1)
	})
}

func TestOutcomeLearnedAfterLosingTheShardIsKept(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world, owner, other *daemon, shard string) {
		w.service.behaviours = []sendBehaviour{sendSlowly}
		go owner.pool.Execute(context.Background(), newKeyed(testCustomer, "k1", "x"))
		time.Sleep(time.Second)
		owner.pool.Lost(owner.held[shard])
		w.expect(t, owner, "x", call.NotRun, call.CodeNotOwner)
		time.Sleep(5 * time.Second)
		w.gain(owner, shard)
		if answer := w.expect(t, owner, "x", call.Done, ""); !answer.Replayed {
			t.Error("the answer was not recorded")
		}
		w.expectExecutions(t, 1)
	})
}

func TestOutcomeIsForwardedToTheSuccessor(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world, owner, other *daemon, shard string) {
		w.service.behaviours = []sendBehaviour{sendSlowly}
		go owner.pool.Execute(context.Background(), newKeyed(testCustomer, "k1", "x"))
		time.Sleep(time.Second)
		owner.pool.Lost(owner.held[shard])
		w.gain(other, shard)
		w.expect(t, other, "x", call.Unknown, call.CodeClaimUnknown)
		time.Sleep(5 * time.Second)
		if answer := w.expect(t, other, "x", call.Done, ""); !answer.Replayed {
			t.Error("the answer was not recorded")
		}
		w.expectExecutions(t, 1)
	})
}

// TestDrainReleasesShards drains while one call takes 10 s: its shard is
// released after the grace, and its outcome reaches the successor.
func TestDrainReleasesShards(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world, owner, other *daemon, shard string) {
		w.service.behaviours = []sendBehaviour{sendSlowly, sendSlowly, sendSlowly}
		w.service.slow = 10 * time.Second
		go owner.pool.Execute(context.Background(), newKeyed(testCustomer, "k1", "x"))
		time.Sleep(time.Second)
		drained := make(chan error)
		go func() { drained <- owner.pool.Drain(context.Background()) }()
		time.Sleep(drainGrace)
		synctest.Wait()
		w.expect(t, owner, "x", call.NotRun, call.CodeNotOwner)
		w.gain(other, shard)
		if err := <-drained; err != nil {
			t.Fatal(err)
		}
		if answer := w.expect(t, other, "x", call.Done, ""); !answer.Replayed {
			t.Error("the answer was not recorded")
		}
		w.expectExecutions(t, 1)
	})
}

func TestStaleOwnerCannotCommit(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world, owner, other *daemon, shard string) {
		w.gain(other, shard)
		synctest.Wait()
		w.expect(t, owner, "x", call.NotRun, call.CodeNotOwner)
		w.expectExecutions(t, 0)
		w.expect(t, other, "x", call.Done, "")
		w.expectExecutions(t, 1)
	})
}

func TestLostCommitReplyIsSettledBeforeSending(t *testing.T) {
	for _, faults := range [][]txnFault{
		{txnReplyLost}, {txnDelayed}, {txnDelayed, txnReplyLost}, {txnReplyLost, txnUnavailable, txnDelayed},
	} {
		inWorld(t, func(t *testing.T, w *world, owner, _ *daemon, _ string) {
			owner.kv.inject(faults...)
			w.expect(t, owner, "x", call.Done, "")
			time.Sleep(2 * lateTxn)
			w.expectExecutions(t, 1)
		})
	}
}

// TestLateCommitIsNotSent settles a lost reply only after maxSendDelay.
func TestLateCommitIsNotSent(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world, owner, _ *daemon, _ string) {
		owner.kv.inject(txnReplyLost)
		owner.kv.inject(slices.Repeat([]txnFault{txnUnavailable}, int(maxSendDelay/maxBackoff)+5)...)
		keyed := newKeyed(testCustomer, "k1", "x")
		keyed.Tolerance = time.Hour
		if _, result := owner.pool.Execute(context.Background(), keyed); result.Outcome != call.NotRun {
			t.Errorf("got %v", result)
		}
		w.expectExecutions(t, 0)
		w.expect(t, owner, "x", call.Done, "")
	})
}

func TestKeyIsFreeAgainAfterNotRun(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world, owner, other *daemon, shard string) {
		w.service.behaviours = []sendBehaviour{sendRefuse, sendRefuse}
		w.expect(t, owner, "x", call.NotRun, call.CodeUpstreamError)
		w.expect(t, owner, "x", call.NotRun, call.CodeUpstreamError)
		time.Sleep(time.Second)
		w.gain(other, shard)
		w.expect(t, other, "x", call.Done, "")
		w.expectExecutions(t, 1)
	})
}

func TestKeyValueServiceDown(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world, owner, _ *daemon, _ string) {
		w.kv.SetDown(true)
		begin := time.Now()
		w.expect(t, owner, "x", call.NotRun, call.CodePlatformDown)
		if waited := time.Since(begin); waited != 5*time.Second {
			t.Errorf("waited %v, want the tolerance of 5 s", waited)
		}
		owner.view.setInvalid(true)
		// The first call may have left in the middle of a try to commit.
		synctest.Wait()
		begin = time.Now()
		w.expect(t, owner, "x", call.NotRun, call.CodePlatformDown)
		if waited := time.Since(begin); waited != 0 {
			t.Errorf("waited %v without a valid lease, want none", waited)
		}
		w.expectExecutions(t, 0)
		w.kv.SetDown(false)
		owner.view.setInvalid(false)
		w.expect(t, owner, "x", call.Done, "")
		w.expectExecutions(t, 1)
	})
}

// A daemon that has learned of the loss of its shard before the shard is
// stopped sends the call on to the next owner: the service itself is up.
func TestLostShardIsNotTakenForAnOutage(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world, owner, _ *daemon, shard string) {
		owner.view.set(shard, 0)
		w.expect(t, owner, "x", call.NotRun, call.CodeNotOwner)
		w.expectExecutions(t, 0)
	})
}

// TestOutcomeIsWrittenAfterAnOutage also shows that a drain waits for it.
func TestOutcomeIsWrittenAfterAnOutage(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world, owner, other *daemon, shard string) {
		owner.keeps = true
		w.service.behaviours = []sendBehaviour{sendSlowly}
		go func() {
			time.Sleep(time.Second)
			w.kv.SetDown(true)
		}()
		w.expect(t, owner, "x", call.Done, "")
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := owner.pool.Drain(ctx); err == nil {
			t.Error("the drain ended before the outcome was written")
		}
		w.kv.SetDown(false)
		if err := owner.pool.Drain(context.Background()); err != nil {
			t.Error(err)
		}
		w.expect(t, owner, "x", call.Done, "")
		w.gain(other, shard)
		if answer := w.expect(t, other, "x", call.Done, ""); !answer.Replayed {
			t.Error("the answer was not recorded")
		}
	})
}

func TestDrainRefusesNewClaims(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world, owner, _ *daemon, _ string) {
		owner.keeps = true
		if err := owner.pool.Drain(context.Background()); err != nil {
			t.Fatal(err)
		}
		w.expect(t, owner, "x", call.NotRun, call.CodeDraining)
	})
}

func TestOutcomeIsRecordedAfterTheCallerHungUp(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world, owner, _ *daemon, _ string) {
		w.service.behaviours = []sendBehaviour{sendSlowly}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, cancel)
		if _, result := owner.pool.Execute(ctx, newKeyed(testCustomer, "k1", "x")); result.Outcome != call.Unknown {
			t.Errorf("after hanging up: %v", result)
		}
		if answer := w.expect(t, owner, "x", call.Done, ""); !answer.Replayed {
			t.Error("the answer was not recorded")
		}
		w.expectExecutions(t, 1)
	})
}

func TestCustomersDoNotShareKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 0)
		defer w.stop()
		for _, r := range Resources() {
			w.gain(w.daemons[0], r.ID)
		}
		for _, customer := range []string{"cragbook", "pixelgate"} {
			answer, result := w.daemons[0].pool.Execute(context.Background(), newKeyed(customer, "k1", "x"))
			if want := "answer to " + customer + "/k1/x"; string(answer.Body) != want || answer.Replayed {
				t.Errorf("%s got %q, %v", customer, answer.Body, result)
			}
		}
	})
}

// TestCompactionAndExpiry fills a shard over many commits, takes it over and
// lets it expire. No answer is lost and no segment is left.
func TestCompactionAndExpiry(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world, owner, other *daemon, shard string) {
		keys := keysOfShard(shard, 3*defaultCompactAfter)
		for _, key := range keys {
			if _, result := owner.pool.Execute(context.Background(), newKeyed(testCustomer, key, "x")); result.Outcome != call.Done {
				t.Fatal(result)
			}
			time.Sleep(time.Second)
		}
		if n := w.segments(t, shard); n > defaultCompactAfter+1 {
			t.Errorf("%d segments after %d calls, want at most %d", n, len(keys), defaultCompactAfter+1)
		}
		w.gain(other, shard)
		for _, key := range keys {
			answer, result := other.pool.Execute(context.Background(), newKeyed(testCustomer, key, "x"))
			if !answer.Replayed || string(answer.Body) != "answer to cragbook/"+key+"/x" {
				t.Fatalf("key %s: %+v, %v", key, answer, result)
			}
		}
		time.Sleep(time.Hour + 10*sweepInterval)
		if n := w.segments(t, shard); n != 0 {
			t.Errorf("%d segments are left after the retention", n)
		}
		if n, bytes := other.pool.Retained(); n != 0 || bytes != 0 {
			t.Errorf("%d claims, %d bytes are left after the retention", n, bytes)
		}
	})
}

func keysOfShard(shard string, n int) []string {
	var keys []string
	for i := 0; len(keys) < n; i++ {
		key := fmt.Sprintf("key-%d", i)
		if Shard(testCustomer, "ticks", key) == shard {
			keys = append(keys, key)
		}
	}
	return keys
}

func (w *world) segments(t *testing.T, shard string) int {
	t.Helper()
	result, err := w.kv.Range(context.Background(), keyPrefix+shard+"/")
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, e := range result.Entries {
		if !strings.HasSuffix(e.Key, headName) {
			n++
		}
	}
	return n
}

func TestFullShardRefuses(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world, owner, _ *daemon, shard string) {
		owner.pool.shards[shard].ledger.maxBytes = recordOverhead
		result := w.expect(t, owner, "x", call.NotRun, call.CodeLimit)
		if result.Status != 0 {
			t.Errorf("answer %+v", result)
		}
		w.expectExecutions(t, 0)
	})
}

// TestUnreadableShardIsNotServed damages the stored claims before a takeover.
func TestUnreadableShardIsNotServed(t *testing.T) {
	for _, damage := range []infra.Op{
		infra.Put(keyPrefix+Shard(testCustomer, "ticks", "k1")+"/"+headName, []byte{0xff}),
		infra.Delete(keyPrefix + Shard(testCustomer, "ticks", "k1") + "/0000000000000001"),
	} {
		inWorld(t, func(t *testing.T, w *world, owner, other *daemon, shard string) {
			w.expect(t, owner, "x", call.Done, "")
			time.Sleep(time.Second)
			if _, err := w.kv.Txn(context.Background(), infra.Txn{Then: []infra.Op{damage}}); err != nil {
				t.Fatal(err)
			}
			w.gain(other, shard)
			w.expect(t, other, "x", call.NotRun, call.CodePlatformDown)
			w.expectExecutions(t, 1)
		})
	}
}
