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

// runWithTwoDaemons runs a test with two daemons, the first of which owns the
// shard of key k1, in a synctest bubble.
func runWithTwoDaemons(t *testing.T, test func(t *testing.T, c *cluster, owner, other *daemon, shard string)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, 0)
		defer c.stop()
		shard := Shard(testCustomer, "ticks", "k1")
		c.gain(c.daemons[0], shard)
		synctest.Wait()
		test(t, c, c.daemons[0], c.daemons[1], shard)
	})
}

func (c *cluster) expect(t *testing.T, d *daemon, body string, outcome call.Outcome, code call.Code) call.KeyedResponse {
	t.Helper()
	response, result := d.pool.Execute(context.Background(), newKeyed(testCustomer, "k1", body))
	if result.Outcome != outcome || result.Code != code {
		t.Fatalf("got %v, want %s: %s", result, outcome, code)
	}
	return response
}

func (c *cluster) expectExecutions(t *testing.T, want int) {
	t.Helper()
	if got, _ := c.service.executions(newKeyed(testCustomer, "k1", "")); got != want {
		t.Fatalf("%d executions, want %d", got, want)
	}
}

func TestRepeatedKeyGetsTheRecordedAnswer(t *testing.T) {
	runWithTwoDaemons(t, func(t *testing.T, c *cluster, owner, other *daemon, shard string) {
		if first := c.expect(t, owner, "x", call.Done, ""); first.Replayed {
			t.Error("the first response is marked as replayed")
		}
		second := c.expect(t, owner, "x", call.Done, "")
		if !second.Replayed || string(second.Body) != "answer to cragbook/k1/x" || second.Status != 201 {
			t.Errorf("second response: %+v", second)
		}
		c.expect(t, owner, "y", call.Rejected, call.CodeKeyReused)
		time.Sleep(time.Second)
		c.gain(other, shard)
		if third := c.expect(t, other, "x", call.Done, ""); !third.Replayed {
			t.Error("the successor's response is not marked as replayed")
		}
		c.expect(t, other, "y", call.Rejected, call.CodeKeyReused)
		c.expectExecutions(t, 1)
	})
}

func TestClaimOfADeadOwnerIsUnknown(t *testing.T) {
	runWithTwoDaemons(t, func(t *testing.T, c *cluster, owner, other *daemon, shard string) {
		c.service.behaviours = []sendBehaviour{sendSlowly}
		go owner.pool.Execute(context.Background(), newKeyed(testCustomer, "k1", "x"))
		time.Sleep(time.Second)
		owner.kv.kill()
		c.gain(other, shard)
		c.expect(t, other, "x", call.Unknown, call.CodeClaimUnknown)
		time.Sleep(5 * time.Second)
		c.expectExecutions(t, 1)
	})
}

func TestOutcomeLearnedAfterLosingTheShardIsKept(t *testing.T) {
	runWithTwoDaemons(t, func(t *testing.T, c *cluster, owner, other *daemon, shard string) {
		c.service.behaviours = []sendBehaviour{sendSlowly}
		go owner.pool.Execute(context.Background(), newKeyed(testCustomer, "k1", "x"))
		time.Sleep(time.Second)
		owner.pool.Lost(owner.holdings[shard])
		c.expect(t, owner, "x", call.NotRun, call.CodeNotOwner)
		time.Sleep(5 * time.Second)
		c.gain(owner, shard)
		if response := c.expect(t, owner, "x", call.Done, ""); !response.Replayed {
			t.Error("the response was not recorded")
		}
		c.expectExecutions(t, 1)
	})
}

func TestOutcomeIsForwardedToTheSuccessor(t *testing.T) {
	runWithTwoDaemons(t, func(t *testing.T, c *cluster, owner, other *daemon, shard string) {
		c.service.behaviours = []sendBehaviour{sendSlowly}
		go owner.pool.Execute(context.Background(), newKeyed(testCustomer, "k1", "x"))
		time.Sleep(time.Second)
		owner.pool.Lost(owner.holdings[shard])
		c.gain(other, shard)
		c.expect(t, other, "x", call.Unknown, call.CodeClaimUnknown)
		time.Sleep(5 * time.Second)
		if response := c.expect(t, other, "x", call.Done, ""); !response.Replayed {
			t.Error("the response was not recorded")
		}
		c.expectExecutions(t, 1)
	})
}

// TestDrainReleasesShards drains while one call takes 10 s. Its shard must be
// released after the grace period, and its outcome forwarded to the successor.
func TestDrainReleasesShards(t *testing.T) {
	runWithTwoDaemons(t, func(t *testing.T, c *cluster, owner, other *daemon, shard string) {
		c.service.behaviours = []sendBehaviour{sendSlowly, sendSlowly, sendSlowly}
		c.service.slowDuration = 10 * time.Second
		go owner.pool.Execute(context.Background(), newKeyed(testCustomer, "k1", "x"))
		time.Sleep(time.Second)
		drained := make(chan error)
		go func() { drained <- owner.pool.Drain(context.Background()) }()
		time.Sleep(drainGrace)
		synctest.Wait()
		c.expect(t, owner, "x", call.NotRun, call.CodeNotOwner)
		c.gain(other, shard)
		if err := <-drained; err != nil {
			t.Fatal(err)
		}
		if response := c.expect(t, other, "x", call.Done, ""); !response.Replayed {
			t.Error("the response was not recorded")
		}
		c.expectExecutions(t, 1)
	})
}

