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

// rotate returns a fault chooser that goes through the faults in turn.
func rotate(faults ...fake.ServiceFault) func(*http.Request) fake.ServiceFault {
	var n atomic.Int64
	return func(*http.Request) fake.ServiceFault {
		return faults[int(n.Add(1))%len(faults)]
	}
}

// TestNonIdempotentAtMostOnce: every key is sent through every daemon several
// times, while the service breaks answers and a daemon is lost.
func TestNonIdempotentAtMostOnce(t *testing.T) {
	t.Parallel()
	c := start(t, dev.Options{
		LeaseTTL:     2 * time.Second,
		ServiceFault: rotate(fake.FaultNone, fake.FaultCloseExecuted, fake.FaultNone, fake.FaultRefuse, fake.FaultTruncateResponse),
	})
	const keys, rounds = 20, 3
	for round := range rounds {
		if round == 1 {
			c.Daemons[2].Kill()
		}
		ticks(t.Context(), c, keys, func(n int) string { return c.Daemons[(n+round)%2].EntryAddress() })
	}
	for key, count := range executionsByKey(c.Service) {
		if count > 1 {
			t.Errorf("key %s took effect %d times", key, count)
		}
	}
}

// ticks sends one tick for each key, side by side.
func ticks(ctx context.Context, _ *dev.Cluster, keys int, address func(n int) string) []said {
	answers := make([]said, keys)
	var group sync.WaitGroup
	for n := range keys {
		group.Go(func() { answers[n] = tick(ctx, address(n), fmt.Sprintf("key-%02d", n)) })
	}
	group.Wait()
	return answers
}

// TestNotRunIsTrue: a call that was told not_run never shows up at the
// service, whether the service refuses, breaks or the platform is down.
func TestNotRunIsTrue(t *testing.T) {
	t.Parallel()
	c := start(t, dev.Options{
		ServiceFault: rotate(fake.FaultNone, fake.FaultRefuse, fake.FaultCloseExecuted, fake.FaultCloseUnexecuted),
	})
	entry := func(n int) string { return c.Daemons[n%len(c.Daemons)].EntryAddress() }
	told := map[string]said{}
	for n, answer := range ticks(t.Context(), c, 30, entry) {
		told[fmt.Sprintf("key-%02d", n)] = answer
	}
	c.KV.SetDown(true)
	var group sync.WaitGroup
	late := make([]said, 10)
	for n := range late {
		group.Go(func() { late[n] = tick(t.Context(), entry(n), fmt.Sprintf("late-%02d", n)) })
	}
	group.Wait()
	for n, answer := range late {
		told[fmt.Sprintf("late-%02d", n)] = answer
		if answer.outcome != call.NotRun {
			t.Errorf("call %d without the platform: %+v, want not_run", n, answer)
		}
	}
	counts := executionsByKey(c.Service)
	refused := 0
	for key, answer := range told {
		if answer.outcome != call.NotRun {
			continue
		}
		refused++
		if counts[key] != 0 {
			t.Errorf("%s was told not_run and took effect", key)
		}
	}
	if refused <= len(late) {
		t.Error("no call was refused by the service")
	}
}
