package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// blockingCrashes is the number of instants at which engines have crashed on a part
	// that is then blocked: a sound part that happened to be at an engine twice is not,
	// and users allow five.
	blockingCrashes = 3
	// blockingSources is the number of sessions whose requests were at those engines.
	// One request that is sent to several engines puts all of its parts there.
	blockingSources = 2
	// blockingCrashesOfOne replaces both for a session that crashes engines alone.
	blockingCrashesOfOne = 4
	// blockingCrashesAnswered is the number for what engines have answered before.
	blockingCrashesAnswered = 4
	// blockingCrashesOfRequest is the number of crashes under a request that is then
	// blocked, and blockingCrashesAlone that if no other request was at all of them: sound
	// ones are sent on with the one that ends their engine, and may be at the next with it.
	blockingCrashesOfRequest = 3
	blockingCrashesAlone     = 2
	// instant is the time within which crashes count once: engines of a rack end
	// together, whatever they serve.
	instant = 100 * time.Millisecond
	// reportJitter is how far daemons' times of one crash may differ.
	reportJitter = 2 * time.Millisecond
	// minCommonEnds is the number of engines that end within an instant for a common cause,
	// such as a rack's power. A key counts there only if it was at three quarters of them.
	minCommonEnds = 6
	// SettleTime is how long after a crash the reports of all daemons have arrived, as a
	// rule. Before, a request may only seem to be alone at the engines.
	SettleTime = 30 * time.Millisecond
)

// evidence is what speaks against one key.
type evidence struct {
	key     Key
	crashes []*record
	sources sources
	// wasAnswered is Table.wasAnswered of the key.
	wasAnswered bool
}

// evidence returns what speaks against each key, with the crashes in order of time.
func (t *Table) evidence(explained map[*record]bool) map[Key]*evidence {
	all := make(map[Key]*evidence)
	for i, r := range t.crashes {
		if explained[r] {
			continue
		}
		together := t.endedWith(i)
		for key, from := range r.suspects {
			if t.isCleared(key, r.at) || isCommonEnd(key, together) {
				continue
			}
			if all[key] == nil {
				all[key] = t.newEvidence(key)
			}
			all[key].add(r, from)
		}
	}
	return all
}

// endedWith returns the crashes within an instant of the i-th, with itself.
func (t *Table) endedWith(i int) []*record {
	at := t.crashes[i].at
	first, end := i, i+1
	for first > 0 && at-t.crashes[first-1].at <= instant {
		first--
	}
	for end < len(t.crashes) && t.crashes[end].at-at <= instant {
		end++
	}
	return t.crashes[first:end]
}

// isCommonEnd reports whether engines that ended together have ended for another cause than a
// key, which too few of them had.
func isCommonEnd(key Key, together []*record) bool {
	if len(together) < minCommonEnds {
		return false
	}
	count := 0
	for _, r := range together {
		if _, suspected := r.suspects[key]; suspected {
			count++
		}
	}
	return 4*count < 3*len(together)
}

func (t *Table) newEvidence(key Key) *evidence {
	return &evidence{key: key, sources: make(sources), wasAnswered: t.wasAnswered(key)}
}

func (e *evidence) add(r *record, from sources) {
	e.crashes = append(e.crashes, r)
	for source := range from {
		e.sources[source] = true
	}
}

func (e *evidence) isEnough() bool {
	isRequest := e.key.Kind == WholeRequest
	switch {
	case isRequest && e.wasAnswered:
		return e.repetitions() >= blockingCrashesAnswered
	case isRequest:
		return e.repetitions() >= blockingCrashesOfRequest
	case e.wasAnswered:
		return e.instants() >= blockingCrashesAnswered
	case len(e.sources) < blockingSources:
		return e.instants() >= blockingCrashesOfOne
	default:
		return e.instants() >= blockingCrashes
	}
}

// instants counts the crashes, those at one instant once.
func (e *evidence) instants() int {
	return len(e.instantTimes())
}

// instantTimes returns the time of the first crash of each instant.
func (e *evidence) instantTimes() (times []time.Duration) {
	for i, r := range e.crashes {
		if i == 0 || r.at-times[len(times)-1] > instant {
			times = append(times, r.at)
		}
	}
	return times
}

