package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/topology"
)

// Fingerprints of requests: one under which engines crash, a sound one that many callers
// send, and one that is at the same engines as the first by chance.
const (
	bad    Fingerprint = 0xbad
	hot    Fingerprint = 0x407
	beside Fingerprint = 0xbe51de
)

// end ends an engine under requests that it had for a time.
func (e *events) end(held time.Duration, requests ...Fingerprint) {
	e.engine++
	crash := Crash{Process: Process{ID: fmt.Sprint("api-", e.engine), Incarnation: 1}, At: e.now, SentAt: e.now - held}
	for _, f := range requests {
		failure := Failure{Request: Request{Fingerprint: f}}
		crash.Suspects = append(crash.Suspects, failure.Suspect())
	}
	e.table.RecordCrash(e.now, crash)
	e.settle()
}

// settle lets the time pass in which the reports of a crash arrive.
func (e *events) settle() {
	e.pass(SettleTime)
	e.table.Review(e.now)
}

// endKnownAs ends an engine whose process is not the one that is registered.
func (e *events) endKnownAs(process Process, held time.Duration, f Fingerprint) {
	e.recordCrash(process, Failure{Request: Request{Fingerprint: f}, SentAt: e.now - held, At: e.now})
}

func (e *events) answerRequest(f Fingerprint) {
	e.table.RecordAnswer(e.now, e.now, []Key{RequestKey(f)})
}

// answerAgain answers a request again and again, and lets some time pass.
func (e *events) answerAgain(f Fingerprint) {
	for range 20 {
		e.answerRequest(f)
		e.pass(200 * time.Millisecond)
	}
	e.pass(10 * time.Second)
}

func (e *events) blockedRequests() (blocked []Fingerprint) {
	for _, b := range e.table.Blocks() {
		if b.Key.Kind == WholeRequest {
			blocked = append(blocked, Fingerprint(b.Key.ID))
		}
	}
	slices.Sort(blocked)
	return blocked
}

