package locator

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/ratelimit"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
)

var climb = topology.Adapter{Model: "base", Name: "climb"}

// owner answers admission requests as the test defines and records released
// admissions.
type owner struct {
	locator  *Locator
	answer   func(engine string, request AdmissionRequest) bool
	released chan uint64
}

func newOwner(t *testing.T) *owner {
	t.Helper()
	o := &owner{released: make(chan uint64, 8), answer: func(string, AdmissionRequest) bool { return false }}
	l, err := New(Config{
		Zone: "z", Name: "vm",
		SendRequest:     func(engine string, request AdmissionRequest) bool { return o.answer(engine, request) },
		SendProgress:    func(_ string, ticket uint64, _ orders.AdmissionProgress) { o.released <- ticket },
		SendTurnRequest: func(ratelimit.Request) bool { return false },
		Log:             slog.New(slog.NewTextHandler(io.Discard, nil)),
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

func (o *owner) engineCount(adapter topology.Adapter, tried ...string) int {
	return len(o.locator.Engines(Need{Service: "lm", Adapter: adapter}, tried))
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
			if o.engineCount(climb) != 1 {
				t.Fatal("a usable engine is left out")
			}
			o.locator.SetUpstream(engine("e", test.change))
			if o.engineCount(climb) != 0 {
				t.Error("an unusable engine is returned")
			}
			if test.name == "leaving" {
				if _, ok := o.locator.Upstream("e", false); ok {
					t.Error("a leaving engine may still get requests")
				}
			}
		})
	}
	o := newOwner(t)
	o.locator.SetUpstream(engine("e", nil))
	if o.engineCount(climb, "e") != 0 {
		t.Error("an engine that was tried is returned again")
	}
	o.locator.RemoveUpstream("e")
	if o.engineCount(climb) != 0 {
		t.Error("a removed engine is returned")
	}
}

func TestRestartedEngineHoldsNothing(t *testing.T) {
	o := newOwner(t)
	o.locator.SetUpstream(engine("e", nil))
	o.locator.ApplyState(orders.EngineState{Engine: "e", Incarnation: 1, Held: []residency.HeldAdapter{{Adapter: climb, Version: 1}}})
	o.locator.SetUpstream(engine("e", func(u *topology.Upstream) { u.Incarnation, u.Models[0].Adapters = 2, nil }))
	if e := o.locator.Engines(Need{Service: "lm", Adapter: climb}, nil); len(e) != 1 || e[0].Holds {
		t.Errorf("after the restart: %+v", e)
	}
	o.locator.ApplyState(orders.EngineState{Engine: "e", Incarnation: 1, Held: []residency.HeldAdapter{{Adapter: climb, Version: 1}}})
	if e := o.locator.Engines(Need{Service: "lm", Adapter: climb}, nil); e[0].Holds {
		t.Error("the state of the earlier process was applied")
	}
}

// A newer version is needed at once; requests may begin with the older one
// within versionGrace only.
func TestVersionsInForce(t *testing.T) {
	v := versions{newest: 2}.with(3, time.Minute)
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
	if e := o.locator.Engines(Need{Service: "lm", Adapter: climb}, nil); e[0].Holds || !e[0].HoldsUsableOlder {
		t.Errorf("an engine with version 1, just after version 2 was set: %+v", e[0])
	}
	o.locator.SetVersion(climb, 1)
	if got := o.locator.NeededVersion(climb); got != 2 {
		t.Errorf("an older version took effect: %d", got)
	}
}

// Versions that followed each other within the grace period kept the oldest one allowed, and began its time anew.
func TestEachVersionIsAllowedFromItsOwnSuccessorOn(t *testing.T) {
	const interval = versionGrace * 4 / 5
	v := versions{newest: 1}
	learned := func(version int64) time.Duration { return time.Minute + time.Duration(version)*interval }
	for version := int64(2); version <= 6; version++ {
		v = v.with(version, learned(version))
		for _, after := range []time.Duration{0, versionGrace - interval - 1, versionGrace - interval, interval - 1} {
			now := learned(version) + after
			wantAllowed := version - 1
			if version > 2 && now < learned(version-1)+versionGrace {
				wantAllowed = version - 2
			}
			if needed, allowed := v.at(now); needed != version || allowed != wantAllowed {
				t.Errorf("%v after version %d: needed %d, allowed %d; want %d, %d", after, version, needed, allowed, version, wantAllowed)
			}
		}
	}
	if len(v.older) > 2 {
		t.Errorf("%d older versions are kept", len(v.older))
	}
}

