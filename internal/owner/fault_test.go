package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/infra"
)

// runWithAndWithoutFencing runs a test in a synctest bubble, once with an
// engine that checks fencing tokens and once with an engine that ignores them.
func runWithAndWithoutFencing(t *testing.T, config fake.EngineConfig, test func(t *testing.T, r *rig)) {
	for _, checks := range []bool{true, false} {
		config.ChecksFencing = checks
		t.Run(fmt.Sprintf("fencing=%t", checks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, config)
				test(t, r)
				expectNoViolations(t, r.engine)
			})
		})
	}
}

// startCall runs a call in the background and returns once its first part has
// arrived. The returned function waits for the result of the call.
func (d *daemon) startCall(ctx context.Context, m call.ModelRequest) (*collector, func() call.Result) {
	sink := &collector{arrived: make(chan int, 1000)}
	ended := make(chan call.Result, 1)
	go func() { ended <- d.Run(ctx, m, sink) }()
	<-sink.arrived
	return sink, func() call.Result { return <-ended }
}

func TestColdCallsShareLoadsAndEvictOnlyIdleAdapters(t *testing.T) {
	runWithAndWithoutFencing(t, testEngine(2), func(t *testing.T, r *rig) {
		d := r.daemon("d1", nil)
		d.gain()
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Go(func() { d.complete(fmt.Sprintf("a%d@v1", i%5), 5) })
		}
		wg.Wait()
		for i := range 5 {
			if loads := r.engine.CountRecords("load", fmt.Sprintf("a%d@v1", i)); loads != 1 {
				t.Errorf("12 calls for adapter %d at once caused %d loads", i, loads)
			}
		}
	})
}

func TestLoadStallIsTheWaitForTheLoad(t *testing.T) {
	runWithAndWithoutFencing(t, testEngine(1), func(t *testing.T, r *rig) {
		d := r.daemon("d1", nil)
		d.gain()
		d.complete("a@v1", 1)
		if warm := d.complete("a@v1", 1); warm.LoadStall != 0 {
			t.Errorf("warm call stalled for %v", warm.LoadStall)
		}
		cold := d.complete("b@v1", 1)
		if cold.LoadStall < 100*time.Millisecond || cold.LoadStall > cold.QueueWait {
			t.Errorf("cold call: stall %v, wait %v; a load takes 100ms", cold.LoadStall, cold.QueueWait)
		}
	})
}

