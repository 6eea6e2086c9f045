package locator

import (
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/topology"
)

// versionGrace is how long an older version may still begin requests after a
// newer one was learned, so that the newer one can be loaded beside it. It
// leaves room within the platform's five seconds for what learning took.
const versionGrace = 2 * time.Second

// versions is what the operator named for an adapter.
type versions struct {
	newest    int64
	previous  int64
	learnedAt time.Duration
}

// at returns the version that requests need, and the oldest one that they may
// still use.
func (v versions) at(now time.Duration) (needed, allowed int64) {
	if now-v.learnedAt < versionGrace {
		return v.newest, v.previous
	}
	return v.newest, v.newest
}

// SetVersion takes over a named version of an adapter. An older one than the
// newest that is known changes nothing.
func (l *Locator) SetVersion(adapter topology.Adapter, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.versions[adapter]
	if version <= known.newest {
		return
	}
	_, allowed := known.at(clock.Boot())
	l.versions[adapter] = versions{newest: version, previous: allowed, learnedAt: clock.Boot()}
}

// NeededVersion returns the version of an adapter that a load is to bring; 0 if none
// was named.
func (l *Locator) NeededVersion(adapter topology.Adapter) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.versions[adapter].newest
}

// requestVersion returns the version that a request asks an engine for: the newest,
// or the older one while that may still be used and the engine holds it. Asking
// for the newest there would make its owner replace the older one at once.
func (l *Locator) requestVersion(engine string, adapter topology.Adapter) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	needed, allowed := l.versions[adapter].at(clock.Boot())
	v := l.views[engine]
	if v == nil {
		return needed
	}
	if held, ok := v.held[adapter]; ok && held >= allowed && held < needed {
		return allowed
	}
	return needed
}
