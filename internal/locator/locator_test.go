package locator

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
)

var climb = topology.Adapter{Model: "base", Name: "climb"}

// owner answers asks as a test says and notes the turns given back.
type owner struct {
	locator *Locator
	answer  func(engine string, ask AdmissionRequest) bool
	back    chan uint64
}

func newOwner(t *testing.T) *owner {
	t.Helper()
	o := &owner{back: make(chan uint64, 8), answer: func(string, AdmissionRequest) bool { return false }}
	l, err := New(Config{
		Zone: "z", Name: "vm",
		SendRequest:  func(engine string, ask AdmissionRequest) bool { return o.answer(engine, ask) },
		SendProgress: func(_ string, ticket uint64, _ orders.AdmissionProgress) { o.back <- ticket },
		Log:          slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	if err != nil {
		t.Fatal(err)
	}
	o.locator = l
	return o
}

func engine(id string, change func(*topology.Upstream)) topology.Upstream {
	u := topology.Upstream{ID: id, Incarnation: 1, Service: "lm", Slots: 8, Models: []topology.HeldModel{{
		Name: "base", Version: 1, Adapters: []topology.HeldAdapter{{Name: climb.Name, Version: 1}},
	}}}
	if change != nil {
		change(&u)
	}
	return u
}

func (o *owner) ids(adapter topology.Adapter, tried ...string) int {
	return len(o.locator.Engines("lm", adapter, tried))
}

func TestEnginesThatMayNotBeUsedAreLeftOut(t *testing.T) {
	tests := []struct {
		name   string
		change func(*topology.Upstream)
	}{
		{"leaving", func(u *topology.Upstream) { u.Leaving = true }},
		{"without the base model", func(u *topology.Upstream) { u.Models = nil }},
		{"of another service", func(u *topology.Upstream) { u.Service = "other" }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := newOwner(t)
			o.locator.SetUpstream(engine("e", nil))
			if o.ids(climb) != 1 {
				t.Fatal("a sound engine is left out")
			}
			o.locator.SetUpstream(engine("e", test.change))
			if o.ids(climb) != 0 {
				t.Error("the engine is offered")
			}
			if test.name == "leaving" {
				if _, ok := o.locator.Upstream("e"); ok {
					t.Error("a leaving engine may still be sent to")
				}
			}
		})
	}
	o := newOwner(t)
	o.locator.SetUpstream(engine("e", nil))
	if o.ids(climb, "e") != 0 {
		t.Error("an engine that was tried is offered again")
	}
	o.locator.RemoveUpstream("e")
	if o.ids(climb) != 0 {
		t.Error("an engine that is gone is offered")
	}
}

func TestRestartedEngineHoldsNothing(t *testing.T) {
	o := newOwner(t)
	o.locator.SetUpstream(engine("e", nil))
	o.locator.ApplyState(orders.EngineState{Engine: "e", Incarnation: 1, Held: []residency.HeldAdapter{{Adapter: climb, Version: 1}}})
	o.locator.SetUpstream(engine("e", func(u *topology.Upstream) { u.Incarnation, u.Models[0].Adapters = 2, nil }))
	if e := o.locator.Engines("lm", climb, nil); len(e) != 1 || e[0].Holds {
		t.Errorf("after the restart: %+v", e)
	}
	o.locator.ApplyState(orders.EngineState{Engine: "e", Incarnation: 1, Held: []residency.HeldAdapter{{Adapter: climb, Version: 1}}})
	if e := o.locator.Engines("lm", climb, nil); e[0].Holds {
		t.Error("the state of the earlier process was believed")
	}
}

// A newer version is needed at once; the older one may begin requests for the
// grace only.
func TestVersionsInForce(t *testing.T) {
	v := versions{newest: 3, before: 2, learned: time.Minute}
	tests := []struct {
		at              time.Duration
		needed, allowed int64
	}{
		{time.Minute, 3, 2},
		{time.Minute + versionGrace - 1, 3, 2},
		{time.Minute + versionGrace, 3, 3},
	}
	for _, test := range tests {
		if needed, allowed := v.at(test.at); needed != test.needed || allowed != test.allowed {
			t.Errorf("at %v: needed %d, allowed %d; want %d, %d", test.at, needed, allowed, test.needed, test.allowed)
		}
	}
	o := newOwner(t)
	o.locator.SetUpstream(engine("e", nil))
	o.locator.SetVersion(climb, 2)
	if e := o.locator.Engines("lm", climb, nil); e[0].Holds || !e[0].HoldsUsableOlder {
		t.Errorf("an engine with version 1, just after version 2 was named: %+v", e[0])
	}
	o.locator.SetVersion(climb, 1)
	if got := o.locator.NeededVersion(climb); got != 2 {
		t.Errorf("an older version came in force: %d", got)
	}
}

// While the older version may serve, its holders are asked for it: asked for
// the newest, their owners would replace it under the requests that run.
func TestOlderVersionIsAskedForWhileItServes(t *testing.T) {
	o := newOwner(t)
	asked := make(map[string]int64)
	o.answer = func(engine string, ask AdmissionRequest) bool {
		asked[engine] = ask.Version
		return false
	}
	o.locator.SetUpstream(engine("older", nil))
	o.locator.SetUpstream(engine("empty", func(u *topology.Upstream) { u.Models[0].Adapters = nil }))
	o.locator.SetVersion(climb, 2)
	for _, id := range []string{"older", "empty"} {
		o.locator.AwaitAdmission(t.Context(), id, AdmissionRequest{Ticket: o.locator.NewTicket(), Adapter: climb})
	}
	if asked["older"] != 0 || asked["empty"] != 2 {
		t.Errorf("asked for versions %v, want any that is held (0) and 2 elsewhere", asked)
	}
}

func TestTurns(t *testing.T) {
	tests := []struct {
		name   string
		status []residency.Status
		known  bool
		want   Admission
	}{
		{"granted", []residency.Status{residency.Ready}, true, Admitted},
		{"granted later", []residency.Status{residency.Waiting, residency.Ready}, true, Admitted},
		{"declined", []residency.Status{residency.Declined}, true, Declined},
		{"no owner", nil, false, Unowned},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := newOwner(t)
			o.locator.SetUpstream(engine("e", nil))
			o.answer = func(engine string, ask AdmissionRequest) bool {
				for _, status := range test.status {
					o.locator.HandleStatus(orders.AdmissionStatus{Engine: engine, Ticket: ask.Ticket, Status: status})
				}
				return test.known
			}
			if got := o.locator.AwaitAdmission(t.Context(), "e", AdmissionRequest{Ticket: 1, Adapter: climb}); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
			if len(o.back) != 0 {
				t.Error("a turn that is in use was given back")
			}
		})
	}
}

// A turn that comes when its request has left is given back, or the engine
// would stand still for it.
func TestLateTurnIsGivenBack(t *testing.T) {
	o := newOwner(t)
	o.locator.SetUpstream(engine("e", nil))
	o.locator.HandleStatus(orders.AdmissionStatus{Engine: "e", Ticket: 7, Status: residency.Ready})
	if ticket := <-o.back; ticket != 7 {
		t.Errorf("turn %d was given back, want 7", ticket)
	}
}

func TestFailuresMakeAnEngineSuspectForAWhile(t *testing.T) {
	var failures aged
	failures.add(0, 2)
	if failures.get(0) < suspectFailures {
		t.Error("two failures do not count")
	}
	if failures.get(2*failureHalfLife) >= suspectFailures {
		t.Error("failures are not forgotten")
	}
}
