package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/mirror"
	"github.com/barleylift/barleylift/internal/origin"
	"github.com/barleylift/barleylift/internal/topology"
)

const (
	// softwarePrefix is the prefix of the keys of the services' software versions, and
	// originPrefix that of the segments of streams' origins.
	softwarePrefix = keyPrefix + "software/"
	originPrefix   = keyPrefix + "origins/"
	// archiveInterval is the time between two segments of an archivist, archiveTTL how long
	// their origins hold, and archiveLeaseTime how long one lease is used for new segments.
	archiveInterval  = 300 * time.Millisecond
	archiveTTL       = origin.VersionMemory
	archiveLeaseTime = 15 * time.Second
)

// software is what this daemon knows of software versions from the key-value service. It is safe
// for concurrent use.
type software struct {
	mu sync.Mutex // guards the fields below; held for lookups and updates only
	// records holds the services' versions, and revisions those of their keys.
	records   map[string]origin.VersionRecord
	revisions map[string]int64
	// newest is the highest revision at which an upstream's process registered or a record
	// changed.
	newest  int64
	archive *origin.Archive
	pending origin.Pending

	// announced holds when this daemon last had a version written as in use, by clock.Boot.
	announced map[usedVersion]time.Duration
	// due is signaled when a version is to be written.
	due chan struct{}

	// several is set while a service has had more than one version lately.
	several atomic.Bool
	// lease, leaseAt and segments belong to the goroutine that writes segments: the lease of
	// new ones, when it was granted, and their number.
	lease    infra.LeaseID
	leaseAt  time.Duration
	segments int
}

func newSoftware() *software {
	return &software{records: make(map[string]origin.VersionRecord), revisions: make(map[string]int64), archive: origin.NewArchive(), announced: make(map[usedVersion]time.Duration), due: make(chan struct{}, 1)}
}

// applySoftwareKey applies a change of a key with software versions or streams' origins.
func (g *Gateway) applySoftwareKey(change mirror.Change) {
	if service, ok := strings.CutPrefix(change.Entry.Key, softwarePrefix); ok {
		g.applyVersionRecord(service, change)
		return
	}
	if !strings.HasPrefix(change.Entry.Key, originPrefix) || change.Deleted {
		return
	}
	segment, err := origin.DecodeSegment(change.Entry.Value)
	if err != nil {
		g.log.Warn("invalid segment of streams' origins ignored", "key", change.Entry.Key, "error", err)
		return
	}
	s := g.software
	s.mu.Lock()
	defer s.mu.Unlock()
	s.archive.Add(clock.Boot(), time.Now(), segment)
}

func (g *Gateway) applyVersionRecord(service string, change mirror.Change) {
	var record origin.VersionRecord
	if !change.Deleted {
		if err := json.Unmarshal(change.Entry.Value, &record); err != nil {
			g.log.Warn("invalid record of software versions ignored", "key", change.Entry.Key, "error", err)
		}
	}
	s := g.software
	s.mu.Lock()
	defer s.mu.Unlock()
	if change.Deleted || record.LastUsed == nil {
		delete(s.records, service)
	} else {
		s.records[service] = record
	}
	s.revisions[service] = change.Entry.ModRevision
	s.newest = max(s.newest, change.Entry.ModRevision)
	if change.Deleted {
		s.revisions[service] = 0
	}
}

// raise records that software may have changed at a revision.
func (s *software) raise(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest = max(s.newest, revision)
}

// newestRevision returns the highest revision at which software may have changed.
func (s *software) newestRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest
}

// noteProcess records a registration that is about to be applied, if it is of another process
// than before. Of an upstream that wasn't known, the process may be as old as the registration.
func (g *Gateway) noteProcess(entry infra.Entry, upstream topology.Upstream) {
	g.mu.Lock()
	current, isKnown := g.upstreams[upstream.ID]
	g.mu.Unlock()
	switch {
	case !isKnown:
		g.software.raise(entry.CreateRevision)
	case !upstream.SameProcess(current) || upstream.SoftwareVersion != current.SoftwareVersion:
		g.software.raise(entry.ModRevision)
	}
}

// OnlySoftwareVersion implements relay.Origins. What this daemon has seen may be old: it may
// have been cut off or paused while engines of another version joined. So the key-value service
// is asked.
func (g *Gateway) OnlySoftwareVersion(ctx context.Context, service string, named bool) (string, bool) {
	if named && g.hasSeenVersionsLongEnough() {
		return "", false
	}
	versions, complete := g.versionsLately(service)
	if !complete || len(versions) != 1 || !g.isOnlyRecordedVersion(ctx, service, versions[0]) {
		return "", false
	}
	return versions[0], true
}

// hasSeenVersionsLongEnough reports whether this daemon has seen all software versions itself
// that streams which callers take up may have begun at.
func (g *Gateway) hasSeenVersionsLongEnough() bool {
	began := time.Duration(g.softwareSeenFrom.Load())
	return began != 0 && clock.Boot()-began > origin.VersionMemory
}

