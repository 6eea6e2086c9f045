package promise

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/dev"
	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/ownership"
)

// completeConcurrently makes calls through all entries at the same time and
// returns their results.
func completeConcurrently(ctx context.Context, c *dev.Cluster, count, tokens int, model func(n int) string) []callResult {
	results := make([]callResult, count)
	var group sync.WaitGroup
	for n := range count {
		group.Go(func() {
			address := c.Daemons[n%len(c.Daemons)].EntryAddress()
			results[n] = complete(ctx, modelCall{address: address, model: model(n), tokens: tokens})
		})
	}
	group.Wait()
	return results
}

// checkResult fails the test unless a done call's text is the whole text of its
// own request on the model and any other call ended as not_run, unknown or
// incomplete.
func checkResult(t *testing.T, n int, result callResult, model string, tokens int) {
	t.Helper()
	if result.err != nil {
		t.Errorf("call %d: %v", n, result.err)
		return
	}
	switch result.outcome {
	case call.Done:
		if want := fake.EngineText(model, result.id, tokens); result.text != want {
			t.Errorf("call %d for %s: text %q, want %q", n, model, result.text, want)
		}
	case call.NotRun, call.Unknown, call.Incomplete:
	default:
		t.Errorf("call %d: outcome %q", n, result.outcome)
	}
}

func mixedModel(n int) string {
	return fmt.Sprintf("%s@v%d", dev.AdapterName(n%5), 1+n/5%2)
}

// TestExactAdapterAndVersion guards against responses of another model: engines
// run some calls on a wrong model, and none of that text may reach a caller.
func TestExactAdapterAndVersion(t *testing.T) {
	t.Parallel()
	c := startCluster(t, dev.Options{StepTime: time.Millisecond})
	for _, e := range c.Engines {
		e.RunWrongModel(2)
	}
	done := 0
	for n, result := range completeConcurrently(t.Context(), c, 60, 6, mixedModel) {
		checkResult(t, n, result, mixedModel(n), 6)
		if result.outcome == call.Done {
			done++
		}
	}
	if done == 0 {
		t.Error("no call ended with outcome done")
	}
	checkViolations(t, c)
}

// TestStreamsAreCompleteAndNotSwapped guards against truncated streams that end
// as done and against text of another request: some engines cut a stream, the
// others misroute responses.
func TestStreamsAreCompleteAndNotSwapped(t *testing.T) {
	t.Parallel()
	c := startCluster(t, dev.Options{StepTime: time.Millisecond})
	for i, e := range c.Engines {
		if i%2 == 0 {
			e.CutNextStream(3)
		} else {
			e.MisrouteResponses(2)
		}
	}
	results := completeConcurrently(t.Context(), c, 60, 8, mixedModel)
	ran := executedIDs(c)
	for n, result := range results {
		checkResult(t, n, result, mixedModel(n), 8)
		if result.outcome == call.Done && !ran[result.id] {
			t.Errorf("call %d received the response of request %q, which did not run or went to another call", n, result.id)
		}
		// A second call with this identifier received another call's response.
		delete(ran, result.id)
	}
}

// executedIDs returns the identifiers of all requests that ran at an engine.
func executedIDs(c *dev.Cluster) map[string]bool {
	ids := make(map[string]bool)
	for _, e := range c.Engines {
		for _, record := range e.Records() {
			if record.Kind == "run" {
				ids[record.ID] = true
			}
		}
	}
	return ids
}

// TestServingAdapterIsNeverEvicted guards against unloading an adapter while a
// call runs on it: long calls run while others compete for the few slots and a
// daemon that owns engines is killed.
func TestServingAdapterIsNeverEvicted(t *testing.T) {
	t.Parallel()
	for _, ignoresFencing := range []bool{false, true} {
		t.Run(fmt.Sprintf("ignores fencing %v", ignoresFencing), func(t *testing.T) {
			c := startCluster(t, dev.Options{
				StepTime: 2 * time.Millisecond, EnginesPerZone: 1, Slots: 2, IgnoresFencing: ignoresFencing, LeaseTTL: 2 * time.Second,
			})
			requestSlotsDuringOwnerLoss(t, c)
			checkViolations(t, c)
		})
	}
}

func requestSlotsDuringOwnerLoss(t *testing.T, c *dev.Cluster) {
	t.Helper()
	var longCalls sync.WaitGroup
	address := c.Daemons[0].EntryAddress()
	for n := range 3 {
		first := make(chan struct{})
		longCalls.Go(func() {
			complete(t.Context(), modelCall{address: address, model: dev.AdapterName(n) + "@v1", tokens: 2000, firstChunk: first})
		})
		<-first
	}
	c.Daemons[2].Kill()
	ctx, cancel := context.WithCancel(t.Context())
	var competingCalls sync.WaitGroup
	for n := range 12 {
		competingCalls.Go(func() {
			complete(ctx, modelCall{address: address, model: dev.AdapterName(10+n) + "@v1", tokens: 50})
		})
	}
	longCalls.Wait()
	cancel()
	competingCalls.Wait()
}

