package admission

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
)

// The engine of the model: figures of the deployments' pages.
const (
	stepBase       = 9 * time.Millisecond
	readPerMS      = 19.1 // prompt tokens
	chunkTokens    = 4096
	tokensPerEvent = 3
	slots          = 64
	pauseObjective = 300 * time.Millisecond
	firstObjective = time.Second
)

// stream is a request at the model engine.
type stream struct {
	key     Key
	arrived time.Duration
	unread  int
	tokens  int
	made    int
	last    time.Duration
	first   time.Duration
	pause   time.Duration
	began   bool
}

// arrival is a request of the played load.
type arrival struct {
	at     time.Duration
	prompt int
	output int
	rank   int
}

// clumps returns requests that come in clumps of one to six at a mean rate.
func clumps(random *rand.Rand, perSecond float64, length time.Duration) []arrival {
	var list []arrival
	for at := time.Duration(0); at < length; {
		n := 1 + random.IntN(6)
		for range n {
			list = append(list, arrival{
				at:     at + time.Duration(random.IntN(20))*time.Millisecond,
				prompt: min(300+int(random.ExpFloat64()*900), 4000),
				output: 30 + int(random.ExpFloat64()*100),
				rank:   random.IntN(3),
			})
		}
		at += time.Duration(random.ExpFloat64() * float64(n) / perSecond * float64(time.Second))
	}
	slices.SortFunc(list, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return list
}

// outcome counts what callers got.
type outcome struct {
	all, timely, lateFirst, latePause int
}

// play runs the load through one engine, with or without the gate.
func play(load []arrival, gated bool) outcome {
	gate := NewGate()
	var running []*stream
	var ended []*stream
	ready := func(topology.Adapter, int64) residency.Status { return residency.Ready }
	pending := make(map[Key]*stream)
	now := time.Duration(0)
	for next := 0; next < len(load) || len(running) > 0 || len(pending) > 0; {
		for next < len(load) && load[next].at <= now {
			a := load[next]
			s := &stream{key: Key{Ticket: uint64(next + 1)}, arrived: a.at, unread: a.prompt, tokens: a.output}
			next++
			if !gated {
				running = append(running, s)
				continue
			}
			pending[s.key] = s
			gate.Enqueue(now, Request{Key: s.key, PromptTokens: a.prompt, Priority: a.rank, PauseObjective: pauseObjective, FirstEventDue: a.at + firstObjective, Deadline: a.at + time.Hour})
		}
		for key, s := range pending {
			gate.Enqueue(now, Request{Key: key, PromptTokens: s.unread, PauseObjective: pauseObjective, FirstEventDue: s.arrived + firstObjective, Deadline: s.arrived + time.Hour})
		}
		for _, d := range gate.Next(now, slots-len(running), ready) {
			running = append(running, pending[d.Key])
			delete(pending, d.Key)
		}
		now += step(now, running, gate)
		running = slices.DeleteFunc(running, func(s *stream) bool {
			if s.made < s.tokens {
				return false
			}
			ended = append(ended, s)
			return true
		})
	}
	return judge(ended)
}

// step runs one step of the engine and returns its duration.
func step(now time.Duration, running []*stream, gate *Gate) time.Duration {
	chunk := chunkTokens
	read := 0
	for _, s := range running {
		part := min(s.unread, chunk)
		s.unread -= part
		chunk -= part
		read += part
	}
	took := stepBase + time.Duration(float64(read)/readPerMS*float64(time.Millisecond))
	end := now + took
	for _, s := range running {
		if s.unread > 0 {
			continue
		}
		s.made++
		if s.made%tokensPerEvent != 0 && s.made < s.tokens {
			continue
		}
		if !s.began {
			s.began = true
			s.first = end - s.arrived
			gate.Release(end, s.key)
		} else {
			s.pause = max(s.pause, end-s.last)
		}
		s.last = end
	}
	return took
}

func judge(ended []*stream) outcome {
	o := outcome{all: len(ended)}
	for _, s := range ended {
		switch {
		case s.first > firstObjective:
			o.lateFirst++
		case s.pause > pauseObjective:
			o.latePause++
		default:
			o.timely++
		}
	}
	return o
}

// The loads are those of the deployments: prompt tokens that one of nine
// engines read in a second of a calm day and of one of the heaviest.
func TestTurnsKeepPausesShort(t *testing.T) {
	const meanPrompt = 1180 // tokens, by clumps
	tests := []struct {
		name      string
		tokens    float64
		timelyPer int // of 100 streams, the target of the calm day; 0 for none
	}{
		{"calm day", 4700, 95},
		{"heaviest day", 10200, 0},
	}
	for _, test := range tests {
		for seed := range uint64(5) {
			load := clumps(rand.New(rand.NewPCG(seed, 7)), test.tokens/meanPrompt, time.Minute)
			without, with := play(load, false), play(load, true)
			t.Logf("%s, seed %d: without turns %+v, with turns %+v", test.name, seed, without, with)
			if with.timely <= without.timely {
				t.Errorf("%s, seed %d: %d timely streams with turns, %d without", test.name, seed, with.timely, without.timely)
			}
			if 100*with.timely < test.timelyPer*with.all {
				t.Errorf("%s, seed %d: %d of %d streams in time, want %d in 100", test.name, seed, with.timely, with.all, test.timelyPer)
			}
			if with.all != len(load) {
				t.Errorf("%s, seed %d: %d of %d streams ended", test.name, seed, with.all, len(load))
			}
		}
	}
}

func gateWith(requests ...Request) *Gate {
	g := NewGate()
	for i, r := range requests {
		r.Ticket = uint64(i + 1)
		r.Deadline = time.Hour
		g.Enqueue(0, r)
	}
	return g
}

func tickets(decisions []Decision, status residency.Status) []uint64 {
	var list []uint64
	for _, d := range decisions {
		if d.Status == status {
			list = append(list, d.Ticket)
		}
	}
	slices.Sort(list)
	return list
}

func TestNextTurns(t *testing.T) {
	ready := func(a topology.Adapter, _ int64) residency.Status {
		switch a.Name {
		case "cold":
			return residency.Waiting
		case "gone":
			return residency.Declined
		default:
			return residency.Ready
		}
	}
	soon, later := time.Second, 2*time.Second
	tests := []struct {
		name     string
		requests []Request
		begin    []uint64
		declined []uint64
	}{
		{"small prompts begin together", []Request{{PromptTokens: 1000, FirstEventDue: soon}, {PromptTokens: 1000, FirstEventDue: soon}}, []uint64{1, 2}, nil},
		{"prompts beyond the pause wait", []Request{{PromptTokens: 2500, FirstEventDue: soon}, {PromptTokens: 2500, FirstEventDue: later}}, []uint64{1}, nil},
		{"a prompt beyond the pause begins alone", []Request{{PromptTokens: 9000, FirstEventDue: soon}}, []uint64{1}, nil},
		{"the one due first begins", []Request{{PromptTokens: 2500, FirstEventDue: later}, {PromptTokens: 2500, FirstEventDue: soon}}, []uint64{2}, nil},
		{"the more urgent one begins", []Request{{PromptTokens: 2500, Priority: 2, FirstEventDue: soon}, {PromptTokens: 2500, FirstEventDue: soon + 100*time.Millisecond}}, []uint64{2}, nil},
		{"one that is late already lets others go first", []Request{{PromptTokens: 2500, FirstEventDue: -soon}, {PromptTokens: 2500, FirstEventDue: soon}}, []uint64{2}, nil},
		{"a cold adapter waits, another begins", []Request{{Adapter: topology.Adapter{Name: "cold"}, FirstEventDue: soon}, {PromptTokens: 10, FirstEventDue: later}}, []uint64{2}, nil},
		{"an adapter that can't come is declined", []Request{{Adapter: topology.Adapter{Name: "gone"}, FirstEventDue: soon}}, nil, []uint64{1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			decisions := gateWith(test.requests...).Next(breath, slots, ready)
			if got := tickets(decisions, residency.Ready); !slices.Equal(got, test.begin) {
				t.Errorf("began %v, want %v", got, test.begin)
			}
			if got := tickets(decisions, residency.Declined); !slices.Equal(got, test.declined) {
				t.Errorf("declined %v, want %v", got, test.declined)
			}
		})
	}
}

func TestTurnsEnd(t *testing.T) {
	ready := func(topology.Adapter, int64) residency.Status { return residency.Ready }
	g := gateWith(Request{PromptTokens: 3000, FirstEventDue: time.Second}, Request{PromptTokens: 3000, FirstEventDue: 2 * time.Second})
	if got := tickets(g.Next(breath, slots, ready), residency.Ready); !slices.Equal(got, []uint64{1}) {
		t.Fatalf("began %v", got)
	}
	if got := g.Next(2*breath, slots, ready); len(got) != 0 {
		t.Fatalf("another turn before the first one's end: %v", got)
	}
	g.Release(3*breath, Key{Ticket: 1})
	if got := g.Next(3*breath, slots, ready); len(got) != 0 {
		t.Errorf("the next turn began without a pause: %v", got)
	}
	if got := tickets(g.Next(4*breath, slots, ready), residency.Ready); !slices.Equal(got, []uint64{2}) {
		t.Errorf("after the pause began %v", got)
	}
}

// Requests beyond the engine's slots wait here, where the most urgent is next,
// and not at the engine, where they would preempt each other.
func TestTurnsStayWithinTheSlots(t *testing.T) {
	ready := func(topology.Adapter, int64) residency.Status { return residency.Ready }
	g := gateWith(Request{PromptTokens: 10, FirstEventDue: time.Second}, Request{PromptTokens: 10, FirstEventDue: time.Second}, Request{PromptTokens: 10, FirstEventDue: time.Second})
	if got := g.Next(breath, 2, ready); len(got) != 2 {
		t.Errorf("%d requests began with two free slots", len(got))
	}
	if got := gateWith(Request{PromptTokens: 10}).Next(breath, 0, ready); len(got) != 0 {
		t.Errorf("%d requests began without a free slot", len(got))
	}
}

// A daemon that dies with a turn must not stop the engine for good.
func TestLostTurnEndsByItself(t *testing.T) {
	ready := func(topology.Adapter, int64) residency.Status { return residency.Ready }
	g := gateWith(Request{PromptTokens: 3000, FirstEventDue: time.Second})
	g.Next(breath, slots, ready)
	late := breath + g.NextCheckDelay(breath) + time.Millisecond
	g.Enqueue(late, Request{Key: Key{Ticket: 9}, PromptTokens: 3000, FirstEventDue: late + time.Second, Deadline: time.Hour})
	g.Next(late, slots, ready)
	if got := tickets(g.Next(late+breath, slots, ready), residency.Ready); !slices.Equal(got, []uint64{9}) {
		t.Errorf("after a lost turn began %v, want the waiting request", got)
	}
}

// Requests that are late already get their share of turns.
func TestLateRequestsAreNotStarved(t *testing.T) {
	ready := func(topology.Adapter, int64) residency.Status { return residency.Ready }
	g := NewGate()
	now := time.Duration(0)
	old := Key{Ticket: 1 << 40}
	for n := range uint64(3 * lateShare) {
		now += time.Second
		g.Enqueue(now, Request{Key: old, PromptTokens: 3000, FirstEventDue: 0, Deadline: time.Hour})
		g.Enqueue(now, Request{Key: Key{Ticket: n + 1}, PromptTokens: 3000, FirstEventDue: now + time.Second, Deadline: time.Hour})
		for _, d := range g.Next(now, slots, ready) {
			if d.Key == old {
				return
			}
			g.Release(now, d.Key)
		}
	}
	t.Error("a late request never had its turn")
}