func TestStaleOwnerCannotCommit(t *testing.T) {
	runWithTwoDaemons(t, func(t *testing.T, c *cluster, owner, other *daemon, shard string) {
		c.gain(other, shard)
		synctest.Wait()
		c.expect(t, owner, "x", call.NotRun, call.CodeNotOwner)
		c.expectExecutions(t, 0)
		c.expect(t, other, "x", call.Done, "")
		c.expectExecutions(t, 1)
	})
}

func TestLostCommitReplyIsSettledBeforeSending(t *testing.T) {
	for _, faults := range [][]txnFault{
		{txnReplyLost}, {txnDelayed}, {txnDelayed, txnReplyLost}, {txnReplyLost, txnUnavailable, txnDelayed},
	} {
		runWithTwoDaemons(t, func(t *testing.T, c *cluster, owner, _ *daemon, _ string) {
			owner.kv.inject(faults...)
			c.expect(t, owner, "x", call.Done, "")
			time.Sleep(2 * txnDelay)
			c.expectExecutions(t, 1)
		})
	}
}

// TestLateCommitIsNotSent loses the reply to a commit and keeps the key-value
// service unavailable for longer than maxSendDelay. The call must not be sent.
func TestLateCommitIsNotSent(t *testing.T) {
	runWithTwoDaemons(t, func(t *testing.T, c *cluster, owner, _ *daemon, _ string) {
		owner.kv.inject(txnReplyLost)
		owner.kv.inject(slices.Repeat([]txnFault{txnUnavailable}, int(maxSendDelay/maxBackoff)+5)...)
		keyed := newKeyed(testCustomer, "k1", "x")
		keyed.Tolerance = time.Hour
		if _, result := owner.pool.Execute(context.Background(), keyed); result.Outcome != call.NotRun {
			t.Errorf("got %v", result)
		}
		c.expectExecutions(t, 0)
		c.expect(t, owner, "x", call.Done, "")
	})
}

func TestKeyIsFreeAgainAfterNotRun(t *testing.T) {
	runWithTwoDaemons(t, func(t *testing.T, c *cluster, owner, other *daemon, shard string) {
		c.service.behaviours = []sendBehaviour{sendRefuse, sendRefuse}
		c.expect(t, owner, "x", call.NotRun, call.CodeUpstreamError)
		c.expect(t, owner, "x", call.NotRun, call.CodeUpstreamError)
		time.Sleep(time.Second)
		c.gain(other, shard)
		c.expect(t, other, "x", call.Done, "")
		c.expectExecutions(t, 1)
	})
}

func TestKeyValueServiceDown(t *testing.T) {
	runWithTwoDaemons(t, func(t *testing.T, c *cluster, owner, _ *daemon, _ string) {
		c.kv.SetDown(true)
		begin := time.Now()
		c.expect(t, owner, "x", call.NotRun, call.CodePlatformDown)
		if waited := time.Since(begin); waited != 5*time.Second {
			t.Errorf("waited %v, want the tolerance of 5 s", waited)
		}
		owner.view.setInvalid(true)
		// The first call may have left during a commit attempt.
		synctest.Wait()
		begin = time.Now()
		c.expect(t, owner, "x", call.NotRun, call.CodePlatformDown)
		if waited := time.Since(begin); waited != 0 {
			t.Errorf("waited %v without a valid lease, want none", waited)
		}
		c.expectExecutions(t, 0)
		c.kv.SetDown(false)
		owner.view.setInvalid(false)
		c.expect(t, owner, "x", call.Done, "")
		c.expectExecutions(t, 1)
	})
}

// TestLostShardIsNotTakenForAnOutage calls a shard that the daemon has lost but
// not stopped yet. The result must point to the next owner, not report an outage
// of the key-value service.
func TestLostShardIsNotTakenForAnOutage(t *testing.T) {
	runWithTwoDaemons(t, func(t *testing.T, c *cluster, owner, _ *daemon, shard string) {
		owner.view.set(shard, 0)
		c.expect(t, owner, "x", call.NotRun, call.CodeNotOwner)
		c.expectExecutions(t, 0)
	})
}