// TestLeavingEngineIsAssignedNoNewCalls checks that no call begins at an engine
// once every daemon has read a VM list that shows it as leaving.
func TestLeavingEngineIsAssignedNoNewCalls(t *testing.T) {
	t.Parallel()
	c := startCluster(t, dev.Options{StepTime: time.Millisecond})
	model := dev.AdapterName(0) + "@v1"
	completeConcurrently(t.Context(), c, 6, 4, func(int) string { return model })
	leaving := busiestEngine(c, model)
	c.SetVMs(leaving)
	readsBefore := c.VMs.Reads()
	// Each daemon reads the list on its own, so after this many reads each one
	// has finished a read of the new list.
	await(t, func() bool { return c.VMs.Reads() >= readsBefore+3*len(c.Daemons) })
	runsBefore := c.Engines[leaving].CountRecords("run", model)
	results := completeConcurrently(t.Context(), c, 12, 4, func(int) string { return model })
	for n, result := range results {
		if result.outcome != call.Done {
			t.Errorf("call %d: %+v", n, result)
		}
	}
	if runsAfter := c.Engines[leaving].CountRecords("run", model); runsAfter != runsBefore {
		t.Errorf("the leaving engine began %d more calls", runsAfter-runsBefore)
	}
}

// busiestEngine returns the engine that has run the most calls for a model.
func busiestEngine(c *dev.Cluster, model string) int {
	busiest := 0
	for i, e := range c.Engines {
		if e.CountRecords("run", model) > c.Engines[busiest].CountRecords("run", model) {
			busiest = i
		}
	}
	return busiest
}

// TestDrainCompletesRunningStreams guards against streams that a drain cuts off.
// It covers a draining daemon that is only the entry of the streams, and one that
// only owns their engines.
func TestDrainCompletesRunningStreams(t *testing.T) {
	t.Parallel()
	for _, role := range []string{"entry", "owner"} {
		t.Run(role, func(t *testing.T) {
			c := startCluster(t, dev.Options{StepTime: 2 * time.Millisecond, LoadsPerSecond: 100})
			drainDuringStreams(t, c, role == "entry")
		})
	}
}

// TestDrainWithKVDownCompletesRunningStreams covers a drain that begins while
// the key-value service is down: the daemon cannot announce it, and the running
// stream must still end as done.
func TestDrainWithKVDownCompletesRunningStreams(t *testing.T) {
	t.Parallel()
	c := startCluster(t, dev.Options{StepTime: 2 * time.Millisecond, MaxDrain: 20 * time.Second})
	const tokens = 2000
	model := mixedModel(0)
	first := make(chan struct{})
	var result callResult
	var group sync.WaitGroup
	group.Go(func() {
		result = complete(t.Context(), modelCall{address: c.Daemons[0].EntryAddress(), model: model, tokens: tokens, firstChunk: first})
	})
	<-first
	c.KV.SetDown(true)
	if err := c.Daemons[0].Drain(t.Context()); err != nil {
		t.Errorf("drain: %v", err)
	}
	group.Wait()
	checkResult(t, 0, result, model, tokens)
	if result.outcome != call.Done {
		t.Errorf("outcome %q, want done", result.outcome)
	}
}

// drainDuringStreams drains a daemon while streams run for which it is the entry
// but not the owner of the engine or, without asEntry, the owner but not the entry.
func drainDuringStreams(t *testing.T, c *dev.Cluster, asEntry bool) {
	t.Helper()
	const streams, tokens = 12, 2000
	draining := c.Daemons[1]
	entry := c.Daemons[0]
	if asEntry {
		entry = draining
	}
	results := make([]callResult, streams)
	inTestedRole := make([]bool, streams)
	var group sync.WaitGroup
	for n := range streams {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		first := make(chan struct{})
		group.Go(func() {
			results[n] = complete(ctx, modelCall{address: entry.EntryAddress(), model: mixedModel(n), tokens: tokens, firstChunk: first})
		})
		<-first
		ownsEngine := ownerOf(t, c, mixedModel(n)) == draining.View().Self().Name
		inTestedRole[n] = ownsEngine != asEntry
		if !inTestedRole[n] {
			cancel()
		}
	}
	if !slices.Contains(inTestedRole, true) {
		t.Fatal("no stream uses the daemon in the tested role alone")
	}
	if err := draining.Drain(t.Context()); err != nil {
		t.Errorf("drain: %v", err)
	}
	group.Wait()
	for n, result := range results {
		if inTestedRole[n] && result.outcome != call.Done {
			t.Errorf("call %d: outcome %+v, want done", n, result.outcome)
		}
		if inTestedRole[n] {
			checkResult(t, n, result, mixedModel(n), tokens)
		}
	}
}

// ownerOf returns the name of the daemon that owns the engine with the most runs
// of a model.
func ownerOf(t *testing.T, c *dev.Cluster, model string) string {
	t.Helper()
	name := c.Contents.Engines[busiestEngine(c, model)].Name
	owner, ok := c.Daemons[0].View().Owner(ownership.KindEngine, name)
	if !ok {
		t.Fatalf("engine %s has no owner", name)
	}
	return owner.Member
}
