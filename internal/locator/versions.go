package locator

import (
	"slices"
	"strconv"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/topology"
	"github.com/cespare/xxhash/v2"
)

// versionGrace is how long an older version may still begin requests after this
// daemon has learned of a newer one, so that the newer one can be loaded in the
// meantime. It is well below the platform's limit of 5 s, because propagating
// the version takes time too.
const versionGrace = 2 * time.Second

// versions holds the versions of an adapter that the operator has set.
type versions struct {
	newest int64
	// older lists the versions that may still begin requests, oldest first, and some for which
	// that is over.
	older []olderVersion
}

// olderVersion is a version that was the newest one until supersededAt, by clock.Boot.
type olderVersion struct {
	version      int64
	supersededAt time.Duration
}

// at returns the version that requests need, and the oldest one that they may
// still use. Each version's time counts from when this daemon learned of the next one,
// however many follow.
func (v versions) at(now time.Duration) (needed, allowed int64) {
	for _, o := range v.older {
		if now-o.supersededAt < versionGrace {
			return v.newest, o.version
		}
	}
	return v.newest, v.newest
}

// with returns the versions after a newer one was learned of at now.
func (v versions) with(version int64, now time.Duration) versions {
	older := slices.DeleteFunc(slices.Clone(v.older), func(o olderVersion) bool { return now-o.supersededAt >= versionGrace })
	return versions{newest: version, older: append(older, olderVersion{v.newest, now})}
}

// SetVersion sets the version of an adapter. A version that is not newer than
// the current one is ignored.
func (l *Locator) SetVersion(adapter topology.Adapter, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.versions[adapter]
	if version <= current.newest {
		return
	}
	l.versions[adapter] = current.with(version, clock.Boot())
}

// VersionsDigest returns a digest of the newest versions of all adapters.
func (l *Locator) VersionsDigest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sum uint64
	for adapter, v := range l.versions {
		sum += xxhash.Sum64String(adapter.String() + "@" + strconv.FormatInt(v.newest, 10))
	}
	return sum
}

// NeededVersion returns the version of an adapter to load; 0 if none was set.
func (l *Locator) NeededVersion(adapter topology.Adapter) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.versions[adapter].newest
}

// requestVersion returns the version that a request needs at an engine: the
// newest, or the older one while that may still be used and the engine holds
// it. A request for the newest would make the owner replace the older one at
// once.
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
