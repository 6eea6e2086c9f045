package promise

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/dev"
	"github.com/barleylift/barleylift/internal/fake"
)

// rotateFaults returns a function that returns the faults in rotation.
func rotateFaults(faults ...fake.ServiceFault) func(*http.Request) fake.ServiceFault {
	var n atomic.Int64
	return func(*http.Request) fake.ServiceFault {
		return faults[int(n.Add(1))%len(faults)]
	}
}

// TestNonIdempotentAtMostOnce guards against repeated executions of a key: every
// key is sent several times through two daemons while the service refuses
// requests, loses or truncates responses, and the third daemon is killed.
func TestNonIdempotentAtMostOnce(t *testing.T) {
	t.Parallel()
	c := startCluster(t, dev.Options{
		LeaseTTL:     2 * time.Second,
		ServiceFault: rotateFaults(fake.FaultNone, fake.FaultCloseExecuted, fake.FaultNone, fake.FaultRefuse, fake.FaultTruncateResponse),
	})
	const keys, rounds = 20, 3
	for round := range rounds {
		if round == 1 {
			c.Daemons[2].Kill()
		}
		sendTicks(t.Context(), c, keys, func(n int) string { return c.Daemons[(n+round)%2].EntryAddress() })
	}
	for key, count := range executionsByKey(c.Service) {
		if count > 1 {
			t.Errorf("key %s was executed %d times", key, count)
		}
	}
}

// sendTicks sends one tick for each key, all at the same time.
func sendTicks(ctx context.Context, _ *dev.Cluster, keys int, address func(n int) string) []callResult {
	results := make([]callResult, keys)
	var group sync.WaitGroup
	for n := range keys {
		group.Go(func() { results[n] = tick(ctx, address(n), fmt.Sprintf("key-%02d", n)) })
	}
	group.Wait()
	return results
}

// TestNotRunCallsAreNotExecuted guards against a wrong not_run: a call with this
// outcome must never be executed, whether the service refuses it, closes the
// connection, or the key-value service is down.
func TestNotRunCallsAreNotExecuted(t *testing.T) {
	t.Parallel()
	c := startCluster(t, dev.Options{
		ServiceFault: rotateFaults(fake.FaultNone, fake.FaultRefuse, fake.FaultCloseExecuted, fake.FaultCloseUnexecuted),
	})
	entry := func(n int) string { return c.Daemons[n%len(c.Daemons)].EntryAddress() }
	results := map[string]callResult{}
	for n, result := range sendTicks(t.Context(), c, 30, entry) {
		results[fmt.Sprintf("key-%02d", n)] = result
	}
	c.KV.SetDown(true)
	var group sync.WaitGroup
	resultsWhileDown := make([]callResult, 10)
	for n := range resultsWhileDown {
		group.Go(func() { resultsWhileDown[n] = tick(t.Context(), entry(n), fmt.Sprintf("late-%02d", n)) })
	}
	group.Wait()
	for n, result := range resultsWhileDown {
		results[fmt.Sprintf("late-%02d", n)] = result
		if result.outcome != call.NotRun {
			t.Errorf("call %d while the key-value service is down: %+v, want not_run", n, result)
		}
	}
	counts := executionsByKey(c.Service)
	notRun := 0
	for key, result := range results {
		if result.outcome != call.NotRun {
			continue
		}
		notRun++
		if counts[key] != 0 {
			t.Errorf("%s ended with outcome not_run but was executed", key)
		}
	}
	if notRun <= len(resultsWhileDown) {
		t.Error("no call was refused by the service")
	}
}