func TestRequestIsBlockedOnceEnginesHaveCrashedUnderItsRepetitions(t *testing.T) {
	const held = 40 * time.Millisecond
	tests := []struct {
		name string
		play func(e *events)
		want []Fingerprint
	}{
		{"three engines, one after another", func(e *events) {
			for range 3 {
				e.end(held, bad)
				e.pass(time.Second)
			}
		}, []Fingerprint{bad}},
		{"sent on at once after each crash", func(e *events) {
			for range 3 {
				e.end(held, bad)
				e.pass(time.Millisecond)
			}
		}, []Fingerprint{bad}},
		{"two engines, and no other request at both", func(e *events) {
			e.end(held, bad, hot)
			e.pass(held)
			e.end(held, bad, beside)
		}, []Fingerprint{bad}},
		{"two engines beside another request", func(e *events) {
			for range 2 {
				e.end(held, bad, beside)
				e.pass(time.Second)
			}
		}, nil},
		{"the other request at both engines becomes known a moment later", func(e *events) {
			first, second := Process{ID: "api-a", Incarnation: 1}, Process{ID: "api-b", Incarnation: 1}
			at := e.now
			e.pass(held)
			for _, f := range []Fingerprint{beside, bad} {
				e.recordCrash(first, Failure{Request: Request{Fingerprint: f}, SentAt: at - held, At: at})
				e.recordCrash(second, Failure{Request: Request{Fingerprint: f}, SentAt: at + time.Millisecond, At: at + held})
			}
			e.settle()
		}, nil},
		{"copies at two engines that end together", func(e *events) {
			for range 2 {
				e.endKnownAs(Process{ID: fmt.Sprint("api-", e.now), Incarnation: 1}, held, hot)
				e.pass(time.Millisecond)
			}
			e.settle()
		}, nil},
		{"one engine", func(e *events) {
			e.end(held, bad)
		}, nil},
		{"at engines of a rack that end together", func(e *events) {
			for n := range 8 {
				e.endKnownAs(Process{ID: fmt.Sprint("rack-", n), Incarnation: 1}, time.Second, bad)
				e.pass(5 * time.Millisecond)
			}
			e.settle()
		}, nil},
		{"one crash that several daemons report", func(e *events) {
			sentAt := e.now - held
			for range 5 {
				e.recordCrash(Process{ID: "api", Incarnation: 1}, Failure{Request: Request{Fingerprint: bad}, SentAt: sentAt, At: e.now})
				e.pass(150 * time.Millisecond)
			}
		}, nil},
		{"later processes whose registrations are not known yet", func(e *events) {
			process := Process{ID: "api", Incarnation: 1}
			for range 3 {
				e.endKnownAs(process, held, bad)
				e.pass(time.Second)
			}
		}, []Fingerprint{bad}},
		{"others crash later processes whose registrations are not known yet", func(e *events) {
			process := Process{ID: "api", Incarnation: 1}
			e.endKnownAs(process, held, bad)
			e.pass(time.Second)
			e.end(held, bad)
			for range 3 {
				e.pass(time.Second)
				e.endKnownAs(process, held, beside)
			}
			e.settle()
		}, []Fingerprint{bad, beside}},
		{"answered between the crashes", func(e *events) {
			for range 6 {
				e.end(held, hot)
				e.pass(time.Second)
				e.answerRequest(hot)
				e.pass(time.Second)
			}
		}, nil},
		{"beside one that was at two of the engines", func(e *events) {
			e.end(held, bad, beside)
			e.pass(time.Second)
			e.end(held, bad, beside)
			e.pass(time.Second)
			e.end(held, bad, hot)
		}, []Fingerprint{bad}},
		{"beside one that is at the last two of four", func(e *events) {
			for n := range 4 {
				e.end(held, append([]Fingerprint{bad}, []Fingerprint{hot, 7, beside, beside}[n])...)
				e.pass(time.Second)
			}
		}, []Fingerprint{bad}},
		{"beside one that was at all of them and is answered late", func(e *events) {
			for range 3 {
				e.end(held, bad, beside)
				e.pass(time.Second)
			}
			e.answerRequest(beside)
		}, []Fingerprint{bad}},
		{"beside one whose answer another daemon has seen between the crashes", func(e *events) {
			answeredAt := e.now + 1500*time.Millisecond
			for range 3 {
				e.end(held, bad, beside)
				e.pass(time.Second)
			}
			e.table.RecordAnswer(e.now, answeredAt, []Key{RequestKey(beside)})
			if e.table.Block(e.now, e.now, RequestKey(beside)) {
				panic("blocked again by a daemon that doesn't know of the answer")
			}
		}, []Fingerprint{bad}},
		{"another one explains all crashes of a blocked one", func(e *events) {
			for range 3 {
				e.end(held, bad, beside)
				e.pass(time.Second)
			}
			e.end(held, bad)
		}, []Fingerprint{bad, beside}},
		{"two at once", func(e *events) {
			for range 3 {
				e.end(held, bad)
				e.pass(time.Second)
				e.end(held, beside)
				e.pass(time.Second)
			}
		}, []Fingerprint{bad, beside}},
		{"a request that engines have answered again and again, with a crashing part", func(e *events) {
			e.answerAgain(hot)
			for n := range 4 {
				e.engine++
				request := Request{Fingerprint: hot, Prompt: prompt(crashing, topology.PromptPart(100+n))}
				e.recordCrash(Process{ID: fmt.Sprint("lm-", e.engine), Incarnation: 1}, Failure{Request: request, SentAt: e.now - time.Millisecond, At: e.now})
				e.settle()
				e.pass(120 * time.Millisecond)
			}
		}, nil},
		{"a request that engines have answered again and again, at crashes that follow at once", func(e *events) {
			e.answerAgain(hot)
			for range 3 {
				e.end(time.Millisecond, hot)
			}
		}, nil},
		{"a request that engines have answered again and again, at four crashes", func(e *events) {
			e.answerAgain(hot)
			for range 4 {
				e.end(held, hot)
				e.pass(time.Second)
			}
		}, []Fingerprint{hot}},
		{"the last of many crashes", func(e *events) {
			for n := range 2 * maxCrashes {
				e.end(held, Fingerprint(1000+n))
				e.pass(200 * time.Millisecond)
			}
			for range 3 {
				e.end(held, bad)
				e.pass(time.Second)
			}
		}, []Fingerprint{bad}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := newEvents()
			test.play(e)
			if got := e.blockedRequests(); !slices.Equal(got, test.want) {
				t.Errorf("blocked %v, want %v", got, test.want)
			}
		})
	}
}

