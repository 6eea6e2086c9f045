package locator

import (
	"time"

	"github.com/barleylift/barleylift/internal/clock"
)

// versionMemory is how long a software version counts as in use after the last
// engine with it is gone: longer than any stream that callers take up.
const versionMemory = time.Minute

// SoftwareVersion returns the version of the software of a process; empty if it is
// unknown or the process is not the current one.
func (l *Locator) SoftwareVersion(id string, incarnation int64) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.views[id]; v != nil && v.upstream.Incarnation == incarnation {
		return v.softwareVersion()
	}
	return ""
}

// OnlySoftwareVersion returns the version of all engines that a service has had for
// versionMemory, as far as this daemon knows. It returns false if there were several,
// or one is unknown.
func (l *Locator) OnlySoftwareVersion(service string) (string, bool) {
	now := clock.Boot()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range l.services[service] {
		if v.softwareVersion() == "" {
			return "", false
		}
		l.recordVersion(now, v)
	}
	only, found := "", 0
	for version, seenAt := range l.versionsSeenAt[service] {
		if now-seenAt >= versionMemory {
			delete(l.versionsSeenAt[service], version)
			continue
		}
		only = version
		found++
	}
	return only, found == 1
}

// recordVersion records that an engine's software version, if known, is in use. The
// caller holds mu.
func (l *Locator) recordVersion(now time.Duration, v *view) {
	if v.softwareVersion() == "" {
		return
	}
	seen := l.versionsSeenAt[v.upstream.Service]
	if seen == nil {
		seen = make(map[string]time.Duration)
		l.versionsSeenAt[v.upstream.Service] = seen
	}
	seen[v.softwareVersion()] = now
}
