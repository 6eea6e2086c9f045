package owner

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/infra"
)

// requestBlocker blocks the requests of one daemon whose path contains a text,
// once it is armed. It simulates a VM that freezes between deciding to send a
// request and sending it.
type requestBlocker struct {
	path    string
	armed   atomic.Bool
	once    sync.Once
	blocked chan struct{}
	release chan struct{}
}

func newRequestBlocker(path string) *requestBlocker {
	return &requestBlocker{path: path, blocked: make(chan struct{}), release: make(chan struct{})}
}

func (p *requestBlocker) gate(r *http.Request) {
	if !p.armed.Load() || !strings.Contains(r.URL.Path, p.path) {
		return
	}
	p.once.Do(func() { close(p.blocked) })
	<-p.release
}

// TestPausedOwnerUnloadsNothingThatItsSuccessorUses pauses an owner between
// deciding to unload an adapter and sending the order, while another daemon
// takes over the engine and runs calls with that adapter.
func TestPausedOwnerUnloadsNothingThatItsSuccessorUses(t *testing.T) {
	runWithAndWithoutFencing(t, testEngine(2), func(t *testing.T, r *rig) {
		blocker := newRequestBlocker("/v1/unload")
		old := r.daemon("d1", blocker.gate)
		old.gain()
		old.complete("a@v1", 1)
		old.complete("b@v1", 1)
		blocker.armed.Store(true)
		oldResult := make(chan call.Result, 1)
		go func() { oldResult <- old.Run(t.Context(), modelCall("c@v1", 1), &collector{}) }()
		<-blocker.blocked

		successor := r.daemon("d2", nil)
		successor.gain()
		old.view.set(func(v *testView) { v.valid = false })
		successor.complete("b@v1", 1)
		m := modelCall("a@v1", 50)
		m.Tolerance = time.Second
		sink := &collector{arrived: make(chan int, 100)}
		ended := make(chan call.Result, 1)
		go func() { ended <- successor.Run(t.Context(), m, sink) }()
		if r.spec.ChecksFencing {
			<-sink.arrived
			close(blocker.release)
			if got := <-ended; got.Outcome != call.Done {
				t.Errorf("call on the adapter that the old owner wanted to unload: %v", got)
			}
		} else {
			if got := <-ended; got.Outcome != call.NotRun || got.Code != call.CodeDeadline {
				t.Errorf("call on a barred adapter: %v", got)
			}
			close(blocker.release)
		}
		old.Lost(old.holding)
		<-oldResult
		successor.complete("a@v1", 1)
	})
}

func TestSuccessorWaitsForCallsOfItsPredecessor(t *testing.T) {
	runWithAndWithoutFencing(t, testEngine(1), func(t *testing.T, r *rig) {
		old := r.daemon("d1", nil)
		old.gain()
		_, running := old.startCall(t.Context(), modelCall("a@v1", 300))
		successor := r.daemon("d2", nil)
		successor.gain()
		old.Lost(old.holding)
		if got := old.Run(t.Context(), modelCall("a@v1", 1), &collector{}); got.Outcome != call.NotRun || got.Code != call.CodeNotOwner {
			t.Errorf("call at the old owner: %v", got)
		}
		done := make(chan struct{})
		go func() { successor.complete("b@v1", 2); close(done) }()
		if got := running(); got.Outcome != call.Done {
			t.Errorf("call of the predecessor: %v", got)
		}
		<-done
	})
}

// TestPausedOwnerSendsItsCallTooLate pauses an owner between dispatching a call
// and sending it, until its successor needs the slot.
func TestPausedOwnerSendsItsCallTooLate(t *testing.T) {
	runWithAndWithoutFencing(t, testEngine(1), func(t *testing.T, r *rig) {
		blocker := newRequestBlocker("/v1/completions")
		old := r.daemon("d1", blocker.gate)
		old.gain()
		old.complete("a@v1", 1)
		blocker.armed.Store(true)
		late := make(chan call.Result, 1)
		go func() { late <- old.Run(t.Context(), modelCall("a@v1", 100), &collector{}) }()
		<-blocker.blocked

		successor := r.daemon("d2", nil)
		successor.gain()
		m := modelCall("b@v1", 1)
		m.Tolerance = 15 * time.Second
		got := successor.Run(t.Context(), m, &collector{})
		if evicted := got.Outcome == call.Done; evicted != r.spec.ChecksFencing {
			t.Errorf("call that needs the slot: %v", got)
		}
		close(blocker.release)
		if got := <-late; (got.Outcome == call.NotRun) != r.spec.ChecksFencing {
			t.Errorf("late call: %v", got)
		}
		old.Lost(old.holding)
		successor.completeWithRetries("b@v1")
	})
}

// completeWithRetries runs a call again after each refusal, with the advised
// retry delay, for at most ten seconds. It fails the test unless the call
// succeeds.
func (d *daemon) completeWithRetries(adapter string) {
	d.rig.t.Helper()
	began := time.Now()
	for {
		got := d.Run(d.rig.t.Context(), modelCall(adapter, 1), &collector{})
		if got.Outcome == call.Done {
			return
		}
		if got.Outcome != call.NotRun || got.RetryAfter <= 0 || time.Since(began) > 10*time.Second {
			d.rig.t.Errorf("call for %s after %v: %v", adapter, time.Since(began), got)
			return
		}
		time.Sleep(got.RetryAfter)
	}
}

func TestPredecessorHasEndedOnceItsVMIsNotListed(t *testing.T) {
	config := testEngine(1)
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, config)
		blocker := newRequestBlocker("/v1/unload")
		old := r.daemon("d1", blocker.gate)
		old.gain()
		old.complete("a@v1", 1)
		blocker.armed.Store(true)
		go old.Run(t.Context(), modelCall("b@v1", 1), &collector{})
		<-blocker.blocked

		successor := r.daemon("d2", nil)
		successor.view.set(func(v *testView) { v.members = append(v.members, old.view.self) })
		successor.gain()
		expectRefused := func(why string) {
			t.Helper()
			m := modelCall("a@v1", 1)
			m.Tolerance = 5 * time.Second
			if got := successor.Run(t.Context(), m, &collector{}); got.Outcome != call.NotRun {
				t.Errorf("%s: %v", why, got)
			}
		}
		both := []infra.VM{{Address: "d1:1"}, {Address: "d2:1"}}
		time.Sleep(2 * defaultVMListLag)
		successor.ApplyVMs(both)
		expectRefused("predecessor is a member")
		successor.view.set(func(v *testView) { v.members = nil })
		expectRefused("predecessor's VM is listed")
		successor.ApplyVMs(nil)
		expectRefused("the list does not cover daemons")
		successor.ApplyVMs(both[1:])
		successor.complete("a@v1", 1)
		expectNoViolations(t, r.engine)
		close(blocker.release)
	})
}
