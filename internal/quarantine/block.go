package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// trialInterval is the time after which one request of the fleet may show that
	// engines no longer crash on a key. If they do, that ends an engine. Of a request it
	// doubles with each such trial: users allow three in all.
	trialInterval = 10 * time.Minute
	// commonTrialInterval is the same for a part of most requests: before any of them was
	// answered, a crash under a few looks like one under what all share. It doubles with
	// each trial that ends an engine, up to trialInterval.
	commonTrialInterval = 2 * time.Second
	// minCommonRefusals is the number of refusals that tell a part of most requests.
	minCommonRefusals = 8
	// ambiguousTrialInterval is the time until the first trial of a request that was at
	// the same engines as others, which tells them apart; engines that have crashed are
	// back by then. ambiguousPartInterval is that of a prompt part, with which many sound
	// requests wait. earlyTrialInterval is that of a request that was alone, but at few
	// engines.
	ambiguousTrialInterval = 5 * time.Second
	ambiguousPartInterval  = time.Second
	earlyTrialInterval     = time.Minute
	// trialStagger is the time after which the next daemon in a key's order may try it as
	// well, if it is not known what to blame: the first one may get no such request.
	trialStagger = 300 * time.Millisecond
	// maxDoublings bounds the doubling of intervals.
	maxDoublings = 16
)

// block is a key that no engine gets.
type block struct {
	// since is the time of the last crash that counted against it.
	since time.Duration
	// triedAt is when a request was last let through, or an engine last crashed on the
	// key.
	triedAt time.Duration
	// isAmbiguous is set if others were at the same engines or explain the crashes, and
	// isEarly if the evidence suffices only because none was there.
	isAmbiguous, isEarly bool
	// refused counts the requests refused because of the key, and passed those without
	// a blocked key in the same time.
	refused, passed int
	// isTried is set while a request of this daemon tries the key, and failedTrials
	// counts the trials that have ended an engine.
	isTried      bool
	failedTrials int
}

// trialDue reports whether a trial is due, and how many daemons after the first one in the
// key's order may make it too.
func (b *block) trialDue(now time.Duration, kind Kind) (others int, due bool) {
	overdue := now - b.triedAt - b.trialInterval(kind)
	if overdue < 0 {
		return 0, false
	}
	if kind == PromptPart && b.isUnproven() {
		others = int(overdue / trialStagger)
	}
	return others, true
}

// isUnproven reports whether other keys were at the same crashes, and no trial has told them
// apart.
func (b *block) isUnproven() bool {
	return b.isAmbiguous && b.failedTrials == 0
}

func (b *block) trialInterval(kind Kind) time.Duration {
	doublings := min(b.failedTrials, maxDoublings)
	switch {
	case kind == WholeRequest && b.isUnproven():
		return ambiguousTrialInterval
	case b.isUnproven():
		return ambiguousPartInterval
	case kind == WholeRequest && b.isEarly && b.failedTrials == 0:
		return earlyTrialInterval
	case kind == WholeRequest:
		return trialInterval << doublings
	case b.refused >= minCommonRefusals && b.refused > b.passed:
		return min(commonTrialInterval<<doublings, trialInterval)
	default:
		return trialInterval
	}
}

// addBlock adds a block. If there are too many, it replaces the one with the oldest crash.
func (t *Table) addBlock(key Key, b *block) {
	if len(t.blocks) >= maxBlocks {
		oldest := key
		for other, o := range t.blocks {
			if oldest == key || o.since < t.blocks[oldest].since {
				oldest = other
			}
		}
		delete(t.blocks, oldest)
	}
	t.blocks[key] = b
}

// Verdict says whether a request may reach an engine.
type Verdict struct {
	// Blocked is set if it may not, because of Key.
	Blocked bool
	// Trial is set if it may, to show whether engines still crash on Key.
	Trial bool
	Key   Key
	// Unproven is set if a trial will soon show whether engines crash on Key or on something
	// else.
	Unproven bool
}

// Judge decides on a new request. mayTry reports whether this daemon may try a key again: it is
// the first one in the key's order, or one of the others that follow.
func (t *Table) Judge(now time.Duration, request Request, mayTry func(key Key, others int) bool) Verdict {
	t.sweep(now)
	if len(t.blocks) == 0 {
		return Verdict{}
	}
	var found []Key
	for _, key := range request.Keys() {
		if t.blocks[key] != nil && !slices.Contains(found, key) {
			found = append(found, key)
		}
	}
	if len(found) == 0 {
		for _, b := range t.blocks {
			b.passed++
		}
		return Verdict{}
	}
	first := t.blocks[found[0]]
	if others, due := first.trialDue(now, found[0].Kind); len(found) == 1 && due && mayTry(found[0], others) {
		first.triedAt, first.isTried = now, true
		return Verdict{Trial: true, Key: found[0]}
	}
	for _, key := range found {
		t.blocks[key].refused++
	}
	return t.refuse(found)
}

