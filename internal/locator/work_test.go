package locator

import (
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/residency"
)

// Between two reports of an owner, an entry that doesn't count its own prompts sends all of
// them to one engine; one that counts an admitted prompt as done sees no work there.
func TestWaitingWorkIncludesOwnPromptsSinceTheReport(t *testing.T) {
	const perToken = 50 * time.Microsecond
	o := newOwner(t)
	l := o.locator
	l.SetUpstream(engine("e", nil))
	work := func() time.Duration {
		work, _, ok := l.views["e"].estimateWaitingWork(clock.Boot())
		if !ok {
			t.Fatal("no estimate")
		}
		return work
	}
	l.ApplyState(orders.EngineState{Engine: "e", Incarnation: 1})
	if _, _, ok := l.views["e"].estimateWaitingWork(clock.Boot()); ok {
		t.Error("an estimate from an owner that reports no times")
	}
	l.ApplyState(orders.EngineState{Engine: "e", Incarnation: 1, WaitingWork: 30 * time.Millisecond, PrefillPerToken: perToken})
	l.startWait("e", AdmissionRequest{Ticket: 1, PromptTokens: 1000})
	if got, want := work(), 80*time.Millisecond; got != want {
		t.Errorf("%v of work with an own prompt, want %v", got, want)
	}
	l.HandleStatus(orders.AdmissionStatus{Engine: "e", Ticket: 1, Status: residency.Ready, Incarnation: 1, WaitingWork: 50 * time.Millisecond, PrefillPerToken: perToken})
	l.admitted[waitKey{"e", 1}] = true
	l.endWait("e", 1)
	if got, want := work(), 50*time.Millisecond; got != want {
		t.Errorf("%v of work once the own prompt is admitted, want %v", got, want)
	}
}

// A request that no longer waits must be withdrawn: its owner would admit it and keep others
// from its place. One that may stay keeps its ticket, and so its place.
func TestRequestThatNoLongerWaitsIsWithdrawn(t *testing.T) {
	o := newOwner(t)
	l := o.locator
	l.SetUpstream(engine("e", nil))
	tickets := make(map[uint64]bool)
	o.answer = func(engine string, request AdmissionRequest) bool {
		tickets[request.Ticket] = true
		l.HandleStatus(orders.AdmissionStatus{Engine: engine, Ticket: request.Ticket, Status: residency.Waiting})
		return true
	}
	asked := 0
	got := l.AwaitAdmission(t.Context(), "e", AdmissionRequest{
		Ticket: 5, Adapter: climb, ReconsiderAfter: time.Millisecond, MayStay: func() bool { asked++; return asked < 3 },
	})
	if got != WaitEnded || asked != 3 || len(tickets) != 1 {
		t.Errorf("%v after %d looks at other engines with tickets %v, want %v after 3 with one ticket", got, asked, tickets, WaitEnded)
	}
	if len(o.released) != 1 || <-o.released != 5 {
		t.Error("the request was not withdrawn")
	}
}