// A request that was at the same engines as another is tried soon, and what comes of it
// tells them apart. One that was there alone is tried after minutes, and later each time.
func TestBlockedRequestIsTriedSoonOnlyIfOthersMayBeTheCause(t *testing.T) {
	judge := func(e *events, f Fingerprint) Verdict { return e.table.Judge(e.now, Request{Fingerprint: f}, anyTry) }
	alone := newEvents()
	for range 3 {
		alone.end(0, bad)
		alone.pass(time.Second)
	}
	for trial := range 3 {
		interval := trialInterval << trial
		alone.pass(interval - 2*time.Second)
		if v := judge(alone, bad); !v.Blocked {
			t.Fatalf("trial %d: %+v before it is due", trial, v)
		}
		alone.pass(2 * time.Second)
		if v := judge(alone, bad); !v.Trial {
			t.Fatalf("trial %d: %+v when it is due", trial, v)
		}
		alone.end(0, bad)
	}
	for _, tried := range []Fingerprint{bad, beside} {
		e := newEvents()
		for range 3 {
			e.end(0, bad, beside)
			e.pass(time.Second)
		}
		e.pass(ambiguousTrialInterval)
		if v := judge(e, tried); !v.Trial {
			t.Fatalf("%v: %+v, want a trial", tried, v)
		}
		if tried == bad {
			e.end(0, bad)
			if v := judge(e, beside); !v.Trial {
				t.Errorf("%+v, want a trial of the one that the crashes no longer single out", v)
			}
		}
		e.answerRequest(beside)
		if got := e.blockedRequests(); !slices.Equal(got, []Fingerprint{bad}) {
			t.Errorf("blocked %v after a trial of %v", got, tried)
		}
		e.pass(10 * ambiguousTrialInterval)
		if v := judge(e, bad); v.Trial && tried == bad {
			t.Errorf("%+v: tried again at once", v)
		}
	}
}

// The number of blocks is bounded; those with the oldest crashes go first.
func TestBlocksAreBounded(t *testing.T) {
	table := NewTable()
	for n := range 2 * maxBlocks {
		table.Block(time.Hour, time.Duration(n), RequestKey(Fingerprint(1+n)))
	}
	blocks := table.Blocks()
	if len(blocks) != maxBlocks || blocks[len(blocks)-1].Since != maxBlocks {
		t.Errorf("%d blocks, the oldest since %d", len(blocks), blocks[len(blocks)-1].Since)
	}
}

// replicaLoad is a plain service's load: a few replicas, sound requests of which some are
// alike, and one that comes again and again and ends each replica that runs it.
type replicaLoad struct {
	random *rand.Rand
	e      *events
	// hotShare is the share of the sound requests that are alike, and pingEvery the time
	// between the requests of one sound caller that are alike; 0 for none.
	hotShare  float64
	pingEvery time.Duration
	// otherCrashes is the mean number of crashes a second without a request as cause.
	otherCrashes float64
	replicas     [3]loadReplica
	// again holds requests that are sent again at once after their replica has ended.
	again          []loadRequest
	ended          int
	sound, refused int
}

type loadReplica struct {
	downUntil time.Duration
	running   []loadRequest
}

type loadRequest struct {
	fingerprint Fingerprint
	sentAt      time.Duration
	// endsAt is when it is answered, or ends its replica.
	endsAt time.Duration
	sends  int
}

// Figures of the load: a replica is away for seconds after a crash.
const (
	loadStep        = 5 * time.Millisecond
	loadWork        = 60 * time.Millisecond
	loadAway        = 3300 * time.Millisecond
	loadPerSecond   = 24
	loadBadEvery    = 300 * time.Millisecond
	loadMaxSends    = 4 // two of each of two requests of one caller
	loadMaxBadDelay = 120
)

