package replicaload

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// step is one event: a report reaches the coordinator.
type step struct {
	at          time.Duration
	vm          string
	incarnation int64
	sentAt      int64
	uses        []Use
}

func running(upstream string, incarnation int64, n int) []Use {
	return []Use{{Upstream: upstream, Incarnation: incarnation, Running: n}}
}

// Guards against sums that count what has ended, count requests twice, or go back to what
// was before.
func TestSums(t *testing.T) {
	const begin = time.Hour
	observer := step{0, "observer", 1, 1, nil}
	tests := []struct {
		name  string
		steps []step // besides the reports of the observer, who asks for the sums at askAt
		askAt time.Duration
		want  []Use
	}{
		{"VMs are added up", []step{{0, "a", 1, 1, running("r", 1, 2)}, {0, "b", 1, 1, running("r", 1, 3)}}, time.Second, running("r", 1, 5)},
		{"a newer report replaces", []step{{0, "a", 1, 1, running("r", 1, 2)}, {500 * ms, "a", 1, 2, running("s", 1, 1)}}, time.Second, running("s", 1, 1)},
		{"an empty report ends all", []step{{0, "a", 1, 1, running("r", 1, 2)}, {500 * ms, "a", 1, 2, nil}}, time.Second, nil},
		{"a repeated report counts once", []step{{0, "a", 1, 1, running("r", 1, 2)}, {10 * ms, "a", 1, 1, running("r", 1, 2)}}, time.Second, running("r", 1, 2)},
		{"reports out of order", []step{{0, "a", 1, 2, running("r", 1, 2)}, {10 * ms, "a", 1, 1, running("r", 1, 9)}}, time.Second, running("r", 1, 2)},
		{"a VM that dies is dropped after 2 s", []step{{0, "a", 1, 1, running("r", 1, 2)}, {0, "b", 1, 1, running("r", 1, 1)}, {time.Second, "b", 1, 2, running("r", 1, 1)}}, 2001 * ms, running("r", 1, 1)},
		{"repetitions don't keep a dead VM", []step{{0, "a", 1, 1, running("r", 1, 2)}, {1900 * ms, "a", 1, 1, running("r", 1, 2)}}, 2001 * ms, nil},
		{"a daemon that restarts", []step{{0, "a", 7, 5, running("r", 1, 2)}, {500 * ms, "a", 3, 6, running("r", 1, 1)}}, time.Second, running("r", 1, 1)},
		{"a VM that reboots, with a clock that begins anew", []step{{0, "a", 7, 5000, running("r", 1, 2)}, {500 * ms, "a", 3, 1, running("r", 1, 1)}}, time.Second, running("r", 1, 1)},
		{"a late report of the process before", []step{{0, "a", 7, 5, running("r", 1, 2)}, {500 * ms, "a", 3, 7, running("r", 1, 1)}, {600 * ms, "a", 7, 6, running("r", 1, 9)}}, time.Second, running("r", 1, 1)},
		{"a replica that restarts", []step{{0, "a", 1, 1, running("r", 1, 6)}, {0, "b", 1, 1, running("r", 2, 1)}, {0, "c", 1, 1, running("r", 1, 6)}}, time.Second, running("r", 2, 1)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewSums()
			steps := append([]step{observer, {900 * ms, "observer", 1, 2, nil}}, test.steps...)
			slices.SortStableFunc(steps, func(a, b step) int { return int(a.at - b.at) })
			for _, e := range steps {
				if err := s.Record(begin+e.at, e.vm, e.incarnation, Report{SentAt: e.sentAt, Uses: e.uses}); err != nil {
					t.Fatal(err)
				}
			}
			loads, ok := s.Loads(begin+test.askAt, "observer", 1)
			if !ok || !slices.Equal(loads.Sums, test.want) || loads.EchoedSentAt != 2 {
				t.Errorf("got %v, %v, want %v", loads, ok, test.want)
			}
		})
	}
}

