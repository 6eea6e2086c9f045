package origin

import (
	"maps"
	"slices"
	"time"
)

const (
	// VersionMemory is how long a software version counts as in use after the last engine
	// with it is gone: longer than any stream that callers take up.
	VersionMemory = time.Minute
	// recordMargin is added to it for the times in a VersionRecord, as the clocks of VMs differ.
	recordMargin = 10 * time.Second
)

// VersionRecord says which software versions the engines of a service have had lately. The
// key-value service keeps it for daemons that have just started. Times are in Unix milliseconds
// by the clocks of the daemons that wrote them.
type VersionRecord struct {
	// Since is from when on the record is complete; 0 if no stream is older than the record.
	Since int64 `json:"since,omitempty"`
	// LastUsed holds when each version was last in use; 0 while it is.
	LastUsed map[string]int64 `json:"last_used"`
}

// Updated returns the record after a daemon has seen which versions are in use, and whether it
// differs. A version that is no longer in use counts as in use until now.
func (r VersionRecord) Updated(now time.Time, inUse []string) (updated VersionRecord, changed bool) {
	updated = VersionRecord{Since: r.Since, LastUsed: make(map[string]int64, len(r.LastUsed))}
	for version, lastUsed := range r.LastUsed {
		if lastUsed == 0 && !slices.Contains(inUse, version) {
			lastUsed = now.UnixMilli()
		}
		if lastUsed == 0 || !isOld(now, lastUsed) {
			updated.LastUsed[version] = lastUsed
		}
	}
	for _, version := range inUse {
		updated.LastUsed[version] = 0
	}
	return updated, !maps.Equal(updated.LastUsed, r.LastUsed)
}

// Lately returns the versions that streams which callers take up may have begun at, and whether
// the record is complete for that time.
func (r VersionRecord) Lately(now time.Time) (versions []string, complete bool) {
	for version, lastUsed := range r.LastUsed {
		if lastUsed == 0 || !isOld(now, lastUsed) {
			versions = append(versions, version)
		}
	}
	return versions, r.Since == 0 || isOld(now, r.Since)
}

func isOld(now time.Time, at int64) bool {
	return now.Sub(time.UnixMilli(at)) > VersionMemory+recordMargin
}
