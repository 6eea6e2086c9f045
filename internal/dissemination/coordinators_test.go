package dissemination

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const step = 250 * time.Millisecond

// ring is a simulated fleet as one daemon's Coordinators sees it.
type ring struct {
	c          *Coordinators
	now        time.Duration
	candidates []Coordinator
	// silent VMs don't reply, and replyDelay is how long the others take.
	silent     map[string]bool
	replyDelay time.Duration
	pending    []Ask
	asked      map[string]int
}

func newRing(self string, n int) *ring {
	r := &ring{c: NewCoordinators(self), now: time.Minute, silent: make(map[string]bool), asked: make(map[string]int)}
	for i := range n {
		r.candidates = append(r.candidates, Coordinator{VM: fmt.Sprint("vm-", i), Incarnation: int64(i + 1)})
	}
	return r
}

// run lets the daemon step for a time.
func (r *ring) run(d time.Duration) {
	for end := r.now + d; r.now < end; r.now += step {
		r.deliver()
		for _, ask := range r.c.Next(r.now, r.candidates, r.candidates, func(n int) int { return n - 1 }) {
			r.asked[ask.To.VM]++
			r.pending = append(r.pending, ask)
		}
	}
}

func (r *ring) deliver() {
	r.pending = slices.DeleteFunc(r.pending, func(ask Ask) bool {
		if r.now < ask.SentAt+r.replyDelay {
			return false
		}
		if !r.silent[ask.To.VM] {
			r.c.RecordReply(r.now, ask.To.VM, ask.SentAt)
		}
		return true
	})
}

func (r *ring) of(group int) string {
	coordinator, _ := r.c.Of(group)
	return coordinator.VM
}

// Without faults each coordinator is asked twice a second, and no other daemon is: four
// datagrams a second are what the fleet can carry.
func TestCoordinatorsAreAskedEachHalfSecond(t *testing.T) {
	r := newRing("vm-9", 10)
	r.run(10 * time.Second)
	if r.asked["vm-0"] != 20 || r.asked["vm-1"] != 20 || len(r.asked) != 2 {
		t.Errorf("asked %v, want vm-0 and vm-1 20 times each", r.asked)
	}
	if r.of(0) != "vm-0" || r.of(1) != "vm-1" {
		t.Errorf("coordinators are %s and %s", r.of(0), r.of(1))
	}
}

// The next in rank must take the place of a coordinator that is silent, be asked at once, and
// give the place back only once the former one replies again: a coordinator that doesn't
// reply would be one for 1 s of each 6.
func TestSilentCoordinatorIsReplacedUntilItReplies(t *testing.T) {
	r := newRing("vm-9", 10)
	r.run(2 * time.Second)
	r.silent["vm-0"] = true
	r.run(replyTimeout + ExchangeInterval + step)
	if r.of(0) != "vm-1" || r.of(1) != "vm-2" || r.asked["vm-2"] == 0 {
		t.Errorf("coordinators are %s and %s, asked %v", r.of(0), r.of(1), r.asked)
	}
	for range 80 {
		r.run(step)
		if r.of(0) != "vm-1" {
			t.Fatalf("%s is a coordinator while it is silent", r.of(0))
		}
	}
	r.silent["vm-0"] = false
	r.run(skipTime + replyTimeout + step)
	if r.of(0) != "vm-0" || r.of(1) != "vm-1" {
		t.Errorf("coordinators are %s and %s after the first one replies again", r.of(0), r.of(1))
	}
}

// A group must not be without a coordinator because only one is left.
func TestOnlyCoordinatorLeftHasAllGroups(t *testing.T) {
	r := newRing("vm-9", 1)
	r.run(time.Second)
	if r.of(0) != "vm-0" || r.of(1) != "vm-0" {
		t.Errorf("coordinators are %q and %q", r.of(0), r.of(1))
	}
	if _, ok := r.c.Of(Groups); ok {
		t.Error("there is a coordinator of a group that doesn't exist")
	}
}

// A daemon that hears of no coordinator must ask others, or its proof ends although the key-value
// service serves them. They are not coordinators.
func TestOthersAreAskedIfNoCoordinatorReplies(t *testing.T) {
	r := newRing("vm-9", 10)
	for i := range 4 {
		r.silent[fmt.Sprint("vm-", i)] = true
	}
	r.run(replyTimeout + ExchangeInterval)
	r.candidates = append(r.candidates[:4], r.candidates[5:]...)
	freshnessOnly := 0
	for range 4 {
		r.now += step
		for _, ask := range r.c.Next(r.now, r.candidates[:4], r.candidates, func(int) int { return 0 }) {
			if ask.To.VM == "vm-9" {
				t.Error("the daemon asks itself")
			}
			if ask.FreshnessOnly {
				freshnessOnly++
			}
		}
	}
	if freshnessOnly != 2*randomAsks {
		t.Errorf("%d random asks in a second, want %d", freshnessOnly, 2*randomAsks)
	}
}

// A VM that was frozen finds the replies in its socket later: the coordinators were not silent.
func TestFreezeOfTheOwnVMSkipsNoCoordinator(t *testing.T) {
	r := newRing("vm-9", 10)
	r.replyDelay = 2 * step
	r.run(2 * time.Second)
	r.now += 8 * time.Second
	// The first step is made before the replies are read.
	r.pending = append(r.pending, r.c.Next(r.now, r.candidates, r.candidates, func(int) int { return 0 })...)
	for range 12 {
		if r.of(0) != "vm-0" || r.of(1) != "vm-1" || r.asked["vm-2"] != 0 {
			t.Fatalf("coordinators are %s and %s after a freeze", r.of(0), r.of(1))
		}
		r.now += step
		r.run(step)
	}
}

// A reply that echoes a request of a process before, of a boot before, or to another VM proves
// nothing: its time is not one of this process's clock.
func TestReplyCountsOnlyForARequestOfThisProcess(t *testing.T) {
	r := newRing("vm-9", 10)
	asks := r.c.Next(r.now, r.candidates, nil, nil)
	sentAt := asks[0].SentAt
	for _, test := range []struct {
		vm     string
		echoed time.Duration
		want   bool
	}{
		{"vm-0", sentAt, true},
		{"vm-0", sentAt, true}, // repeated datagram
		{"vm-0", 0, false},
		{"vm-0", sentAt + 1, false},
		{"vm-0", sentAt + time.Hour, false},
		{"vm-5", sentAt, false},
	} {
		if got := r.c.RecordReply(r.now, test.vm, test.echoed); got != test.want {
			t.Errorf("reply of %s to %v: %v, want %v", test.vm, test.echoed, got, test.want)
		}
	}
}

// A coordinator has no reply of itself, and must not be skipped or look for others for that.
func TestOwnVMMayBeACoordinator(t *testing.T) {
	r := newRing("vm-0", 3)
	r.silent["vm-0"] = true
	r.run(20 * time.Second)
	if r.of(0) != "vm-0" || r.asked["vm-0"] != 40 || r.asked["vm-2"] != 0 {
		t.Errorf("coordinator is %s, asked %v", r.of(0), r.asked)
	}
}
