package locator

import (
	"fmt"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/cost"
	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/steer"
	"github.com/barleylift/barleylift/internal/topology"
)

// Guards against a snapshot that shows work, pace, held adapters or kept prompts of an
// earlier process, or none of the current one.
func TestSnapshotShowsWhatIsKnownOfTheProcess(t *testing.T) {
	const perToken = 50 * time.Microsecond
	l := newOwner(t).locator
	l.SetUpstream(engine("e", nil))
	links := cost.Links(climb.String(), []cost.Part{{ID: 1, Tokens: 400}})
	need := Need{Service: "lm", Adapter: climb, PromptTokens: 1000, Links: links}
	snapshot := func() steer.Engine { return l.Engines(need, nil)[0] }

	if e := snapshot(); e.PrefillPerToken != 0 || e.WorkAge != noReport || e.PromptTokens != 1000 || e.HeldLately || !e.Holds {
		t.Errorf("before a report: %+v", e)
	}
	l.ApplyState(orders.EngineState{Engine: "e", Incarnation: 1, WaitingWork: 30 * time.Millisecond, PrefillPerToken: perToken,
		Held: []residency.HeldAdapter{{Adapter: topology.Adapter{Model: "base", Name: "other"}, Version: 1}}})
	l.RecordPrompt("e", links)
	l.startWait("e", AdmissionRequest{Ticket: 1, PromptTokens: 1000})
	if e := snapshot(); e.PrefillPerToken != perToken || e.WaitingWork != 30*time.Millisecond || e.OwnWork != 50*time.Millisecond || e.WorkAge > time.Minute ||
		e.PromptTokens != 600 || !e.HeldLately || e.Holds {
		t.Errorf("after a report: %+v", e)
	}

	l.views["e"].workAt = clock.Boot() - stateTTL - time.Second
	if e := snapshot(); e.PrefillPerToken != perToken || e.WaitingWork != 0 || e.OwnWork != 50*time.Millisecond || e.WorkAge <= stateTTL {
		t.Errorf("long after a report: %+v", e)
	}

	l.HandleStatus(orders.AdmissionStatus{Engine: "e", Ticket: 9, Status: residency.Declined, Incarnation: 1})
	if e := snapshot(); e.PrefillPerToken != perToken {
		t.Errorf("after an answer of a daemon that knows no pace: %+v", e)
	}
	l.SetUpstream(engine("e", func(u *topology.Upstream) { u.Incarnation = 2; u.Models[0].Adapters = nil }))
	if e := snapshot(); e.PrefillPerToken != 0 || e.WorkAge != noReport || e.PromptTokens != 1000 || e.HeldLately || e.Holds {
		t.Errorf("after a restart: %+v", e)
	}
}

// Guards against an owner of the last build that takes an engine over: its reports end what
// is known of the pace.
func TestReportWithoutPaceEndsIt(t *testing.T) {
	l := newOwner(t).locator
	l.SetUpstream(engine("e", nil))
	l.ApplyState(orders.EngineState{Engine: "e", Incarnation: 1, PrefillPerToken: time.Microsecond})
	l.ApplyState(orders.EngineState{Engine: "e", Incarnation: 1, Waiting: 3})
	if e := l.Engines(Need{Service: "lm", Adapter: topology.Adapter{Model: "base"}}, nil)[0]; e.PrefillPerToken != 0 || e.Queued != 3 {
		t.Errorf("snapshot %+v, want no pace", e)
	}
}

// Guards against state that grows with the adapters that an engine held.
func TestAdaptersHeldLatelyAreBounded(t *testing.T) {
	l := newOwner(t).locator
	l.SetUpstream(engine("e", nil))
	for i := range 3 * maxHeldLately {
		l.ApplyState(orders.EngineState{Engine: "e", Incarnation: 1, Held: []residency.HeldAdapter{{Adapter: topology.Adapter{Model: "base", Name: fmt.Sprint(i)}}}})
	}
	if n := len(l.views["e"].lately.adapters); n != maxHeldLately {
		t.Errorf("%d adapters, want %d", n, maxHeldLately)
	}
	latest := topology.Adapter{Model: "base", Name: fmt.Sprint(3*maxHeldLately - 2)}
	if e := l.Engines(Need{Service: "lm", Adapter: latest}, nil)[0]; !e.HeldLately {
		t.Error("the adapter held last is unknown")
	}
}
