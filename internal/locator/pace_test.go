package locator

import (
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/topology"
)

const ms = time.Millisecond

// Guards against a pace that mixes work and waiting, or that no longer follows a replica that
// has become slow or fast.
func TestPaceTellsWorkFromWaiting(t *testing.T) {
	tests := []struct {
		name string
		// took returns the time of the n-th response; one comes each 50 ms, 200 in all.
		took       func(n int) time.Duration
		least      time.Duration
		most       time.Duration
		waitAtMost time.Duration
	}{
		{"steady", func(int) time.Duration { return 60 * ms }, 55 * ms, 65 * ms, 5 * ms},
		{"every second one waits", func(n int) time.Duration { return 60*ms + time.Duration(n%2)*200*ms }, 55 * ms, 75 * ms, 150 * ms},
		{"a burst of waits at the end", func(n int) time.Duration {
			if n > 180 {
				return 400 * ms
			}
			return 60 * ms
		}, 55 * ms, 150 * ms, 350 * ms},
		{"one that has become slow", func(n int) time.Duration {
			if n > 20 {
				return 300 * ms
			}
			return 60 * ms
		}, 200 * ms, 300 * ms, 100 * ms},
		{"one that has become fast", func(n int) time.Duration {
			if n < 190 {
				return 300 * ms
			}
			return 60 * ms
		}, 55 * ms, 90 * ms, 5 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var p pace
			now := time.Hour
			for n := range 200 {
				now += 50 * ms
				p.record(now, test.took(n))
			}
			if p.work < test.least || p.work > test.most || p.waitAt(now) > test.waitAtMost {
				t.Errorf("work %v and wait %v, want %v to %v and at most %v", p.work, p.waitAt(now), test.least, test.most, test.waitAtMost)
			}
		})
	}
}

// Guards against a stalling replica that goes on to get requests for longer than a second
// because nothing comes back, and against one that is avoided long after its stall.
func TestStallingReplicaIsAvoidedAndUsedAgain(t *testing.T) {
	const waitOfAvoided = 300 * ms
	now := time.Hour
	v := newView(topology.Upstream{ID: "a", Incarnation: 1}, &statedPause{})
	for range 50 {
		now += 100 * ms
		v.pace.record(now, 60*ms)
	}
	if wait := v.expectedWait(now); wait > ms {
		t.Errorf("a wait of %v before the stall", wait)
	}
	v.running, v.progressAt = 1, now
	if wait := v.expectedWait(now + 60*ms); wait > ms {
		t.Errorf("a wait of %v while a request works", wait)
	}
	if wait := v.expectedWait(now + time.Second); wait < waitOfAvoided {
		t.Errorf("a wait of %v after a second without an answer", wait)
	}
	now += 2 * time.Second
	v.running = 0
	v.pace.record(now, 2*time.Second)
	if wait := v.expectedWait(now); wait < waitOfAvoided {
		t.Errorf("a wait of %v right after the stall", wait)
	}
	if wait := v.expectedWait(now + 10*time.Second); wait > 10*ms {
		t.Errorf("a wait of %v ten seconds after the stall", wait)
	}
}

// Guards against a replica that was slow once and is never tried again at light load.
func TestSlowReplicaIsTriedAgain(t *testing.T) {
	slow, usual := pace{work: 150 * ms, recordedAt: time.Hour}, pace{}
	now := time.Hour
	for ; slow.workAt(now) > usual.workAt(now) || usual.work == 0; now += time.Second {
		usual.record(now, 50*ms)
		if now > time.Hour+2*time.Minute {
			t.Fatalf("work %v after two minutes, %v at the other replica", slow.workAt(now), usual.workAt(now))
		}
	}
	if now < time.Hour+20*time.Second {
		t.Errorf("tried again after %v", now-time.Hour)
	}
}