// versionsLately returns the software versions that a service's engines have had lately, and
// whether there are surely no others: this daemon has seen them for long enough, or knows from
// the key-value service what was in use before.
func (g *Gateway) versionsLately(service string) (versions []string, complete bool) {
	versions, known := g.locator.SoftwareVersions(service)
	if g.hasSeenVersionsLongEnough() {
		return versions, known
	}
	s := g.software
	s.mu.Lock()
	defer s.mu.Unlock()
	record, isRecorded := s.records[service]
	recorded, complete := record.Lately(time.Now())
	for _, version := range recorded {
		if !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	return versions, known && isRecorded && complete
}

// storeSoftwareVersions writes the records of the services of which this daemon is the steward,
// the first member in the rendezvous order of the record's key.
func (g *Gateway) storeSoftwareVersions(ctx context.Context) {
	several := false
	table := g.relay.Table()
	if table == nil || !g.firstReadApplied.Load() {
		return
	}
	for _, service := range table.Services() {
		if service.Engines == nil {
			continue
		}
		versions, _ := g.versionsLately(service.Name)
		several = several || len(versions) > 1
		if g.storeDisconnected() {
			continue
		}
		if steward, _, ok := g.firstMember(softwarePrefix + service.Name); ok && steward == g.keeper.Self().Name {
			g.storeVersionRecord(ctx, service.Name)
		}
	}
	g.software.several.Store(several)
}

func (g *Gateway) storeVersionRecord(ctx context.Context, service string) {
	now := time.Now()
	s := g.software
	s.mu.Lock()
	record, revision := s.records[service], s.revisions[service]
	s.mu.Unlock()
	inUse := g.locator.SoftwareVersionsInUse(service)
	if len(inUse) == 0 {
		return
	}
	updated, changed := record.Updated(now, inUse)
	if record.LastUsed == nil {
		changed = true
		if !g.settings.Load().FirstStart || g.era.Load() > 1 {
			updated.Since = now.UnixMilli()
		}
	}
	if !changed {
		return
	}
	value, err := json.Marshal(updated)
	if err != nil {
		panic("gateway: " + err.Error()) // texts and numbers can always be encoded
	}
	key := softwarePrefix + service
	condition := infra.ModifiedAt(key, revision)
	if revision == 0 {
		condition = infra.Absent(key)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	result, err := g.platform.Store().Txn(ctx, infra.Txn{If: []infra.Compare{condition}, Then: []infra.Op{infra.Put(key, value)}})
	if err != nil || !result.Succeeded {
		g.log.Warn("record of software versions not written, retrying", "service", service, "error", err)
		return
	}
	g.log.Info("software versions recorded", "service", service, "in_use", inUse, "since", updated.Since)
}

// archiveOrigin has the origin of a stream written to the key-value service, if engines of several
// versions serve.
func (g *Gateway) archiveOrigin(request, softwareVersion string, names []string, send func(name string)) {
	if !g.software.several.Load() {
		return
	}
	archivist, ok := origin.Archivist(request, origin.Archivists(names))
	switch {
	case !ok:
	case archivist == g.keeper.Self().Name:
		g.addToArchive(request, softwareVersion)
	default:
		send(archivist)
	}
}

// addToArchive adds a stream's origin to the next segment of this daemon.
func (g *Gateway) addToArchive(request, softwareVersion string) {
	s := g.software
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending.Add(request, softwareVersion)
}

// receiveOrigin keeps the origin of another daemon's stream, and archives it if this daemon is
// the one to do so.
func (g *Gateway) receiveOrigin(request, softwareVersion string, ttl time.Duration) {
	g.origins.record(request, softwareVersion, ttl)
	if !g.software.several.Load() {
		return
	}
	names, _ := g.liveMembers()
	if archivist, ok := origin.Archivist(request, origin.Archivists(names)); ok && archivist == g.keeper.Self().Name {
		g.addToArchive(request, softwareVersion)
	}
}

// findArchived returns the version that began the stream of a request, if a segment says so.
func (g *Gateway) findArchived(request string) (softwareVersion string, ok bool) {
	s := g.software
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.archive.Find(clock.Boot(), request)
}

// runArchive writes the pending segments.
func (g *Gateway) runArchive(ctx context.Context) {
	for clock.Sleep(ctx, archiveInterval) {
		s := g.software
		s.mu.Lock()
		value, dropped, ok := s.pending.Take(time.Now(), archiveTTL)
		s.mu.Unlock()
		if !ok || g.storeDisconnected() {
			continue
		}
		if dropped > 0 {
			g.log.Warn("origins of streams not archived, there are too many", "count", dropped)
		}
		if err := g.writeSegment(ctx, value); err != nil {
			g.log.Warn("origins of streams not archived", "error", err)
		}
	}
}

// writeSegment writes a segment under a lease, which deletes it when its origins hold no longer.
func (g *Gateway) writeSegment(ctx context.Context, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	s := g.software
	if s.lease == 0 || clock.Boot()-s.leaseAt > archiveLeaseTime {
		lease, err := g.platform.Store().Grant(ctx, archiveTTL+archiveLeaseTime)
		if err != nil {
			return err
		}
		s.lease, s.leaseAt = lease, clock.Boot()
	}
	s.segments++
	put := infra.Put(fmt.Sprintf("%s%s/%x-%d", originPrefix, g.keeper.Self().Name, g.incarnation, s.segments), value)
	put.Lease = s.lease
	_, err := g.platform.Store().Txn(ctx, infra.Txn{Then: []infra.Op{put}})
	if err != nil {
		s.lease = 0
	}
	return err
}
