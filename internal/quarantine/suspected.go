package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/topology"
)

// maxSuspected bounds the list of suspected parts.
const maxSuspected = 16

// recalled stands for the processes of recalled crashes.
var recalled = Process{}

// Suspected is a part that one more crash would block, with the first crash of each instant.
type Suspected struct {
	Key     Key
	Crashes []time.Duration
}

// Suspected returns the parts that aren't blocked and that one more crash would block, those of
// the latest crashes first.
func (t *Table) Suspected() (suspected []Suspected) {
	if len(t.crashes) < blockingCrashes-1 {
		return nil
	}
	for key, e := range t.evidence(nil) {
		if key.Kind != PromptPart || t.blocks[key] != nil || e.wasAnswered || len(e.sources) < blockingSources {
			continue
		}
		if instants := e.instantTimes(); len(instants) == blockingCrashes-1 {
			suspected = append(suspected, Suspected{key, instants})
		}
	}
	slices.SortFunc(suspected, func(a, b Suspected) int {
		return cmp.Or(cmp.Compare(b.last(), a.last()), compareKeys(a.Key, b.Key))
	})
	return suspected[:min(len(suspected), maxSuspected)]
}

func (s Suspected) last() time.Duration {
	return s.Crashes[len(s.Crashes)-1]
}

// Recall adds crashes under a part that daemons knew before they ended, and reports whether it
// has: a table that knows of crashes under the part needs none.
func (t *Table) Recall(now time.Duration, key Key, crashes []time.Duration) bool {
	t.sweep(now)
	if len(crashes) == 0 || len(crashes) >= blockingCrashes || now-slices.Max(crashes) > evidenceTTL || t.isSuspected(key) {
		return false
	}
	for _, at := range crashes {
		t.addRecalled(key, min(at, now))
	}
	return true
}

// addRecalled adds a crash of a process that is not known any more, under as many requests as
// count. Parts that are recalled of one instant were at one crash.
func (t *Table) addRecalled(key Key, at time.Duration) {
	isSame := func(r *record) bool { return r.process == recalled && (r.at-at).Abs() <= instant }
	var r *record
	if i := slices.IndexFunc(t.crashes, isSame); i >= 0 {
		r = t.crashes[i]
	} else {
		r = t.addRecord(Crash{Process: recalled, At: at})
	}
	for n := range blockingSources {
		addSource(r.suspects, key, topology.PromptPart(n))
	}
}