// refuse returns the verdict on a request with blocked keys.
func (t *Table) refuse(found []Key) Verdict {
	return Verdict{Blocked: true, Key: found[0], Unproven: len(found) == 1 && t.blocks[found[0]].isUnproven()}
}

// Recheck decides anew on a request that may reach an engine by an earlier verdict.
func (t *Table) Recheck(request Request, earlier Verdict) Verdict {
	if len(t.blocks) == 0 {
		return earlier
	}
	var found []Key
	for _, key := range request.Keys() {
		if t.blocks[key] != nil && !(earlier.Trial && key == earlier.Key) {
			found = append(found, key)
		}
	}
	if len(found) == 0 {
		return earlier
	}
	return t.refuse(found)
}

// recordCrashOfBlocked starts the time until the next trial anew.
func (t *Table) recordCrashOfBlocked(now, crashAt time.Duration, suspect Suspect) {
	for _, part := range suspect.Parts {
		if b := t.blocks[PartKey(part)]; b != nil {
			b.recordCrash(now)
		}
	}
	if b := t.blocks[RequestKey(suspect.Request)]; b != nil {
		b.since = max(b.since, crashAt)
		b.recordCrash(now)
	}
}

func (b *block) recordCrash(now time.Duration) {
	b.triedAt = now
	if b.isTried {
		b.isTried = false
		b.failedTrials++
	}
}

// Block adds a block that another daemon knows since a time, and reports whether it is
// new. An answer on the key since then is stronger, and so is one between its crashes, or
// before them if another blocked key explains these.
func (t *Table) Block(now, since time.Duration, key Key) bool {
	isOutdated := max(t.answeredAt[key], t.unblockedAt[key]) > since || now-since > blockTTL
	if isOutdated || t.blocks[key] != nil || t.isRefuted(key) || t.isExplainedByOther(key) {
		return false
	}
	t.addBlock(key, &block{since: since, triedAt: now})
	return true
}

// BlockUnproven is like Block for a key that is blocked with others, none of which is known to be
// the cause: it is tried soon.
func (t *Table) BlockUnproven(now, since time.Duration, key Key) bool {
	isNew := t.Block(now, since, key)
	if isNew {
		t.blocks[key].isAmbiguous = true
	}
	return isNew
}

// Blocked is a blocked key.
type Blocked struct {
	Key   Key
	Since time.Duration
	// Unproven is set if another key may be the cause.
	Unproven bool
}

// Blocks returns the blocked keys, the latest first.
func (t *Table) Blocks() []Blocked {
	blocks := make([]Blocked, 0, len(t.blocks))
	for key, b := range t.blocks {
		blocks = append(blocks, Blocked{key, b.since, b.isUnproven()})
	}
	slices.SortFunc(blocks, func(a, b Blocked) int { return cmp.Or(cmp.Compare(b.Since, a.Since), compareKeys(a.Key, b.Key)) })
	return blocks
}

// Answered is a key on which an engine answered whole at a time.
type Answered struct {
	Key Key
	At  time.Duration
}

// minSpreadCrashes is the number of crashes from which others must know that a request
// was answered. Fewer block none, and most requests at an engine that ends are answered
// elsewhere at once.
const minSpreadCrashes = 2

// AnsweredSuspects returns the suspected and formerly blocked keys on which engines
// have begun an answer after a time, the latest first. Other daemons may still suspect
// them.
func (t *Table) AnsweredSuspects(after time.Duration) []Answered {
	latest := maps.Clone(t.unblockedAt)
	crashes := make(map[Key]int)
	for _, r := range t.crashes {
		for key := range r.suspects {
			crashes[key]++
			if t.isCleared(key, r.at) && (key.Kind == PromptPart || crashes[key] >= minSpreadCrashes) {
				latest[key] = max(latest[key], t.answeredAt[key])
			}
		}
	}
	var answered []Answered
	for key, at := range latest {
		if at > after {
			answered = append(answered, Answered{key, at})
		}
	}
	slices.SortFunc(answered, func(a, b Answered) int { return cmp.Or(cmp.Compare(b.At, a.At), compareKeys(a.Key, b.Key)) })
	return answered
}
