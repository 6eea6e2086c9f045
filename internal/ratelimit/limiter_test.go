package ratelimit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	window    = 4 * time.Second
	tolerance = 1.5
	slack     = 5
)

// mostInWindow returns the highest number of times within a window.
func mostInWindow(times []time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Requests of many entries at an upstream with a rate limit, while the limit
// changes: the upstream gets no more than the tolerance, and nearly all that it
// takes.
func TestLimiterKeepsAndUsesTheRate(t *testing.T) {
	for _, rate := range []float64{0.2, 1, 1.9, 7, 40, 900} {
		random := rand.New(rand.NewPCG(1, uint64(rate*10)))
		var l Limiter
		l.Apply(0, Knowledge{Rate: rate, Limited: true, ReceivedAt: 1})
		var sent []time.Duration
		const length = 60 * time.Second
		for now := time.Duration(0); now < length; now += time.Duration(random.Int64N(int64(3 * time.Millisecond))) {
			for l.Available(now) > 0 {
				l.Take(now, 1)
				sent = append(sent, now)
			}
		}
		if most, allowed := mostInWindow(sent), rate*window.Seconds()*tolerance+slack; float64(most) > allowed {
			t.Errorf("rate %g: %d requests in %v, allowed %.0f", rate, most, window, allowed)
		}
		if used := float64(len(sent)) / (rate * length.Seconds()); used < 0.9 {
			t.Errorf("rate %g: only %.2f of it was used", rate, used)
		}
	}
}

// A limit that is learned, or raised by an answer that is certainly newer, gives no
// burst beyond burstTime; without a limit all requests are admitted.
func TestLimiterFollowsTheAnswers(t *testing.T) {
	var l Limiter
	if l.Available(time.Hour) != math.MaxInt || l.TurnIn(time.Hour, 9) != 0 {
		t.Error("an upstream without a limit has no room")
	}
	at := time.Hour
	l.Apply(at, Knowledge{Rate: 2, Limited: true, SentAt: at - 1, ReceivedAt: at})
	if n, turn := l.Available(at), l.TurnIn(at, 0); n != 0 || turn != 500*time.Millisecond {
		t.Errorf("just after a limit of 2 was learned: %d available, the next in %v", n, turn)
	}
	if turn := l.TurnIn(at, 3); turn != 2*time.Second {
		t.Errorf("the fourth request has its turn in %v, want 2s", turn)
	}
	at += time.Minute
	l.Apply(at, Knowledge{Rate: 20, Limited: true, SentAt: at - 1, ReceivedAt: at})
	if n := l.Available(at); n != 1 {
		t.Errorf("%d available after a raise, want those of the lower limit", n)
	}
	l.Apply(at, Knowledge{Limited: false, SentAt: at + 1, ReceivedAt: at + 2})
	if l.Limited() {
		t.Error("the limit still holds after an answer without one")
	}
	l.Apply(at, Knowledge{Rate: 0, Limited: true, SentAt: at + 3, ReceivedAt: at + 4})
	if turn := l.TurnIn(at, 0); turn != 10*time.Second {
		t.Errorf("an upstream that takes nothing gets the next request in %v, want 10s", turn)
	}
}

// The callers of refused requests come back spread over the time that the rate
// takes for one, not before there is room.
func TestReturnIsSpread(t *testing.T) {
	k := Knowledge{Rate: 2, Limited: true}
	if first, last := k.ReturnAfter(time.Second, 0), k.ReturnAfter(time.Second, math.MaxUint64); first != time.Second || last != 1500*time.Millisecond {
		t.Errorf("callers come back from %v to %v", first, last)
	}
}

// A repeated request for a turn gets the same one, and none is granted for later
// than the request can wait.
func TestGranterGrantsTurnsOnce(t *testing.T) {
	g := NewGranter()
	process := Process{ID: "api-0", Incarnation: 7}
	request := func(ticket uint64) Request {
		return Request{Process: process, Entry: "vm", Ticket: ticket, MaxWait: MaxWait, Known: Knowledge{Rate: 10, Limited: true, ReceivedAt: 1}}
	}
	const now = time.Second
	want := []Grant{{true, 100 * time.Millisecond}, {true, 200 * time.Millisecond}, {false, 300 * time.Millisecond}}
	for round := range 3 {
		for i, w := range want {
			if got := g.Grant(now, request(uint64(i))); got != w {
				t.Errorf("round %d, request %d: %+v, want %+v", round, i, got, w)
			}
		}
	}
	later := request(3)
	later.Process.Incarnation = 8
	later.Known = Knowledge{}
	if got := g.Grant(now, later); !got.Granted {
		t.Error("the limit of an earlier process holds for a later one")
	}
}

// While the members' views differ, two daemons grant turns for a moment: the upstream
// still gets no more than the tolerance.
func TestSuccessiveGrantersStayWithinTheTolerance(t *testing.T) {
	for _, rate := range []float64{1, 1.9, 10} {
		known := Knowledge{Rate: rate, Limited: true, ReceivedAt: 1}
		granters := []*Granter{NewGranter(), NewGranter()}
		var sent []time.Duration
		ticket := uint64(0)
		const handover, overlap = 10 * time.Second, time.Second
		for now := time.Second; now < 20*time.Second; now += 5 * time.Millisecond {
			for i, g := range granters {
				if i == 0 && now > handover+overlap || i == 1 && now < handover {
					continue
				}
				ticket++
				if g.Grant(now, Request{Process: Process{ID: "api-0"}, Entry: "vm", Ticket: ticket, Known: known}).Granted {
					sent = append(sent, now)
				}
			}
		}
		if most, allowed := mostInWindow(sent), rate*window.Seconds()*tolerance+slack; float64(most) > allowed {
			t.Errorf("rate %g: %d requests in %v, allowed %.0f", rate, most, window, allowed)
		}
	}
}
