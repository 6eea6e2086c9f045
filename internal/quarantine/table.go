package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/topology"
)

const (
	// recentAnswer is how long before a crash an answer clears what it was given to:
	// parts that many requests share are at every engine that ends.
	recentAnswer = time.Second
	// sharedAnswerTTL is how long an answer tells a prompt part, or a request that comes again
	// and again, from others that were at the same crashes: a few minutes of requests have
	// most of what sound ones share.
	sharedAnswerTTL = 2 * time.Minute
	// sameCrash is the time within which reports are about one crash if the process has
	// no incarnation: one that starts again may have its identifier.
	sameCrash = 2 * time.Second
	// evidenceTTL is how long a crash is remembered.
	evidenceTTL = 10 * time.Minute
	// blockTTL bounds a block. Engines may have other software by then.
	blockTTL = time.Hour
	// maxCrashes, maxAnswered and maxBlocks bound the tables, about 200, 50 and 100 bytes
	// an entry.
	maxCrashes  = 512
	maxAnswered = 20_000
	maxBlocks   = 2048
	// sweepInterval is the time between two removals of what has expired.
	sweepInterval = 5 * time.Second
)

// Process identifies a process of an engine.
type Process struct {
	ID          string
	Incarnation int64
}

// Suspect is a request that an engine had when its process ended.
type Suspect struct {
	// Request identifies the request; 0 if it is not suspected itself, or not known.
	Request Fingerprint
	// Source identifies the request or its session: the last part of its prompt.
	Source topology.PromptPart
	// Parts are the other parts.
	Parts []topology.PromptPart
	// Begun is set if the engine had begun to answer the request, for daemons of former builds:
	// an engine may crash before the first byte of an answer as well as after.
	Begun bool
}

// keys returns what may have ended the process.
func (s Suspect) keys() []Key {
	return Request{Fingerprint: s.Request, Prompt: append(slices.Clone(s.Parts), s.Source)}.Keys()
}

// Crash is the end of an engine's process. Times are readings of the table's clock.
type Crash struct {
	Process Process
	At      time.Duration
	// SentAt is when the suspects were sent there; 0 if it is not known.
	SentAt   time.Duration
	Suspects []Suspect
	// Answered holds what the daemon that saw the crash knows of earlier answers on the
	// suspects' parts.
	Answered []Answered
}

// Failure is a request that an engine broke off. SentAt and At are readings of the
// table's clock.
type Failure struct {
	Request Request
	// Begun is set if the engine had begun to answer.
	Begun      bool
	SentAt, At time.Duration
}

// Suspect returns the suspect that the request is if the engine's process has ended.
func (f Failure) Suspect() Suspect {
	s := Suspect{Request: f.Request.Fingerprint, Parts: f.Request.SharedParts(), Begun: f.Begun}
	if prompt := f.Request.Prompt; len(prompt) > 0 {
		s.Source = prompt[len(prompt)-1]
	}
	return s
}

// sources is a set of sessions.
type sources map[topology.PromptPart]bool

// record is a crash as far as it is known. It may be reported by several daemons.
type record struct {
	process Process
	at      time.Duration
	// suspects holds what may have ended the process, with the sessions: the requests that
	// the engine had, and the parts of their prompts.
	suspects map[Key]sources
	// sentAt is when requests were sent to the engine.
	sentAt map[Key]time.Duration
}

// Table holds what one daemon knows of crashes and blocks. All times are readings of
// one monotonic clock. It is not safe for concurrent use.
type Table struct {
	// crashes is in order of time.
	crashes []*record
	// answeredAt is when an engine last answered a request with a key: it began and went
	// on.
	answeredAt map[Key]time.Duration
	// answeredAgain holds the keys of answeredAt that were answered more than once.
	answeredAgain map[Key]bool
	blocks        map[Key]*block
	// unblockedAt holds the answers that ended blocks, which other daemons may not know.
	unblockedAt map[Key]time.Duration
	sweptAt     time.Duration
}

// NewTable returns a table without crashes.
func NewTable() *Table {
	return &Table{
		answeredAt:    make(map[Key]time.Duration),
		answeredAgain: make(map[Key]bool),
		blocks:        make(map[Key]*block),
		unblockedAt:   make(map[Key]time.Duration),
	}
}

// RecordCrash adds a crash, or suspects of one that is known, and returns what is blocked
// because of it, and what is not as another key explains the crashes better.
func (t *Table) RecordCrash(now time.Duration, crash Crash) Changes {
	t.sweep(now)
	for _, a := range crash.Answered {
		t.recordAnswer(now, a.At, []Key{a.Key})
	}
	r := t.recordOf(crash)
	isNew := false
	for _, suspect := range crash.Suspects {
		if r.add(suspect, crash.SentAt) {
			isNew = true
		}
		t.recordCrashOfBlocked(now, crash.At, suspect)
	}
	if !isNew || !t.mayExplain(crash.Suspects) {
		return Changes{} // reports are repeated, and most crashes have no cause among requests
	}
	return t.explain(now)
}

// recordOf returns the record of a crash, which it adds if there is none. The earliest
// report has the time.
func (t *Table) recordOf(crash Crash) *record {
	r := t.findRecord(crash)
	if r == nil {
		return t.addRecord(crash)
	}
	r.at = min(r.at, crash.At)
	t.sortCrashes()
	return r
}

// addRecord adds a record of a crash without suspects.
func (t *Table) addRecord(crash Crash) *record {
	if len(t.crashes) >= maxCrashes {
		t.crashes = t.crashes[1:]
	}
	r := &record{process: crash.Process, at: crash.At, suspects: make(map[Key]sources), sentAt: make(map[Key]time.Duration)}
	t.crashes = append(t.crashes, r)
	t.sortCrashes()
	return r
}