// repetitions counts the crashes of a request, those at one instant once, unless the
// request was sent to the engine after the crash before.
func (e *evidence) repetitions() int {
	count := 0
	var last time.Duration
	for i, r := range e.crashes {
		if i == 0 || r.at-last > instant || r.sentAt[e.key] >= last-reportJitter {
			count++
			last = r.at
		}
	}
	return count
}

// isRefuted reports whether answers clear a key of so many of its crashes that the others
// are not enough to block it.
func (t *Table) isRefuted(key Key) bool {
	e, cleared := t.evidenceOf(key)
	return cleared && !e.isEnough()
}

// mayExplain reports whether one of the keys of new suspects may explain the crashes, or what
// is blocked may change.
func (t *Table) mayExplain(suspects []Suspect) bool {
	for _, suspect := range suspects {
		for _, key := range suspect.keys() {
			if t.blocks[key] != nil {
				return true
			}
			if e, _ := t.evidenceOf(key); e.isEnough() || e.isEnoughAlone() {
				return true
			}
		}
	}
	return false
}

// evidenceOf returns what speaks against one key. cleared is set if answers clear it of some
// crashes.
func (t *Table) evidenceOf(key Key) (e *evidence, cleared bool) {
	e = t.newEvidence(key)
	for i, r := range t.crashes {
		from, suspected := r.suspects[key]
		switch {
		case !suspected || isCommonEnd(key, t.endedWith(i)):
		case t.isCleared(key, r.at):
			cleared = true
		default:
			e.add(r, from)
		}
	}
	return e, cleared
}

// Changes are the keys that are blocked, and those that are no longer, after a crash.
type Changes struct {
	Blocked, Unblocked []Key
	// Unsettled is set if more may be blocked after SettleTime; see Table.Review.
	Unsettled bool
}

// Review returns what is blocked now that the reports of the last crash have arrived, and
// what is not any more.
func (t *Table) Review(now time.Duration) Changes {
	if len(t.crashes) == 0 {
		return Changes{}
	}
	return t.explain(now)
}

// explain finds the keys that explain the crashes: the one with the most crashes first, and
// then those that explain the others. It blocks them if there is enough evidence. Where others
// explain all crashes of a blocked key, it lifts the block of a part, which would refuse
// sound requests; a request may be a cause as well, and is tried soon. Of what engines have
// answered before, it suffices that not enough crashes are left.
func (t *Table) explain(now time.Duration) (changes Changes) {
	explained := make(map[*record]bool)
	found := make(map[Key]bool)
	for {
		strongest, unsettled := t.strongest(now, explained)
		changes.Unsettled = changes.Unsettled || unsettled
		if len(strongest) == 0 {
			break
		}
		for _, e := range strongest {
			found[e.key] = true
			if t.blocks[e.key] == nil {
				t.addBlock(e.key, &block{since: e.last().at, triedAt: now})
				changes.Blocked = append(changes.Blocked, e.key)
			}
			b := t.blocks[e.key]
			b.isAmbiguous, b.isEarly = len(strongest) > 1, !e.isEnough()
		}
		for _, e := range strongest {
			t.markExplained(e.key, explained)
		}
	}
	for key, e := range t.evidence(nil) {
		b := t.blocks[key]
		switch {
		case b == nil || found[key] || !e.isExplained(explained):
		case key.Kind == WholeRequest && !e.wasAnswered:
			b.isAmbiguous = true
		default:
			delete(t.blocks, key)
			t.unblockedAt[key] = now
			changes.Unblocked = append(changes.Unblocked, key)
		}
	}
	return changes
}

// isExplained reports whether others explain all crashes of the key, or some if engines have
// answered it before.
func (e *evidence) isExplained(explained map[*record]bool) bool {
	if e.wasAnswered {
		return slices.ContainsFunc(e.crashes, func(r *record) bool { return explained[r] })
	}
	return !slices.ContainsFunc(e.crashes, func(r *record) bool { return !explained[r] })
}

func (t *Table) markExplained(key Key, explained map[*record]bool) {
	for _, r := range t.crashes {
		if _, suspected := r.suspects[key]; suspected {
			explained[r] = true
		}
	}
}

