package locator

import (
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/origin"
)

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

// SoftwareVersions returns the versions that a service's engines have had within
// origin.VersionMemory, as far as this daemon has seen, and whether the version of each engine
// is known.
func (l *Locator) SoftwareVersions(service string) (versions []string, known bool) {
	now := clock.Boot()
	l.mu.Lock()
	defer l.mu.Unlock()
	known = true
	for _, v := range l.services[service] {
		known = known && v.softwareVersion() != ""
		l.recordVersion(now, v)
	}
	for version, seenAt := range l.versionsSeenAt[service] {
		if now-seenAt >= origin.VersionMemory {
			delete(l.versionsSeenAt[service], version)
			continue
		}
		versions = append(versions, version)
	}
	return versions, known
}

// SoftwareVersionsInUse returns the versions of a service's registered engines.
func (l *Locator) SoftwareVersionsInUse(service string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var versions []string
	for _, v := range l.services[service] {
		if version := v.upstream.SoftwareVersion; version != "" && !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	return versions
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