func (t *Table) sortCrashes() {
	slices.SortStableFunc(t.crashes, func(a, b *record) int { return cmp.Compare(a.at, b.at) })
}

// findRecord returns the record of a crash that is known. If its request was sent after
// the recorded crash, a later process has ended, whose registration was not known yet.
func (t *Table) findRecord(crash Crash) *record {
	for _, r := range t.crashes {
		isLater := crash.SentAt > r.at+instant
		isClose := crash.Process.Incarnation != 0 || (r.at-crash.At).Abs() < sameCrash
		if r.process == crash.Process && isClose && !isLater {
			return r
		}
	}
	return nil
}

// add adds a suspect and reports whether it brings anything new.
func (r *record) add(suspect Suspect, sentAt time.Duration) (isNew bool) {
	for _, part := range suspect.Parts {
		isNew = addSource(r.suspects, PartKey(part), suspect.Source) || isNew
	}
	if suspect.Request != 0 {
		key := RequestKey(suspect.Request)
		isNew = addSource(r.suspects, key, suspect.Source) || isNew
		r.sentAt[key] = max(r.sentAt[key], sentAt)
	}
	return isNew
}

func addSource(keys map[Key]sources, key Key, source topology.PromptPart) (isNew bool) {
	if keys[key] == nil {
		keys[key] = make(sources)
	}
	isNew = !keys[key][source]
	keys[key][source] = true
	return isNew
}

// RecordAnswer records that an engine answered at a time a request with the keys, and
// returns which of them are no longer blocked, and what is blocked in their place.
func (t *Table) RecordAnswer(now, at time.Duration, keys []Key) Changes {
	t.sweep(now)
	unblocked := t.recordAnswer(now, at, keys)
	if len(unblocked) == 0 {
		return Changes{}
	}
	changes := t.explain(now)
	changes.Unblocked = append(unblocked, changes.Unblocked...)
	return changes
}

func (t *Table) recordAnswer(now, at time.Duration, keys []Key) (unblocked []Key) {
	for _, key := range keys {
		former, known := t.answeredAt[key]
		if !known && len(t.answeredAt) >= maxAnswered && !t.isSuspected(key) {
			continue
		}
		if known && at-former > instant {
			t.answeredAgain[key] = true
		}
		t.answeredAt[key] = max(t.answeredAt[key], at)
		b := t.blocks[key]
		switch {
		case b == nil:
			continue
		case at > b.since:
			t.unblockedAt[key] = at
		case t.isRefuted(key) || t.isExplainedByOther(key):
			t.unblockedAt[key] = now
		default:
			continue
		}
		delete(t.blocks, key)
		unblocked = append(unblocked, key)
	}
	return unblocked
}

// isSuspected reports whether a request with a key was at an engine that ended.
func (t *Table) isSuspected(key Key) bool {
	return slices.ContainsFunc(t.crashes, func(r *record) bool {
		_, suspected := r.suspects[key]
		return suspected
	})
}

// isCleared reports whether an answer shows that a key has not caused a crash.
func (t *Table) isCleared(key Key, crashAt time.Duration) bool {
	answeredAt, ok := t.answeredAt[key]
	return ok && answeredAt >= crashAt-recentAnswer
}

// wasAnswered reports whether engines are known to have answered a key before, and a request
// more than once: one that is answered once may end the next engine.
func (t *Table) wasAnswered(key Key) bool {
	_, ok := t.answeredAt[key]
	return ok && (key.Kind == PromptPart || t.answeredAgain[key])
}

// AnsweredParts returns what is known of earlier answers on a suspect's parts.
func (t *Table) AnsweredParts(suspect Suspect) (answered []Answered) {
	for _, part := range suspect.Parts {
		if at, ok := t.answeredAt[PartKey(part)]; ok {
			answered = append(answered, Answered{PartKey(part), at})
		}
	}
	return answered
}

// Uncleared returns a suspect of a crash at a time without what answers of the last
// moment clear of it, and false if nothing is left.
func (t *Table) Uncleared(at time.Duration, suspect Suspect) (Suspect, bool) {
	var parts []topology.PromptPart
	for _, part := range suspect.Parts {
		if !t.isCleared(PartKey(part), at) {
			parts = append(parts, part)
		}
	}
	suspect.Parts = parts
	if t.isCleared(RequestKey(suspect.Request), at) {
		suspect.Request = 0
	}
	return suspect, len(parts) > 0 || suspect.Request != 0
}

// Crashes returns the number of crashes that are remembered.
func (t *Table) Crashes() int {
	return len(t.crashes)
}

func (t *Table) sweep(now time.Duration) {
	if now-t.sweptAt < sweepInterval {
		return
	}
	t.sweptAt = now
	suspected := make(map[Key]bool)
	t.crashes = slices.DeleteFunc(t.crashes, func(r *record) bool { return now-r.at > evidenceTTL })
	for _, r := range t.crashes {
		for key := range r.suspects {
			suspected[key] = true
		}
	}
	for key, at := range t.answeredAt {
		ttl := recentAnswer
		if key.Kind == PromptPart || t.answeredAgain[key] {
			ttl = sharedAnswerTTL
		}
		if now-at > ttl && !suspected[key] {
			delete(t.answeredAt, key)
			delete(t.answeredAgain, key)
		}
	}
	for key, b := range t.blocks {
		if now-b.since > blockTTL {
			delete(t.blocks, key)
		}
	}
	for key, at := range t.unblockedAt {
		if now-at > evidenceTTL {
			delete(t.unblockedAt, key)
		}
	}
}