func (l *replicaLoad) play(duration time.Duration) {
	nextBad, nextPing := l.e.now+time.Second, l.e.now+l.pingEvery
	for end := l.e.now + duration; l.e.now < end; l.e.pass(loadStep) {
		if l.e.unsettled && l.e.now >= l.e.crashedAt+SettleTime {
			l.e.unsettled = l.e.table.Review(l.e.now).Unsettled
		}
		for i := range l.replicas {
			l.run(&l.replicas[i])
		}
		waiting := l.again
		l.again = nil
		for _, request := range waiting {
			l.send(request)
		}
		if l.random.Float64() < loadPerSecond*loadStep.Seconds() {
			f := Fingerprint(1_000_000 + l.random.Uint64N(1<<40))
			if l.random.Float64() < l.hotShare {
				f = hot
			}
			l.send(loadRequest{fingerprint: f})
		}
		if l.e.now > nextBad {
			nextBad += loadBadEvery
			l.send(loadRequest{fingerprint: bad})
		}
		if l.pingEvery > 0 && l.e.now > nextPing {
			nextPing += l.pingEvery
			l.send(loadRequest{fingerprint: beside})
		}
		if l.random.Float64() < l.otherCrashes*loadStep.Seconds() {
			l.crash(&l.replicas[l.random.IntN(len(l.replicas))])
		}
	}
}

// run answers requests and ends a replica.
func (l *replicaLoad) run(r *loadReplica) {
	var running []loadRequest
	for _, request := range r.running {
		switch {
		case request.endsAt > l.e.now:
			running = append(running, request)
		case request.fingerprint == bad:
			l.ended++
			l.crash(r)
			return
		default:
			l.e.answerRequest(request.fingerprint)
		}
	}
	r.running = running
}

func (l *replicaLoad) crash(r *loadReplica) {
	l.e.engine++
	process := Process{ID: fmt.Sprint("api-", l.e.engine), Incarnation: 1}
	for _, request := range r.running {
		l.e.recordCrash(process, Failure{Request: Request{Fingerprint: request.fingerprint}, SentAt: request.sentAt, At: l.e.now})
		l.again = append(l.again, request)
	}
	r.running, r.downUntil = nil, l.e.now+loadAway
}

func (l *replicaLoad) send(request loadRequest) {
	if request.sends >= loadMaxSends {
		return
	}
	blocked := l.e.table.Judge(l.e.now, Request{Fingerprint: request.fingerprint}, anyTry).Blocked
	if request.fingerprint != bad {
		if request.sends == 0 {
			l.sound++
		}
		if blocked {
			l.refused++
		}
	}
	var up []*loadReplica
	for i := range l.replicas {
		if r := &l.replicas[i]; l.e.now >= r.downUntil {
			up = append(up, r)
		}
	}
	if blocked || len(up) == 0 {
		return
	}
	request.sends++
	request.sentAt, request.endsAt = l.e.now, l.e.now+loadWork
	if request.fingerprint == bad {
		request.endsAt = l.e.now + time.Duration(30+l.random.IntN(loadMaxBadDelay-30))*time.Millisecond
	}
	r := up[l.random.IntN(len(up))]
	r.running = append(r.running, request)
}

// A request that ends each replica that runs it is found among sound ones, also if most of
// these are alike or come as regularly, and replicas end for other reasons too. Few sound
// ones are refused.
func TestCrashingRequestAmongAlikeOnes(t *testing.T) {
	for seed := range uint64(120) {
		l := &replicaLoad{
			random: rand.New(rand.NewPCG(seed, 2)), e: newEvents(), hotShare: float64(seed%3) * 0.4, otherCrashes: float64(seed%4) * 0.15,
			pingEvery: time.Duration(seed%5) * loadBadEvery,
		}
		l.play(2 * time.Minute)
		// Users allow three ends and three more sends.
		if l.ended > 6 {
			t.Errorf("seed %d: %d replicas ended under the request", seed, l.ended)
		}
		refused := float64(l.refused) / float64(l.sound)
		// Users want half of the sound requests served beside a crashing prompt part.
		if refused > 0.5 {
			t.Errorf("seed %d: %.2f of the sound requests were refused", seed, refused)
		}
		t.Logf("seed %d: %d replicas ended, %.4f of %d sound requests refused", seed, l.ended, refused, l.sound)
	}
}
