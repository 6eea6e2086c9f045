package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/topology"
)

const (
	crashing topology.PromptPart = 0xbad
	first    topology.PromptPart = 0xf1
)

func anyTry(Key, int) bool { return true }
func noTry(Key, int) bool  { return false }

// events plays crashes and answers on a table.
type events struct {
	table  *Table
	now    time.Duration
	engine int
	// crashedAt is when an engine last ended, and unsettled is set if the table is to be
	// reviewed after that.
	crashedAt time.Duration
	unsettled bool
}

func newEvents() *events {
	return &events{table: NewTable(), now: time.Hour}
}

// crash ends an engine that has begun to answer requests with the prompts.
func (e *events) crash(prompts ...[]topology.PromptPart) {
	e.engine++
	e.crashOf(Process{ID: fmt.Sprint("lm-", e.engine), Incarnation: 1}, true, prompts...)
}

func (e *events) crashOf(process Process, begun bool, prompts ...[]topology.PromptPart) {
	for _, prompt := range prompts {
		e.recordCrash(process, Failure{Request: Request{Prompt: prompt}, Begun: begun, SentAt: e.now - time.Minute, At: e.now})
	}
}

// crashUnder ends an engine that has begun to answer requests.
func (e *events) crashUnder(requests []Request) {
	e.engine++
	for _, request := range requests {
		e.recordCrash(Process{ID: fmt.Sprint("lm-", e.engine), Incarnation: 1}, Failure{Request: request, Begun: true, SentAt: e.now - 50*time.Millisecond, At: e.now})
	}
}

func (e *events) recordCrash(process Process, failure Failure) {
	e.crashedAt = e.now
	changes := e.table.RecordCrash(e.now, Crash{Process: process, At: failure.At, SentAt: failure.SentAt, Suspects: []Suspect{failure.Suspect()}})
	e.unsettled = e.unsettled || changes.Unsettled
}

func (e *events) answer(parts ...topology.PromptPart) []Key {
	return e.table.RecordAnswer(e.now, e.now, sharing(parts...).Keys()).Unblocked
}

func (e *events) pass(d time.Duration) {
	e.now += d
}

// prompt returns parts as a prompt.
func prompt(parts ...topology.PromptPart) []topology.PromptPart {
	return parts
}

// sharing returns a request that shares parts with others.
func sharing(parts ...topology.PromptPart) Request {
	const own = 0xffff_ffff
	return Request{Prompt: append(slices.Clone(parts), own)}
}

func (e *events) isBlocked(part topology.PromptPart) bool {
	return e.table.Judge(e.now, sharing(part), noTry).Blocked
}

