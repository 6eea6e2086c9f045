package origin

import (
	"time"

	"github.com/barleylift/barleylift/internal/placement"
)

const (
	// maxOrigins bounds the table: about 100 bytes each.
	maxOrigins = 20_000
	// sweepInterval is the time between two removals of expired origins.
	sweepInterval = 5 * time.Second
	// smallFleet is the size of a fleet up to which each origin is kept by two
	// other daemons, as several daemons of a small fleet may be lost at once. In
	// larger ones one is enough.
	smallFleet = 64
	// lookupExtra is how many more daemons are asked than keep an origin: the first
	// ones may have changed since, or be the daemon that recorded it.
	lookupExtra = 2
)

// record is a known origin.
type record struct {
	softwareVersion string
	expiresAt       time.Duration
}

// Table holds the origins that one daemon keeps. It is not safe for concurrent use.
type Table struct {
	records map[string]record
	sweptAt time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: make(map[string]record)}
}

// Record records which software version began the stream of a request.
func (t *Table) Record(now time.Duration, request, softwareVersion string, ttl time.Duration) {
	if now-t.sweptAt > sweepInterval {
		t.sweep(now)
	}
	if len(t.records) >= maxOrigins {
		for any := range t.records {
			delete(t.records, any)
			break
		}
	}
	t.records[request] = record{softwareVersion: softwareVersion, expiresAt: now + ttl}
}

// Find returns which software version began the stream of a request, if it is
// known.
func (t *Table) Find(now time.Duration, request string) (softwareVersion string, ok bool) {
	r, ok := t.records[request]
	if !ok || now >= r.expiresAt {
		return "", false
	}
	return r.softwareVersion, true
}

func (t *Table) sweep(now time.Duration) {
	t.sweptAt = now
	for request, r := range t.records {
		if now >= r.expiresAt {
			delete(t.records, request)
		}
	}
}

// Keepers returns the daemons, of all those of a fleet, that keep the origin of a
// request beside the one that records it.
func Keepers(request, self string, daemons []string) []string {
	return ranked(request, self, daemons, keeperCount(len(daemons)))
}

// Askable returns the daemons to ask for the origin of a request.
func Askable(request, self string, daemons []string) []string {
	return ranked(request, self, daemons, keeperCount(len(daemons))+lookupExtra)
}

func keeperCount(daemons int) int {
	if daemons <= smallFleet {
		return 2
	}
	return 1
}

func ranked(request, self string, daemons []string, n int) []string {
	candidates := make([]placement.Candidate, 0, len(daemons))
	for _, name := range daemons {
		if name != self {
			candidates = append(candidates, placement.Candidate{Engine: name})
		}
	}
	var names []string
	for _, c := range placement.Rank(candidates, request, n) {
		names = append(names, c.Engine)
	}
	return names
}