// TestFaults injects each fault of an engine into one call, and then checks
// that calls succeed again.
func TestFaults(t *testing.T) {
	for _, tc := range []struct {
		name    string
		resumes bool
		inject  func(e *fake.Engine)
		during  func(e *fake.Engine)
		outcome call.Outcome
		code    call.Code
	}{
		{name: "load fails", inject: func(e *fake.Engine) { e.FailLoads(1) }, outcome: call.NotRun, code: call.CodeLoadFailed},
		{name: "load reply lost", inject: func(e *fake.Engine) { e.LoseOrderResponses(1) }, outcome: call.Done},
		{name: "wrong model", inject: func(e *fake.Engine) { e.RunWrongModel(1) }, outcome: call.Incomplete, code: call.CodeWrongModel},
		{name: "crossed answer", inject: func(e *fake.Engine) { e.MisrouteResponses(1) }, outcome: call.Incomplete, code: call.CodeConnectionLost},
		{name: "cut stream", inject: func(e *fake.Engine) { e.CutNextStream(3) }, outcome: call.Incomplete, code: call.CodeConnectionLost},
		{name: "cut stream", resumes: true, inject: func(e *fake.Engine) { e.CutNextStream(3) }, outcome: call.Done},
		{name: "silent connection", during: (*fake.Engine).StallConnections, outcome: call.Incomplete, code: call.CodeConnectionLost},
		{name: "silent connection", resumes: true, during: (*fake.Engine).StallConnections, outcome: call.Done},
		{name: "silent idle connection", inject: (*fake.Engine).StallConnections, outcome: call.Incomplete, code: call.CodeConnectionLost},
		{name: "restart", during: (*fake.Engine).Restart, outcome: call.Incomplete, code: call.CodeConnectionLost},
		{name: "restart", resumes: true, during: (*fake.Engine).Restart, outcome: call.Incomplete, code: call.CodeConnectionLost},
	} {
		config := testEngine(1)
		config.ResumesStreams = tc.resumes
		t.Run(fmt.Sprintf("%s/resumes=%t", tc.name, tc.resumes), func(t *testing.T) {
			runWithAndWithoutFencing(t, config, func(t *testing.T, r *rig) {
				d := r.daemon("d1", nil)
				d.gain()
				d.complete("warm@v1", 1)
				if tc.inject != nil {
					tc.inject(r.engine)
				}
				m := modelCall("a@v1", 20)
				sink := &collector{arrived: make(chan int, 100)}
				ended := make(chan call.Result, 1)
				go func() { ended <- d.Run(t.Context(), m, sink) }()
				if tc.during != nil {
					<-sink.arrived
					tc.during(r.engine)
				}
				result := <-ended
				if result.Outcome != tc.outcome || result.Code != tc.code {
					t.Errorf("got %v, want %s %s", result, tc.outcome, tc.code)
				}
				whole := fake.EngineText("a@v1", m.Attempt, 20)
				if got := sink.text(); len(got) > len(whole) || got != whole[:len(got)] || (result.Outcome == call.Done) != (got == whole) {
					t.Errorf("outcome %s with the response %q", result.Outcome, got)
				}
				time.Sleep(3 * time.Second)
				d.complete("a@v1", 5)
				d.complete("b@v1", 5)
			})
		})
	}
}

// TestWaitingCallSurvivesTheLossOfItsAdapter restarts the engine while a call
// waits for an adapter that was loaded when the call arrived. The adapter must
// be loaded again for the waiting call.
func TestWaitingCallSurvivesTheLossOfItsAdapter(t *testing.T) {
	config := testEngine(1)
	config.MaxRunning = 1
	runWithAndWithoutFencing(t, config, func(t *testing.T, r *rig) {
		d := r.daemon("d1", nil)
		d.gain()
		_, first := d.startCall(t.Context(), modelCall("a@v1", 1000))
		second := make(chan call.Result, 1)
		go func() { second <- d.complete("a@v1", 3) }()
		synctest.Wait()
		r.engine.Restart()
		if got := first(); got.Outcome != call.Incomplete {
			t.Errorf("call on the engine that restarted: %v", got)
		}
		if got := <-second; got.LoadStall < 100*time.Millisecond || got.LoadStall > got.QueueWait {
			t.Errorf("waiting call: stall %v, wait %v; a load takes 100ms", got.LoadStall, got.QueueWait)
		}
	})
}

func TestResidentAdapterIsServedAfterARefusedLoad(t *testing.T) {
	runWithAndWithoutFencing(t, testEngine(2), func(t *testing.T, r *rig) {
		d := r.daemon("d1", nil)
		d.gain()
		d.complete("b@v1", 1)
		r.engine.Preload("a@v1")
		if got := d.Run(t.Context(), modelCall("a@v1", 1), &collector{}); got.Code != call.CodeLoadFailed {
			t.Errorf("call for an adapter that was loaded without an order of its owner: %v", got)
		}
		time.Sleep(loadBackoff / 2)
		d.complete("a@v1", 1)
	})
}

func TestLostUnloadReplyKeepsTheSlotUnusedUntilAReport(t *testing.T) {
	runWithAndWithoutFencing(t, testEngine(1), func(t *testing.T, r *rig) {
		d := r.daemon("d1", nil)
		d.gain()
		d.complete("a@v1", 1)
		r.engine.LoseOrderResponses(1)
		d.complete("b@v1", 3)
		d.complete("a@v1", 3)
	})
}