func TestPartIsBlockedByWhatCrashesHaveInCommon(t *testing.T) {
	tests := []struct {
		name string
		play func(e *events)
		want []topology.PromptPart
	}{
		{"three crashes of two sessions", func(e *events) {
			for n := range 3 {
				e.crash(prompt(first, topology.PromptPart(0xa0+n), crashing, topology.PromptPart(100+n/2)))
				e.pass(300 * time.Millisecond)
				e.answer(first)
			}
		}, []topology.PromptPart{crashing}},
		{"two crashes", func(e *events) {
			for n := range 2 {
				e.crash(prompt(crashing, topology.PromptPart(100+n)))
				e.pass(time.Second)
			}
		}, nil},
		{"one request sent to three engines", func(e *events) {
			for range 3 {
				e.crash(prompt(0xa0, crashing, 100))
				e.pass(time.Second)
			}
		}, nil},
		{"one session ends engine after engine", func(e *events) {
			for range 4 {
				e.crash(prompt(crashing, 100))
				e.pass(time.Second)
			}
		}, []topology.PromptPart{crashing}},
		{"a rack ends under requests that share a part", func(e *events) {
			for n := range 8 {
				e.crash(prompt(0xa0, topology.PromptPart(100+n)))
				e.pass(5 * time.Millisecond)
			}
		}, nil},
		{"a fifth of the engines ends again and again under a common part", func(e *events) {
			for wave := range 6 {
				e.answer(first)
				e.pass(300 * time.Millisecond)
				for n := range 3 {
					e.crash(prompt(first, topology.PromptPart(100+10*wave+n)))
				}
				e.pass(2 * time.Second)
			}
		}, nil},
		{"answered after the crashes", func(e *events) {
			for n := range 5 {
				e.crash(prompt(0xa0, topology.PromptPart(100+n)))
				e.pass(500 * time.Millisecond)
				e.answer(0xa0)
			}
		}, nil},
		{"beside a crashing part in all three", func(e *events) {
			for n := range 3 {
				e.crash(prompt(0xa0, crashing, topology.PromptPart(100+n)))
				e.pass(time.Second)
				if n == 1 {
					e.answer(0xa0)
				}
			}
		}, []topology.PromptPart{crashing}},
		{"the crashes of a blocked part count against no other", func(e *events) {
			for n := range 9 {
				e.crash(prompt(crashing, topology.PromptPart(100+n)), prompt(0xa0, topology.PromptPart(200+n)))
				e.pass(time.Second)
				if n < 3 {
					e.answer(0xa0)
				}
			}
		}, []topology.PromptPart{crashing}},
		{"beside a part that engines have answered before", func(e *events) {
			e.answer(0xa0)
			e.pass(time.Minute)
			for n := range 3 {
				e.crash(prompt(0xa0, crashing, topology.PromptPart(100+n)))
				e.pass(200 * time.Millisecond)
			}
		}, []topology.PromptPart{crashing}},
		{"beside a part that engines have answered before and that was at more crashes", func(e *events) {
			e.answer(0xa0)
			e.pass(time.Minute)
			e.crash(prompt(0xa0, 99))
			for n := range 3 {
				e.pass(200 * time.Millisecond)
				e.crash(prompt(0xa0, crashing, topology.PromptPart(100+n)))
			}
		}, []topology.PromptPart{crashing}},
		{"a part that engines have answered before, and no other", func(e *events) {
			e.answer(crashing)
			e.pass(time.Minute)
			for n := range 4 {
				e.crash(prompt(0xa0+topology.PromptPart(n), crashing, topology.PromptPart(100+n)))
				e.pass(200 * time.Millisecond)
			}
		}, []topology.PromptPart{crashing}},
		{"beside a part of which another daemon tells an answer before the crashes", func(e *events) {
			answeredAt := e.now
			e.pass(time.Minute)
			for n := range 3 {
				e.crash(prompt(0xa0, crashing, topology.PromptPart(100+n)))
				e.pass(200 * time.Millisecond)
			}
			e.table.RecordAnswer(e.now, answeredAt, []Key{PartKey(0xa0)})
			if e.table.Block(e.now, e.now, PartKey(0xa0)) {
				panic("blocked again by a daemon that doesn't know of the answer")
			}
		}, []topology.PromptPart{crashing}},
		{"only waiting, beside others that had begun", func(e *events) {
			for n := range 3 {
				process := Process{ID: fmt.Sprint("w-", n), Incarnation: 1}
				e.crashOf(process, true, prompt(topology.PromptPart(0xa0+n), topology.PromptPart(200+n)))
				e.crashOf(process, false, prompt(crashing, topology.PromptPart(100+n)))
				e.pass(time.Second)
			}
		}, []topology.PromptPart{crashing}},
		{"beside one that waits at all three, and that engines have answered before", func(e *events) {
			e.answer(0xa0)
			e.pass(time.Minute)
			for n := range 3 {
				process := Process{ID: fmt.Sprint("w-", n), Incarnation: 1}
				e.crashOf(process, false, prompt(0xa0, topology.PromptPart(200+n)))
				e.crashOf(process, true, prompt(crashing, topology.PromptPart(100+n)))
				e.pass(time.Second)
			}
		}, []topology.PromptPart{crashing}},
		{"beside one that waits at two of three", func(e *events) {
			for n := range 3 {
				process := Process{ID: fmt.Sprint("w-", n), Incarnation: 1}
				if n > 0 {
					e.crashOf(process, false, prompt(0xa0, topology.PromptPart(200+n)))
				}
				e.crashOf(process, true, prompt(crashing, topology.PromptPart(100+n)))
				e.pass(time.Second)
			}
		}, []topology.PromptPart{crashing}},
		{"no response head of any request has arrived", func(e *events) {
			for n := range 3 {
				e.crashOf(Process{ID: fmt.Sprint("w-", n), Incarnation: 1}, false, prompt(crashing, topology.PromptPart(100+n)))
				e.pass(time.Second)
			}
		}, []topology.PromptPart{crashing}},
		{"one crash that several daemons report", func(e *events) {
			process := Process{ID: "one", Incarnation: 1}
			for n := range 6 {
				e.crashOf(process, true, prompt(0xa0, topology.PromptPart(100+n)))
				e.pass(150 * time.Millisecond)
			}
		}, nil},
		{"one engine without incarnations that ends again and again", func(e *events) {
			for n := range 3 {
				e.crashOf(Process{ID: "one"}, true, prompt(crashing, topology.PromptPart(100+n)))
				e.pass(8 * time.Second)
			}
		}, []topology.PromptPart{crashing}},
		{"a sound part that was at three of five crashes is blocked no longer", func(e *events) {
			for n := range 5 {
				prompts := [][]topology.PromptPart{prompt(0xa0, topology.PromptPart(100+n))}
				if n > 2 {
					prompts = nil
				}
				if n != 1 {
					prompts = append(prompts, prompt(crashing, topology.PromptPart(200+n)))
				}
				e.crash(prompts...)
				e.pass(time.Second)
			}
			e.crashOf(Process{ID: "lm-2", Incarnation: 1}, true, prompt(crashing, 300))
		}, []topology.PromptPart{crashing}},
		{"two parts at once", func(e *events) {
			for n := range 3 {
				e.crash(prompt(crashing, topology.PromptPart(100+n)))
				e.pass(200 * time.Millisecond)
				e.crash(prompt(0xbad2, topology.PromptPart(200+n)))
				e.pass(200 * time.Millisecond)
			}
		}, []topology.PromptPart{crashing, 0xbad2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := newEvents()
			test.play(e)
			var got []topology.PromptPart
			for _, b := range e.table.Blocks() {
				got = append(got, topology.PromptPart(b.Key.ID))
			}
			slices.Sort(got)
			if !slices.Equal(got, test.want) {
				t.Errorf("blocked %v, want %v", got, test.want)
			}
		})
	}
}

