package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/origin"
)

const (
	// versionReadTimeout bounds a read of a service's software versions, for which the caller of
	// a stream waits.
	versionReadTimeout = 300 * time.Millisecond
	// reannounceInterval is how long a daemon waits for its copy of the key-value service to show
	// what it has written, before it writes it again.
	reannounceInterval = 10 * time.Second
)

// usedVersion is a software version of a service's engines.
type usedVersion struct{ service, version string }

// isOnlyRecordedVersion reports whether the key-value service has no other software version of a
// service that streams may have begun at. A daemon that can't reach the service takes its own
// view for complete only if all others have lost the service too, else they may have seen
// engines join since, and if none knows of software that its copy may lack.
func (g *Gateway) isOnlyRecordedVersion(ctx context.Context, service, version string) bool {
	ctx, cancel := context.WithTimeout(ctx, versionReadTimeout)
	defer cancel()
	entry, err := g.platform.Store().Get(ctx, softwarePrefix+service)
	if err != nil {
		lostByAll, copied, newest := g.storeUnreachableByAll(), g.mirror.Revision(), g.peers.newestReported(clock.Boot(), newestSoftware)
		g.log.Info("software versions can't be read", "service", service, "version", version, "store_lost_by_all", lostByAll, "copied_revision", copied, "newest_software", newest, "error", err)
		return lostByAll && copied >= newest
	}
	var record origin.VersionRecord
	if entry.Exists() {
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			g.log.Warn("invalid record of software versions", "key", entry.Key, "error", err)
			return false
		}
	}
	recorded, _ := record.Lately(time.Now())
	isOnly := len(recorded) == 1 && recorded[0] == version
	if !isOnly {
		g.log.Info("this daemon's view of software versions differs from the record", "service", service, "version", version, "recorded", recorded)
	}
	return isOnly
}

// announceVersion has the record of a service written if it doesn't name a software version at
// which a stream begins: other daemons rely on it. It does not block.
func (g *Gateway) announceVersion(service, version string) {
	s := g.software
	used := usedVersion{service, version}
	now := clock.Boot()
	s.mu.Lock()
	lastUsed, isRecorded := s.records[service].LastUsed[version]
	at, isAnnounced := s.announced[used]
	isDue := (!isRecorded || lastUsed != 0) && (!isAnnounced || now-at > reannounceInterval)
	if isDue {
		s.announced[used] = now
	}
	s.mu.Unlock()
	if !isDue {
		return
	}
	select {
	case s.due <- struct{}{}:
	default:
	}
}

// runVersionRecords writes the services' records when announceVersion has found that a version
// is missing there.
func (g *Gateway) runVersionRecords(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.software.due:
		}
		table := g.relay.Table()
		if table == nil {
			continue
		}
		for _, service := range table.Services() {
			if service.Engines != nil {
				g.storeVersionRecord(ctx, service.Name)
			}
		}
	}
}
