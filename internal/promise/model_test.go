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

// burst makes calls over all entries side by side and returns what each was told.
func burst(ctx context.Context, c *dev.Cluster, count, tokens int, model func(n int) string) []said {
	answers := make([]said, count)
	var group sync.WaitGroup
	for n := range count {
		group.Go(func() {
			address := c.Daemons[n%len(c.Daemons)].EntryAddress()
			answers[n] = complete(ctx, modelCall{address: address, model: model(n), tokens: tokens})
		})
	}
	group.Wait()
	return answers
}

// checkAnswer fails unless a done answer is the whole text of its own request
// on the model, and unless any other answer ended with a stated outcome.
func checkAnswer(t *testing.T, n int, answer said, model string, tokens int) {
	t.Helper()
	if answer.err != nil {
		t.Errorf("call %d: %v", n, answer.err)
		return
	}
	switch answer.outcome {
	case call.Done:
		if want := fake.EngineText(model, answer.id, tokens); answer.text != want {
			t.Errorf("call %d for %s: text %q, want %q", n, model, answer.text, want)
		}
	case call.NotRun, call.Unknown, call.Incomplete:
	default:
		t.Errorf("call %d: outcome %q", n, answer.outcome)
	}
}

func mixedVersions(n int) string {
	return fmt.Sprintf("%s@v%d", dev.AdapterName(n%5), 1+n/5%2)
}

// TestExactAdapterAndVersion: answers on another model never reach a caller,
// though engines run some calls on the wrong one.
func TestExactAdapterAndVersion(t *testing.T) {
	t.Parallel()
	c := start(t, dev.Options{StepTime: time.Millisecond})
	for _, e := range c.Engines {
		e.RunWrongModel(2)
	}
	done := 0
	for n, answer := range burst(t.Context(), c, 60, 6, mixedVersions) {
		checkAnswer(t, n, answer, mixedVersions(n), 6)
		if answer.outcome == call.Done {
			done++
		}
	}
	if done == 0 {
		t.Error("no call was done")
	}
	noViolations(t, c)
}

// TestWholeAnswerOnlyToItsCaller: streams that are cut or crossed end whole or
// with a stated outcome, and never with another request's text.
func TestWholeAnswerOnlyToItsCaller(t *testing.T) {
	t.Parallel()
	c := start(t, dev.Options{StepTime: time.Millisecond})
	for i, e := range c.Engines {
		if i%2 == 0 {
			e.CutNextStream(3)
		} else {
			e.MisrouteResponses(2)
		}
	}
	answers := burst(t.Context(), c, 60, 8, mixedVersions)
	ran := runIDs(c)
	for n, answer := range answers {
		checkAnswer(t, n, answer, mixedVersions(n), 8)
		if answer.outcome == call.Done && !ran[answer.id] {
			t.Errorf("call %d got the answer to request %q, which never ran", n, answer.id)
		}
		// Two callers with one request's answer means that one of them got another's.
		delete(ran, answer.id)
	}
}

// runIDs returns the identifiers of all requests that ran.
func runIDs(c *dev.Cluster) map[string]bool {
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

// TestServingAdapterIsNeverEvicted: long calls go on while others press for
// the few slots and the daemon that owns the engines is lost.
func TestServingAdapterIsNeverEvicted(t *testing.T) {
	t.Parallel()
	for _, ignores := range []bool{false, true} {
		t.Run(fmt.Sprintf("ignores fencing %v", ignores), func(t *testing.T) {
			c := start(t, dev.Options{
				StepTime: 2 * time.Millisecond, EnginesPerZone: 1, Slots: 2, IgnoresFencing: ignores, LeaseTTL: 2 * time.Second,
			})
			pressUnderLoss(t, c)
			noViolations(t, c)
		})
	}
}

func pressUnderLoss(t *testing.T, c *dev.Cluster) {
	t.Helper()
	var long sync.WaitGroup
	address := c.Daemons[0].EntryAddress()
	for n := range 3 {
		first := make(chan struct{})
		long.Go(func() {
			complete(t.Context(), modelCall{address: address, model: dev.AdapterName(n) + "@v1", tokens: 2000, first: first})
		})
		<-first
	}
	c.Daemons[2].Kill()
	ctx, cancel := context.WithCancel(t.Context())
	var pressing sync.WaitGroup
	for n := range 12 {
		pressing.Go(func() {
			complete(ctx, modelCall{address: address, model: dev.AdapterName(10+n) + "@v1", tokens: 50})
		})
	}
	long.Wait()
	cancel()
	pressing.Wait()
}

// TestLeavingUpstreamGetsNothingNew: once every daemon has read a VM list that
// shows an engine as leaving, no call begins there.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	t.Parallel()
	c := start(t, dev.Options{StepTime: time.Millisecond})
	model := dev.AdapterName(0) + "@v1"
	burst(t.Context(), c, 6, 4, func(int) string { return model })
	leaving := busiest(c, model)
	c.SetVMs(leaving)
	before := c.VMs.Reads()
	// Each daemon reads by itself: this many reads mean that each one has
	// finished a read of the new list.
	await(t, func() bool { return c.VMs.Reads() >= before+3*len(c.Daemons) })
	runs := c.Engines[leaving].CountRecords("run", model)
	answers := burst(t.Context(), c, 12, 4, func(int) string { return model })
	for n, answer := range answers {
		if answer.outcome != call.Done {
			t.Errorf("call %d: %+v", n, answer)
		}
	}
	if now := c.Engines[leaving].CountRecords("run", model); now != runs {
		t.Errorf("the leaving engine began %d calls more", now-runs)
	}
}