func blockedEvents() *events {
	e := newEvents()
	for n := range 3 {
		e.crash(prompt(crashing, topology.PromptPart(100+n)))
		e.pass(time.Second)
	}
	return e
}

// One request of the fleet tries a blocked part again after a long time, and sooner if
// most requests have the part.
func TestBlockedPartIsTriedAgainByOneRequest(t *testing.T) {
	tests := []struct {
		name            string
		refused, passed int
		before, after   time.Duration
	}{
		{"rare part", 10, 1000, 9 * time.Minute, 2 * time.Minute},
		{"part of most requests", 1000, 10, 900 * time.Millisecond, 200 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := blockedEvents()
			judge := func(part topology.PromptPart) Verdict { return e.table.Judge(e.now, sharing(part), anyTry) }
			for range test.refused {
				judge(crashing)
			}
			for range test.passed {
				judge(first)
			}
			e.pass(test.before)
			if v := judge(crashing); !v.Blocked {
				t.Fatalf("%+v before a trial is due", v)
			}
			e.pass(test.after)
			if v := e.table.Judge(e.now, sharing(crashing), noTry); !v.Blocked {
				t.Fatalf("%+v at a daemon that may not try", v)
			}
			v := judge(crashing)
			if !v.Trial {
				t.Fatalf("%+v, want a trial", v)
			}
			if e.table.Recheck(sharing(crashing), v).Blocked {
				t.Error("the request that tries the part is blocked")
			}
			if v := judge(crashing); !v.Blocked {
				t.Errorf("%+v for a second request", v)
			}
			e.crash(prompt(crashing, 999))
			if !e.isBlocked(crashing) {
				t.Error("not blocked after the trial has ended an engine")
			}
			e.pass(test.before)
			if v := judge(crashing); !v.Blocked {
				t.Errorf("%+v before the next trial is due", v)
			}
			e.answer(crashing)
			if e.isBlocked(crashing) {
				t.Error("blocked after an engine has answered")
			}
		})
	}
}