// A request that waited for longer than an older version was allowed began on that version.
func TestVersionIsCheckedJustBeforeTheSend(t *testing.T) {
	o := newOwner(t)
	o.locator.SetUpstream(engine("e", nil))
	o.locator.SetVersion(climb, 2)
	if held, allowed := o.locator.VersionToSend("e", climb); held != 1 || !allowed {
		t.Errorf("held %d, allowed %v just after version 2, want 1, true", held, allowed)
	}
	o.locator.versions[climb] = versions{newest: 1}.with(2, clock.Boot()-versionGrace)
	if held, allowed := o.locator.VersionToSend("e", climb); held != 1 || allowed {
		t.Errorf("held %d, allowed %v after the grace period, want 1, false", held, allowed)
	}
	o.locator.ApplyState(orders.EngineState{Engine: "e", Incarnation: 1, Held: []residency.HeldAdapter{{Adapter: climb, Version: 2}}})
	if held, allowed := o.locator.VersionToSend("e", climb); held != 2 || !allowed {
		t.Errorf("held %d, allowed %v at an engine with version 2, want 2, true", held, allowed)
	}
}

// While an older version may still serve, engines that hold it get requests for
// that version: a request for the newest would make their owners replace the
// adapter while it serves requests.
func TestOlderVersionIsRequestedWhileItServes(t *testing.T) {
	o := newOwner(t)
	requested := make(map[string]int64)
	o.answer = func(engine string, request AdmissionRequest) bool {
		requested[engine] = request.Version
		return false
	}
	o.locator.SetUpstream(engine("older", nil))
	o.locator.SetUpstream(engine("empty", func(u *topology.Upstream) { u.Models[0].Adapters = nil }))
	o.locator.SetVersion(climb, 2)
	for _, id := range []string{"older", "empty"} {
		o.locator.AwaitAdmission(t.Context(), id, AdmissionRequest{Ticket: o.locator.NewTicket(), Adapter: climb})
	}
	if requested["older"] != 0 || requested["empty"] != 2 {
		t.Errorf("requested versions %v, want any (0) at the holder and 2 at the other engine", requested)
	}
}

func TestAdmissions(t *testing.T) {
	tests := []struct {
		name     string
		statuses []residency.Status
		hasOwner bool
		want     Admission
	}{
		{"admitted", []residency.Status{residency.Ready}, true, Admitted},
		{"admitted later", []residency.Status{residency.Waiting, residency.Ready}, true, Admitted},
		{"declined", []residency.Status{residency.Declined}, true, Declined},
		{"too late", []residency.Status{residency.Waiting, residency.TooLate}, true, TooLate},
		{"no owner", nil, false, Unowned},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := newOwner(t)
			o.locator.SetUpstream(engine("e", nil))
			o.answer = func(engine string, request AdmissionRequest) bool {
				for _, status := range test.statuses {
					o.locator.HandleStatus(orders.AdmissionStatus{Engine: engine, Ticket: request.Ticket, Status: status})
				}
				return test.hasOwner
			}
			if got, _ := o.locator.AwaitAdmission(t.Context(), "e", AdmissionRequest{Ticket: 1, Adapter: climb}); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
			if len(o.released) != 0 {
				t.Error("an admission in use was released")
			}
		})
	}
}

// An admission that arrives after its request has stopped waiting must be
// released, or the engine would admit no other request in its place.
func TestLateAdmissionIsReleased(t *testing.T) {
	o := newOwner(t)
	o.locator.SetUpstream(engine("e", nil))
	o.locator.HandleStatus(orders.AdmissionStatus{Engine: "e", Ticket: 7, Status: residency.Ready})
	if ticket := <-o.released; ticket != 7 {
		t.Errorf("admission with ticket %d was released, want 7", ticket)
	}
}

func TestFailuresMakeAnEngineSuspectForAWhile(t *testing.T) {
	var failures decayingCount
	failures.add(0, 2)
	if failures.get(0) < suspectThreshold {
		t.Error("two failures do not count")
	}
	if failures.get(2*failureHalfLife) >= suspectThreshold {
		t.Error("failures do not decay")
	}
}