// strongest returns the keys that come next: the one with the most crashes that are not
// explained, among those that are blocked or have enough evidence, and those that were at
// the same engines, which nothing tells from it, not even earlier answers. unsettled is set
// if another one may have enough once all reports have arrived.
func (t *Table) strongest(now time.Duration, explained map[*record]bool) (found []*evidence, unsettled bool) {
	var candidates []*evidence
	all := t.evidence(explained)
	for _, e := range all {
		switch {
		case t.blocks[e.key] != nil && !e.wasAnswered || e.isEnough():
			candidates = append(candidates, e)
		case !e.isEnoughAlone() || !isAlone(e, all):
		case now-e.last().at >= SettleTime:
			candidates = append(candidates, e)
		default:
			unsettled = true
		}
	}
	if len(candidates) == 0 {
		return nil, unsettled
	}
	slices.SortFunc(candidates, t.compareStrength)
	first := preferUnanswered(candidates)
	for _, e := range candidates {
		if slices.Equal(e.crashes, first.crashes) && (first.wasAnswered || !e.wasAnswered) {
			found = append(found, e)
		}
	}
	return t.narrowest(found), unsettled
}

// preferUnanswered returns the first candidate, unless engines have answered its key before,
// and another one of its kind or a prompt part was never answered: what sound requests share
// with crashing ones was at all of their crashes, and at others by chance.
func preferUnanswered(candidates []*evidence) *evidence {
	first := candidates[0]
	if !first.wasAnswered {
		return first
	}
	for _, e := range candidates {
		if (e.key.Kind == first.key.Kind || e.key.Kind == PromptPart) && !e.wasAnswered {
			return e
		}
	}
	return first
}

// isExplainedByOther reports whether engines have answered a key before, and blocked keys that
// they never answered were at all crashes that speak against it.
func (t *Table) isExplainedByOther(key Key) bool {
	if !t.wasAnswered(key) {
		return false
	}
	isCause := func(other Key) bool { return other != key && t.blocks[other] != nil && !t.wasAnswered(other) }
	explained := false
	for _, r := range t.crashes {
		if _, suspected := r.suspects[key]; !suspected || t.isCleared(key, r.at) {
			continue
		}
		if explained = containsKey(r.suspects, isCause); !explained {
			return false
		}
	}
	return explained
}

func containsKey(suspects map[Key]sources, matches func(Key) bool) bool {
	for key := range suspects {
		if matches(key) {
			return true
		}
	}
	return false
}

// compareStrength orders what has more crashes first, and of as many what is blocked.
func (t *Table) compareStrength(a, b *evidence) int {
	isBlocked := func(e *evidence) int {
		if t.blocks[e.key] != nil {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(isBlocked(b), isBlocked(a)), compareKeys(a.key, b.key))
}

// isEnoughAlone reports whether the evidence against a request suffices if no other one was
// at the same engines.
func (e *evidence) isEnoughAlone() bool {
	return e.key.Kind == WholeRequest && !e.wasAnswered && e.repetitions() >= blockingCrashesAlone
}

func (e *evidence) last() *record {
	return e.crashes[len(e.crashes)-1]
}

// isAlone reports whether no other request was at all crashes of one.
func isAlone(e *evidence, all map[Key]*evidence) bool {
	for _, other := range all {
		if other.key.Kind == WholeRequest && other != e && len(other.crashes) >= len(e.crashes) && containsAll(other.crashes, e.crashes) {
			return false
		}
	}
	return true
}

func containsAll(crashes, others []*record) bool {
	return !slices.ContainsFunc(others, func(r *record) bool { return !slices.Contains(crashes, r) })
}

// narrowest leaves out parts that only one session has brought to the engines, if a whole
// request explains the crashes as well: blocking the request takes less away.
func (t *Table) narrowest(found []*evidence) []*evidence {
	if !slices.ContainsFunc(found, func(e *evidence) bool { return e.key.Kind == WholeRequest }) {
		return found
	}
	return slices.DeleteFunc(found, func(e *evidence) bool {
		return e.key.Kind == PromptPart && len(e.sources) < blockingSources && t.blocks[e.key] == nil
	})
}