func TestCancelledCallFreesTheAdapter(t *testing.T) {
	runWithAndWithoutFencing(t, testEngine(1), func(t *testing.T, r *rig) {
		d := r.daemon("d1", nil)
		d.gain()
		ctx, cancel := context.WithCancel(t.Context())
		_, result := d.startCall(ctx, modelCall("a@v1", 100000))
		cancel()
		if got := result(); got.Outcome != call.Incomplete || got.Code != call.CodeCancelled {
			t.Errorf("cancelled call: %v", got)
		}
		d.complete("b@v1", 2)
	})
}

func TestRefusalsAreImmediate(t *testing.T) {
	runWithAndWithoutFencing(t, testEngine(1), func(t *testing.T, r *rig) {
		d := r.daemon("d1", nil)
		d.gain()
		_, result := d.startCall(t.Context(), modelCall("a@v1", 200))
		began := time.Now()
		blocked := modelCall("b@v1", 5)
		blocked.Tolerance = 300 * time.Millisecond
		got := d.Run(t.Context(), blocked, &collector{})
		if got.Outcome != call.NotRun || got.Code != call.CodeDeadline || time.Since(began) != blocked.Tolerance {
			t.Errorf("after %v: %v; want not_run at the deadline", time.Since(began), got)
		}
		if result().Outcome != call.Done {
			t.Error("the running call did not succeed")
		}
		d.complete("b@v1", 1)
		began = time.Now()
		shortTolerance := modelCall("a@v1", 5)
		shortTolerance.Tolerance = time.Millisecond
		got = d.Run(t.Context(), shortTolerance, &collector{})
		if got.Code != call.CodeExpectedWait || got.RetryAfter <= 0 || time.Since(began) != 0 {
			t.Errorf("after %v: %v; want an immediate refusal with a retry delay", time.Since(began), got)
		}
	})
}

func TestLeavingEngineGetsNoNewCalls(t *testing.T) {
	runWithAndWithoutFencing(t, testEngine(1), func(t *testing.T, r *rig) {
		d := r.daemon("d1", nil)
		d.gain()
		_, first := d.startCall(t.Context(), modelCall("a@v1", 100))
		waiting := make(chan call.Result, 1)
		go func() { waiting <- d.Run(t.Context(), modelCall("b@v1", 5), &collector{}) }()
		synctest.Wait()
		began := time.Now()
		d.ApplyVMs([]infra.VM{{Address: "engine", State: infra.VMLeaving}})
		for _, got := range []call.Result{<-waiting, d.Run(t.Context(), modelCall("a@v1", 5), &collector{})} {
			if got.Outcome != call.NotRun || got.Code != call.CodeNoUpstream || got.RetryAfter <= 0 {
				t.Errorf("call for a leaving engine: %v", got)
			}
		}
		if waited := time.Since(began); waited != 0 {
			t.Errorf("refused after %v", waited)
		}
		if got := first(); got.Outcome != call.Done {
			t.Errorf("call in flight on a leaving engine: %v", got)
		}
	})
}

func TestDrainFinishesWaitingAndRunningCalls(t *testing.T) {
	runWithAndWithoutFencing(t, testEngine(1), func(t *testing.T, r *rig) {
		d := r.daemon("d1", nil)
		d.gain()
		_, running := d.startCall(t.Context(), modelCall("a@v1", 50))
		waiting := make(chan call.Result, 1)
		go func() { waiting <- d.Run(t.Context(), modelCall("b@v1", 5), &collector{}) }()
		synctest.Wait()
		if d.HandoverReady(engineName) {
			t.Error("ready for a handover with calls in flight")
		}
		drained := make(chan error, 1)
		go func() { drained <- d.Drain(t.Context()) }()
		synctest.Wait()
		if got := d.Run(t.Context(), modelCall("a@v1", 5), &collector{}); got.Code != call.CodeDraining || got.Outcome != call.NotRun {
			t.Errorf("new call while draining: %v", got)
		}
		if a, b := running(), <-waiting; a.Outcome != call.Done || b.Outcome != call.Done {
			t.Errorf("calls in flight ended with %v and %v", a, b)
		}
		if err := <-drained; err != nil {
			t.Error(err)
		}
		successor := r.daemon("d2", nil)
		successor.gain()
		successor.complete("c@v1", 2)
	})
}