// TestOutcomeIsWrittenAfterAnOutage checks that an outcome is written after an
// outage of the key-value service, and that a drain waits for the write.
func TestOutcomeIsWrittenAfterAnOutage(t *testing.T) {
	runWithTwoDaemons(t, func(t *testing.T, c *cluster, owner, other *daemon, shard string) {
		owner.keepsShards = true
		c.service.behaviours = []sendBehaviour{sendSlowly}
		go func() {
			time.Sleep(time.Second)
			c.kv.SetDown(true)
		}()
		c.expect(t, owner, "x", call.Done, "")
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := owner.pool.Drain(ctx); err == nil {
			t.Error("the drain ended before the outcome was written")
		}
		c.kv.SetDown(false)
		if err := owner.pool.Drain(context.Background()); err != nil {
			t.Error(err)
		}
		c.expect(t, owner, "x", call.Done, "")
		c.gain(other, shard)
		if response := c.expect(t, other, "x", call.Done, ""); !response.Replayed {
			t.Error("the response was not recorded")
		}
	})
}

func TestDrainRefusesNewClaims(t *testing.T) {
	runWithTwoDaemons(t, func(t *testing.T, c *cluster, owner, _ *daemon, _ string) {
		owner.keepsShards = true
		if err := owner.pool.Drain(context.Background()); err != nil {
			t.Fatal(err)
		}
		c.expect(t, owner, "x", call.NotRun, call.CodeDraining)
	})
}

func TestOutcomeIsRecordedAfterTheCallerHungUp(t *testing.T) {
	runWithTwoDaemons(t, func(t *testing.T, c *cluster, owner, _ *daemon, _ string) {
		c.service.behaviours = []sendBehaviour{sendSlowly}
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Second, cancel)
		if _, result := owner.pool.Execute(ctx, newKeyed(testCustomer, "k1", "x")); result.Outcome != call.Unknown {
			t.Errorf("after hanging up: %v", result)
		}
		if response := c.expect(t, owner, "x", call.Done, ""); !response.Replayed {
			t.Error("the response was not recorded")
		}
		c.expectExecutions(t, 1)
	})
}

func TestCustomersDoNotShareKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 0)
		defer c.stop()
		for _, r := range Resources() {
			c.gain(c.daemons[0], r.ID)
		}
		for _, customer := range []string{"cragbook", "pixelgate"} {
			response, result := c.daemons[0].pool.Execute(context.Background(), newKeyed(customer, "k1", "x"))
			if want := "answer to " + customer + "/k1/x"; string(response.Body) != want || response.Replayed {
				t.Errorf("%s got %q, %v", customer, response.Body, result)
			}
		}
	})
}

// TestCompactionAndExpiry fills a shard over many commits, moves it to another
// daemon and lets its claims expire. No response may be lost and no segment left.
func TestCompactionAndExpiry(t *testing.T) {
	runWithTwoDaemons(t, func(t *testing.T, c *cluster, owner, other *daemon, shard string) {
		keys := keysOfShard(shard, 3*defaultCompactAfter)
		for _, key := range keys {
			if _, result := owner.pool.Execute(context.Background(), newKeyed(testCustomer, key, "x")); result.Outcome != call.Done {
				t.Fatal(result)
			}
			time.Sleep(time.Second)
		}
		if n := c.countSegments(t, shard); n > defaultCompactAfter+1 {
			t.Errorf("%d segments after %d calls, want at most %d", n, len(keys), defaultCompactAfter+1)
		}
		c.gain(other, shard)
		for _, key := range keys {
			response, result := other.pool.Execute(context.Background(), newKeyed(testCustomer, key, "x"))
			if !response.Replayed || string(response.Body) != "answer to cragbook/"+key+"/x" {
				t.Fatalf("key %s: %+v, %v", key, response, result)
			}
		}
		time.Sleep(time.Hour + 10*sweepInterval)
		if n := c.countSegments(t, shard); n != 0 {
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

func (c *cluster) countSegments(t *testing.T, shard string) int {
	t.Helper()
	result, err := c.kv.Range(context.Background(), keyPrefix+shard+"/")
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
	runWithTwoDaemons(t, func(t *testing.T, c *cluster, owner, _ *daemon, shard string) {
		owner.pool.shards[shard].ledger.maxBytes = recordOverhead
		result := c.expect(t, owner, "x", call.NotRun, call.CodeLimit)
		if result.Status != 0 {
			t.Errorf("response %+v", result)
		}
		c.expectExecutions(t, 0)
	})
}

// TestUnreadableShardIsNotServed damages the stored claims before a takeover.
// The new owner must refuse calls, because serving without some of the claims
// could run a call twice.
func TestUnreadableShardIsNotServed(t *testing.T) {
	for _, damage := range []infra.Op{
		infra.Put(keyPrefix+Shard(testCustomer, "ticks", "k1")+"/"+headName, []byte{0xff}),
		infra.Delete(keyPrefix + Shard(testCustomer, "ticks", "k1") + "/0000000000000001"),
	} {
		runWithTwoDaemons(t, func(t *testing.T, c *cluster, owner, other *daemon, shard string) {
			c.expect(t, owner, "x", call.Done, "")
			time.Sleep(time.Second)
			if _, err := c.kv.Txn(context.Background(), infra.Txn{Then: []infra.Op{damage}}); err != nil {
				t.Fatal(err)
			}
			c.gain(other, shard)
			c.expect(t, other, "x", call.NotRun, call.CodePlatformDown)
			c.expectExecutions(t, 1)
		})
	}
}
