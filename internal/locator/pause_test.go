package locator

import (
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/topology"
)

// A pause holds for one process of an upstream: neither for a later one with the
// same identifier, nor because of an answer of an earlier one. Whether the upstream
// leaves is apart from that.
func TestPauseHoldsForOneProcess(t *testing.T) {
	o := newOwner(t)
	const hour = int64(time.Hour / time.Millisecond)
	first := engine("e", func(u *topology.Upstream) { u.Incarnation = time.Now().UnixMilli() - hour })
	second := first
	second.Incarnation += 2 * hour
	leaving := second
	leaving.Leaving = true
	available := func() bool {
		_, ok := o.locator.Upstream("e", false)
		return ok && len(o.locator.Engines(Need{Service: "lm", Adapter: climb}, nil)) == 1
	}
	steps := []struct {
		name string
		do   func()
		want bool
	}{
		{"registered", func() { o.locator.SetUpstream(first) }, true},
		{"asks for a pause", func() { o.locator.RecordPause("e", first.Incarnation, time.Hour) }, false},
		{"registered again", func() { o.locator.SetUpstream(first) }, false},
		{"restarted", func() { o.locator.SetUpstream(second) }, true},
		{"late answer of the first process", func() { o.locator.RecordPause("e", first.Incarnation, time.Hour) }, true},
		{"pauses again", func() { o.locator.RecordPause("e", second.Incarnation, time.Hour) }, false},
		{"leaves in the pause", func() { o.locator.SetUpstream(leaving) }, false},
	}
	for _, step := range steps {
		step.do()
		if got := available(); got != step.want {
			t.Errorf("%s: available %t, want %t", step.name, got, step.want)
		}
	}
	if _, _, ok := o.locator.NextTurn(Need{Service: "lm", Adapter: climb}, false); ok {
		t.Error("the end of the pause of an upstream that leaves is offered to callers")
	}
}

// Callers are sent away until the end of a pause only if all upstreams pause.
func TestPauseEnd(t *testing.T) {
	o := newOwner(t)
	for _, id := range []string{"a", "b"} {
		o.locator.SetUpstream(engine(id, nil))
	}
	o.locator.SetUpstream(engine("cold", func(u *topology.Upstream) { u.Models[0].Adapters = nil }))
	o.locator.RecordPause("a", 1, 2*time.Second)
	if _, _, ok := o.locator.NextTurn(Need{Service: "lm", Adapter: climb}, true); ok {
		t.Error("one of two holders pauses: the end of its pause is awaited")
	}
	o.locator.RecordPause("b", 1, time.Second)
	if wait, _, ok := o.locator.NextTurn(Need{Service: "lm", Adapter: climb}, true); !ok || wait > time.Second {
		t.Errorf("both holders pause: got %v, %t, want the end of the shorter pause", wait, ok)
	}
	if _, _, ok := o.locator.NextTurn(Need{Service: "lm", Adapter: climb}, false); ok {
		t.Error("an engine without the adapter does not pause: the end of the holders' pauses is awaited")
	}
	o.locator.RecordPause("cold", 1, time.Minute)
	if _, returnAfter, ok := o.locator.NextTurn(Need{Service: "lm", Adapter: climb, Random: 1 << 63}, false); !ok || returnAfter > 3*time.Second {
		t.Errorf("all engines pause: callers come back after %v, %t", returnAfter, ok)
	}
}

// A pause holds when the registration of the upstream is lost and comes back, and when it
// is stated while there is none.
func TestPauseOutlivesTheUpstreamsRegistration(t *testing.T) {
	for name, play := range map[string]func(o *owner){
		"stated before the loss": func(o *owner) {
			o.locator.RecordPause("e", 1, time.Hour)
			o.locator.RemoveUpstream("e")
		},
		"stated by a request that was running at the loss": func(o *owner) {
			o.locator.RemoveUpstream("e")
			o.locator.RecordPause("e", 1, time.Hour)
		},
	} {
		t.Run(name, func(t *testing.T) {
			o := newOwner(t)
			o.locator.SetUpstream(engine("e", nil))
			play(o)
			o.locator.ForgetEndedPauses()
			o.locator.SetUpstream(engine("e", nil))
			if _, ok := o.locator.Upstream("e", false); ok {
				t.Error("the upstream gets requests in its pause")
			}
		})
	}
}

// A process may ask for a pause before its registration is known: then the answer seems to
// be an earlier process's, but its start shows that it was the later one's.
func TestPauseOfProcessWhoseRegistrationComesLater(t *testing.T) {
	now := time.Now().UnixMilli()
	for _, test := range []struct {
		name     string
		started  time.Duration
		wantTook bool
	}{
		{"started before the statement", -500 * time.Millisecond, false},
		{"started after the statement", 10 * time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			o := newOwner(t)
			earlier := engine("e", func(u *topology.Upstream) { u.Incarnation = now - time.Hour.Milliseconds() })
			later := earlier
			later.Incarnation = now + test.started.Milliseconds()
			o.locator.SetUpstream(earlier)
			o.locator.RecordPause("e", earlier.Incarnation, time.Hour)
			o.locator.SetUpstream(later)
			if _, took := o.locator.Upstream("e", false); took != test.wantTook {
				t.Errorf("takes requests: %t, want %t", took, test.wantTook)
			}
		})
	}
}