// Guards against sums of the first few reports of a new coordinator, in which replicas look
// idle, and against replies to a process that has reported nothing.
func TestSumsAreNotStatedBeforeAllHaveReported(t *testing.T) {
	s := NewSums()
	record := func(now time.Duration, sentAt int64) {
		if err := s.Record(now, "a", 1, Report{SentAt: sentAt}); err != nil {
			t.Fatal(err)
		}
	}
	states := func(now time.Duration, incarnation int64) bool {
		_, ok := s.Loads(now, "a", incarnation)
		return ok
	}
	record(time.Hour, 1)
	if states(time.Hour+999*ms, 1) || !states(time.Hour+time.Second, 1) || states(time.Hour+time.Second, 2) {
		t.Error("sums stated too early, not at all, or to another process")
	}
	record(time.Hour+5*time.Second, 2)
	if states(time.Hour+5*time.Second, 1) {
		t.Error("sums stated at once after a time without reports")
	}
}

// Guards against own requests that count twice, and against sums that are old, of an earlier
// process, or overtaken by those of the other coordinator.
func TestKnown(t *testing.T) {
	const begin = time.Hour
	var k Known
	others := func(at time.Duration, incarnation int64, want int) {
		t.Helper()
		if got := k.Others(begin+at, "r", incarnation); got != want {
			t.Errorf("after %v: %d others, want %d", at, got, want)
		}
	}
	record := func(echoed time.Duration, n int) {
		if err := k.Record(Loads{EchoedSentAt: int64(begin + echoed), Sums: running("r", 1, n)}); err != nil {
			t.Fatal(err)
		}
	}
	k.Report(begin, running("r", 1, 2))
	k.Report(begin+ms, running("r", 1, 3)) // to the second coordinator
	others(ms, 1, 0)
	record(0, 5)
	others(10*ms, 1, 3)
	record(ms, 7) // the second coordinator's are newer
	others(10*ms, 1, 4)
	record(0, 9) // repeated, or late
	others(10*ms, 1, 4)
	record(5*ms, 9) // the reply to a report of an earlier process
	others(10*ms, 1, 4)
	others(10*ms, 2, 0) // another process of the replica
	others(2001*ms, 1, 4)
	others(2002*ms, 1, 0)
	if age, ok := k.Age(begin + 2001*ms); age != 2*time.Second || !ok {
		t.Errorf("age %v, %v, want 2s", age, ok)
	}
	if _, ok := k.Age(begin + 2002*ms); ok {
		t.Error("sums older than 2s are in use")
	}
	k.Report(begin+3*time.Second, nil)
	record(ms, 9) // older than MaxAge
	others(3*time.Second, 1, 0)
	record(3*time.Second, 0)
	others(3*time.Second, 1, 0)
}

// Guards against malformed entries that reach the sums, and against entries that don't fit into
// a datagram.
func TestLimits(t *testing.T) {
	var many []Use
	for i := range 40 {
		many = append(many, Use{Upstream: fmt.Sprint(i), Running: i})
	}
	var k Known
	if uses := k.Report(1, slices.Clone(many)).Uses; len(uses) != maxListed || uses[0].Running != 39 {
		t.Errorf("%d uses in a report, the first %v", len(uses), uses[0])
	}
	for i := range many {
		many[i].Upstream += strings.Repeat("x", 200)
	}
	if uses := k.Report(2, slices.Clone(many)).Uses; len(uses) != 4 {
		t.Errorf("%d uses of long identifiers in a report, want 4 within 1000 bytes", len(uses))
	}
	s := NewSums()
	for _, malformed := range [][]Use{many, running("", 1, 1), running("r", 1, -1), running("r", 1, maxRunning+1)} {
		if s.Record(1, "a", 1, Report{SentAt: 1, Uses: malformed}) == nil || k.Record(Loads{EchoedSentAt: 1, Sums: malformed}) == nil {
			t.Errorf("%v is accepted", malformed)
		}
	}
	if s.Record(1, "a", 1, Report{SentAt: -1}) == nil {
		t.Error("a negative time is accepted")
	}
}