// TestDrainHandsOverWhileCallsRun checks that a successor can serve the engine
// before the last call of the draining daemon has ended.
func TestDrainHandsOverWhileCallsRun(t *testing.T) {
	runWithAndWithoutFencing(t, testEngine(1), func(t *testing.T, r *rig) {
		successor := r.daemon("d2", nil)
		d := r.daemon("d1", nil, func(c *Config) {
			c.Release = func(context.Context, string) error {
				successor.gain()
				return nil
			}
		})
		d.gain()
		_, running := d.startCall(t.Context(), modelCall("a@v1", 1000))
		drained := make(chan error, 1)
		go func() { drained <- d.Drain(t.Context()) }()
		synctest.Wait()
		successor.complete("a@v1", 2)
		select {
		case err := <-drained:
			t.Errorf("drained with a call in flight: %v", err)
		default:
		}
		if got := running(); got.Outcome != call.Done {
			t.Errorf("call in flight at the drain: %v", got)
		}
		if err := <-drained; err != nil {
			t.Error(err)
		}
		successor.completeWithRetries("b@v1")
	})
}

// TestKeyValueServiceDown checks what continues without the key-value service:
// serving, loads into empty slots, and evictions only if the engine checks
// fencing tokens.
func TestKeyValueServiceDown(t *testing.T) {
	runWithAndWithoutFencing(t, testEngine(2), func(t *testing.T, r *rig) {
		d := r.daemon("d1", nil)
		d.gain()
		d.complete("a@v1", 1)
		time.Sleep(5 * time.Second)
		r.kv.SetDown(true)
		d.view.set(func(v *testView) { v.valid = false })
		d.complete("a@v1", 1)
		d.complete("b@v1", 1)
		m := modelCall("c@v1", 1)
		got := d.Run(t.Context(), m, &collector{})
		if evicted := got.Outcome == call.Done; evicted != r.spec.ChecksFencing {
			t.Errorf("call that needs an eviction: %v", got)
		}
		r.kv.SetDown(false)
		d.view.set(func(v *testView) { v.valid = true })
		d.complete("c@v1", 1)
	})
}

// gatedPermits grants a load only when the test sends to granted.
type gatedPermits struct {
	requests chan PermitRequest
	granted  chan error
}

type noRelease struct{}

func (noRelease) Release() {}

func (g *gatedPermits) Acquire(ctx context.Context, request PermitRequest) (Permit, error) {
	g.requests <- request
	select {
	case err := <-g.granted:
		return noRelease{}, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func TestLoadWaitsForItsPermit(t *testing.T) {
	runWithAndWithoutFencing(t, testEngine(2), func(t *testing.T, r *rig) {
		permits := &gatedPermits{requests: make(chan PermitRequest, 10), granted: make(chan error)}
		d := r.daemon("d1", nil, func(c *Config) { c.Permits = permits })
		d.gain()
		ctx, cancel := context.WithCancel(t.Context())
		cancelled := make(chan call.Result, 1)
		go func() { cancelled <- d.Run(ctx, modelCall("a@v1", 1), &collector{}) }()
		if request := <-permits.requests; request.Store != "w" || request.Adapter.String() != "a@v1" {
			t.Errorf("asked for %+v", request)
		}
		cancel()
		if got := <-cancelled; got.Outcome != call.NotRun {
			t.Errorf("cancelled while waiting: %v", got)
		}
		done := make(chan struct{})
		go func() { d.complete("b@v1", 1); close(done) }()
		<-permits.requests
		permits.granted <- errors.New("no granter")
		<-done
		if r.engine.CountRecords("load", "a@v1") != 0 {
			t.Error("loaded an adapter that no call waited for")
		}
	})
}