// busiest returns the engine that has run the most calls for a model.
func busiest(c *dev.Cluster, model string) int {
	best := 0
	for i, e := range c.Engines {
		if e.CountRecords("run", model) > c.Engines[best].CountRecords("run", model) {
			best = i
		}
	}
	return best
}

// TestDrainCutsNothing: streams that a draining daemon serves only as the entry,
// and streams that it serves only as the owner of their engine, end whole.
func TestDrainCutsNothing(t *testing.T) {
	t.Parallel()
	for _, role := range []string{"entry", "owner"} {
		t.Run(role, func(t *testing.T) {
			c := start(t, dev.Options{StepTime: 2 * time.Millisecond, LoadsPerSecond: 100})
			drainUnder(t, c, role == "entry")
		})
	}
}

// TestDrainWithoutPlatformCutsNothing: a drain that begins while the key-value
// service is down announces nothing, and still lets a stream come to its end.
func TestDrainWithoutPlatformCutsNothing(t *testing.T) {
	t.Parallel()
	c := start(t, dev.Options{StepTime: 2 * time.Millisecond, MaxDrain: 20 * time.Second})
	const tokens = 2000
	model := mixedVersions(0)
	first := make(chan struct{})
	var answer said
	var group sync.WaitGroup
	group.Go(func() {
		answer = complete(t.Context(), modelCall{address: c.Daemons[0].EntryAddress(), model: model, tokens: tokens, first: first})
	})
	<-first
	c.KV.SetDown(true)
	if err := c.Daemons[0].Drain(t.Context()); err != nil {
		t.Errorf("drain: %v", err)
	}
	group.Wait()
	checkAnswer(t, 0, answer, model, tokens)
	if answer.outcome != call.Done {
		t.Errorf("outcome %q, want done", answer.outcome)
	}
}

// drainUnder drains a daemon under streams that run through it or through
// another daemon, and for which it does not, or does, own the engine.
func drainUnder(t *testing.T, c *dev.Cluster, asEntry bool) {
	t.Helper()
	const streams, tokens = 12, 2000
	drained := c.Daemons[1]
	entry := c.Daemons[0]
	if asEntry {
		entry = drained
	}
	answers := make([]said, streams)
	kept := make([]bool, streams)
	var group sync.WaitGroup
	for n := range streams {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		first := make(chan struct{})
		group.Go(func() {
			answers[n] = complete(ctx, modelCall{address: entry.EntryAddress(), model: mixedVersions(n), tokens: tokens, first: first})
		})
		<-first
		owned := ownerOf(t, c, mixedVersions(n)) == drained.View().Self().Name
		kept[n] = owned != asEntry
		if !kept[n] {
			cancel()
		}
	}
	if !slices.Contains(kept, true) {
		t.Fatal("no stream runs in the role that this case is about")
	}
	if err := drained.Drain(t.Context()); err != nil {
		t.Errorf("drain: %v", err)
	}
	group.Wait()
	for n, answer := range answers {
		if kept[n] && answer.outcome != call.Done {
			t.Errorf("call %d: %+v, want done", n, answer.outcome)
		}
		if kept[n] {
			checkAnswer(t, n, answer, mixedVersions(n), tokens)
		}
	}
}

// ownerOf returns the owner of the engine that ran a model.
func ownerOf(t *testing.T, c *dev.Cluster, model string) string {
	t.Helper()
	name := c.Contents.Engines[busiest(c, model)].Name
	owner, ok := c.Daemons[0].View().Owner(ownership.KindEngine, name)
	if !ok {
		t.Fatalf("engine %s has no owner", name)
	}
	return owner.Member
}
