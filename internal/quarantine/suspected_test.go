package quarantine

import (
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/topology"
)

// crashTwice ends two engines under requests that share parts.
func (e *events) crashTwice(parts ...topology.PromptPart) {
	for n := range 2 {
		e.crash(append(prompt(parts...), topology.PromptPart(100+n)), append(prompt(parts...), topology.PromptPart(200+n)))
		e.pass(time.Second)
	}
}

// restart returns the events of a new process that recalls what the former one suspected.
func (e *events) restart() *events {
	suspected := e.table.Suspected()
	next := &events{table: NewTable(), now: e.now + 5*time.Second, engine: e.engine}
	for _, s := range suspected {
		next.table.Recall(next.now, s.Key, s.Crashes)
	}
	return next
}

func TestCrashesBeforeARestartOfAllDaemonsCount(t *testing.T) {
	const bad, shared topology.PromptPart = 0xbad, 0xa0
	tests := []struct {
		name   string
		before func(e *events)
		// after is played by the new process, which then blocks what is wanted.
		after func(e *events)
		want  []topology.PromptPart
	}{
		{"one more crash blocks", func(e *events) { e.crashTwice(bad) }, func(e *events) { e.crash(prompt(bad, 1)) }, []topology.PromptPart{bad}},
		{"no crash, no block", func(e *events) { e.crashTwice(bad) }, func(*events) {}, nil},
		{"a crash under another part", func(e *events) { e.crashTwice(bad) }, func(e *events) { e.crash(prompt(shared, 1)) }, nil},
		{"answered after the restart", func(e *events) { e.crashTwice(bad) }, func(e *events) {
			e.answer(bad)
			e.pass(2 * time.Second)
			e.crash(prompt(bad, 1))
		}, nil},
		{"answered before", func(e *events) { e.answer(shared); e.pass(2 * time.Second); e.crashTwice(shared, bad) },
			func(e *events) { e.crash(prompt(shared, bad, 1), prompt(shared, bad, 2)) }, []topology.PromptPart{bad}},
		{"two that can't be told apart", func(e *events) { e.crashTwice(shared, bad) }, func(e *events) { e.crash(prompt(shared, bad, 1)) },
			[]topology.PromptPart{shared, bad}},
		{"two, of which one is at the next crash", func(e *events) { e.crashTwice(shared, bad) }, func(e *events) { e.crash(prompt(bad, 1)) },
			[]topology.PromptPart{bad}},
		{"one crash before", func(e *events) { e.crash(prompt(bad, 1), prompt(bad, 2)) }, func(e *events) { e.crash(prompt(bad, 1)) }, nil},
		{"long before", func(e *events) { e.crashTwice(bad); e.now += evidenceTTL }, func(e *events) { e.crash(prompt(bad, 1)) }, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := newEvents()
			test.before(e)
			e = e.restart()
			test.after(e)
			for _, part := range []topology.PromptPart{bad, shared} {
				want := false
				for _, w := range test.want {
					want = want || w == part
				}
				if e.isBlocked(part) != want {
					t.Errorf("part %v blocked: %t, want %t", part, !want, want)
				}
			}
		})
	}
}

func TestDaemonThatHasSeenTheCrashesRecallsNone(t *testing.T) {
	const bad topology.PromptPart = 0xbad
	e := newEvents()
	e.crashTwice(bad)
	suspected := e.table.Suspected()
	if len(suspected) != 1 || len(suspected[0].Crashes) != 2 {
		t.Fatalf("suspected %v, want one part of two crashes", suspected)
	}
	if e.table.Recall(e.now, suspected[0].Key, suspected[0].Crashes) || e.isBlocked(bad) {
		t.Error("its own crashes count twice")
	}
}

// Sound requests would be refused for ten minutes if it were forgotten that another part may be
// the cause.
func TestPartsThatCannotBeToldApartAreTriedSoonAfterARestartOfAllDaemons(t *testing.T) {
	const sound topology.PromptPart = 0xa0
	e := newEvents()
	for n := range 3 {
		e.crash(prompt(sound, crashing, topology.PromptPart(100+n)))
		e.pass(time.Second)
	}
	next := newEvents()
	for _, b := range e.table.Blocks() {
		block := next.table.Block
		if b.Unproven {
			block = next.table.BlockUnproven
		}
		block(next.now, next.now, b.Key)
	}
	if !next.isBlocked(sound) || !next.isBlocked(crashing) {
		t.Fatalf("blocked %v, want both parts", next.table.Blocks())
	}
	next.pass(ambiguousPartInterval)
	if v := next.table.Judge(next.now, sharing(sound), anyTry); !v.Trial {
		t.Fatalf("%+v, want a trial", v)
	}
	next.answer(sound)
	if next.isBlocked(sound) || !next.isBlocked(crashing) {
		t.Errorf("after the answer %v is blocked", next.table.Blocks())
	}
}