// Parts that were at the same crashes are tried soon, by requests with one of them, and by
// other daemons if the first one gets no such request.
func TestPartsThatCannotBeToldApartAreTriedSoon(t *testing.T) {
	const sound topology.PromptPart = 0xa0
	blocked := func() *events {
		e := newEvents()
		for n := range 3 {
			e.crash(prompt(sound, crashing, topology.PromptPart(100+n)))
			e.pass(200 * time.Millisecond)
		}
		return e
	}
	second := func(_ Key, others int) bool { return others >= 1 }
	e := blocked()
	if v := e.table.Judge(e.now, sharing(sound), noTry); !v.Blocked || !v.Unproven {
		t.Fatalf("%+v, want a refusal for what is not proven", v)
	}
	e.pass(ambiguousPartInterval)
	if v := e.table.Judge(e.now, sharing(sound, crashing), anyTry); !v.Blocked || v.Unproven {
		t.Errorf("%+v for a request with both parts", v)
	}
	if v := e.table.Judge(e.now, sharing(sound), second); v.Trial {
		t.Errorf("%+v at the second daemon at once", v)
	}
	e.pass(trialStagger)
	if v := e.table.Judge(e.now, sharing(sound), second); !v.Trial {
		t.Errorf("%+v at the second daemon a moment later", v)
	}
	e.answer(sound)
	if e.isBlocked(sound) || !e.isBlocked(crashing) {
		t.Errorf("after the answer %v is blocked", e.table.Blocks())
	}
	e.pass(time.Minute)
	if v := e.table.Judge(e.now, sharing(sound, crashing), anyTry); !v.Blocked || v.Unproven {
		t.Errorf("%+v for the part that the answer shows to be the cause", v)
	}

	e = blocked()
	e.pass(ambiguousPartInterval)
	if v := e.table.Judge(e.now, sharing(crashing), anyTry); !v.Trial {
		t.Fatalf("%+v, want a trial", v)
	}
	e.crash(prompt(crashing, 999))
	e.pass(time.Minute)
	if v := e.table.Judge(e.now, sharing(crashing), anyTry); !v.Blocked || v.Unproven {
		t.Errorf("%+v after the trial has ended an engine", v)
	}
	if e.isBlocked(sound) {
		t.Error("the part that the trial shows to be sound is blocked")
	}
}

// What other daemons say of a block yields to a later answer, and to none before it.
func TestBlocksOfOtherDaemons(t *testing.T) {
	e := newEvents()
	if !e.table.Block(e.now, e.now-time.Second, PartKey(crashing)) || !e.isBlocked(crashing) {
		t.Fatal("not blocked on the word of another daemon")
	}
	if changes := e.table.RecordAnswer(e.now, e.now-2*time.Second, sharing(crashing).Keys()); len(changes.Unblocked) > 0 {
		t.Error("unblocked by an answer from before the block")
	}
	if unblocked := e.answer(crashing); len(unblocked) != 1 {
		t.Error("not unblocked by a later answer")
	}
	e.pass(time.Minute)
	if e.table.Block(e.now, e.now-90*time.Second, PartKey(crashing)) {
		t.Error("blocked again by a daemon that doesn't know of the answer")
	}
	if answered := e.table.AnsweredSuspects(e.now - 2*time.Minute); len(answered) != 1 || answered[0].Key != PartKey(crashing) {
		t.Errorf("other daemons are told of %v", answered)
	}
	if !e.table.Block(e.now, e.now, PartKey(crashing)) {
		t.Error("not blocked by later crashes")
	}
	e.pass(blockTTL + sweepInterval + time.Second)
	if e.isBlocked(crashing) {
		t.Error("blocked for ever")
	}
}

// crashLoad is a fleet's load: requests with shared parts begin at engines, some of which
// end under a crashing part or for another reason.
type crashLoad struct {
	random   *rand.Rand
	e        *events
	crashing []topology.PromptPart
	// otherCrashes is the mean number of crashes a second without a request as cause.
	otherCrashes float64
}

// play returns the number of engines that the crashing parts end, and the share of sound
// requests that are refused. Engines that end take the requests with them that began
// there in the last 100 ms; each is sent to one more engine.
func (l *crashLoad) play(requests int) (ended int, refused float64) {
	const engines, perSecond, crashingShare = 9, 60, 0.04
	soundRequests, soundRefused := 0, 0
	var beginning [engines][]Request
	for n := range requests {
		l.e.pass(time.Second / perSecond)
		if n%6 == 0 {
			for i := range beginning {
				for _, request := range beginning[i] {
					l.e.table.RecordAnswer(l.e.now, l.e.now, request.Keys())
				}
				beginning[i] = nil
			}
		}
		p := prompt(first, topology.PromptPart(0x1000+int(l.random.ExpFloat64()*40)))
		isCrashing := l.random.Float64() < crashingShare
		if isCrashing {
			p = append(p, l.crashing[l.random.IntN(len(l.crashing))])
		}
		p = append(p, topology.PromptPart(1_000_000+n))
		request := Request{Fingerprint: Fingerprint(1 + n), Prompt: p}
		v := l.e.table.Judge(l.e.now, request, anyTry)
		if !isCrashing {
			soundRequests++
			if v.Blocked {
				soundRefused++
			}
		}
		for range 2 {
			if l.e.table.Recheck(request, v).Blocked {
				break
			}
			i := l.random.IntN(engines)
			beginning[i] = append(beginning[i], request)
			if !isCrashing {
				break
			}
			ended++
			l.e.crashUnder(beginning[i])
			beginning[i] = nil
			l.e.pass(150 * time.Millisecond)
		}
		if l.random.Float64() < l.otherCrashes/perSecond {
			i := l.random.IntN(engines)
			l.e.crashUnder(beginning[i])
			beginning[i] = nil
		}
	}
	return ended, float64(soundRefused) / float64(soundRequests)
}

// Requests that share a part end few engines, beside crashes that have other causes, and
// sound requests are served.
func TestCrashingPartsAmongOtherCrashes(t *testing.T) {
	for seed := range uint64(40) {
		l := &crashLoad{random: rand.New(rand.NewPCG(seed, 1)), e: newEvents(), crashing: prompt(0xbad1, 0xbad2)[:1+seed%2], otherCrashes: float64(seed%4) * 0.5}
		ended, refused := l.play(6000)
		// Users allow five crashes and three more requests for each part.
		if allowed := 8 * len(l.crashing); ended > allowed {
			t.Errorf("seed %d: %d engines ended, %d allowed", seed, ended, allowed)
		}
		// Users want half of the sound requests served.
		if refused > 0.5 {
			t.Errorf("seed %d: %.2f of the sound requests were refused", seed, refused)
		}
		t.Logf("seed %d: %d engines ended, %.3f of the sound requests refused", seed, ended, refused)
	}
}
