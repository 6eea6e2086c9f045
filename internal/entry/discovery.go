package entry

import (
	"cmp"
	"fmt"
	"math"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/barleylift/barleylift/internal/ownership"
)

// maxEntries limits the addresses in one response.
const maxEntries = 6

// entriesResponse is the response body of GET /v1/entries.
type entriesResponse struct {
	// Entries are host:port addresses in the order in which to try them.
	Entries []string `json:"entries"`
	// KeepSeconds is how long the response may be cached.
	KeepSeconds int `json:"keep_seconds"`
}

// serveEntries returns the entry addresses that a caller should use. The
// optional zone query parameter is the caller's availability zone.
func (h *Handler) serveEntries(w http.ResponseWriter, r *http.Request) {
	zone := r.URL.Query().Get("zone")
	if zone == "" {
		zone = h.cfg.View.Self().Zone
	}
	keep := int(math.Ceil(h.cfg.EntriesMaxAge.Seconds()))
	w.Header().Set("Cache-Control", fmt.Sprintf("private, max-age=%d", keep))
	writeJSON(w, entriesResponse{
		Entries:     rankEntries(h.cfg.View.Members(), zone, h.regionOf(zone), r.RemoteAddr),
		KeepSeconds: keep,
	})
}

func (h *Handler) regionOf(zone string) string {
	if snapshot := h.cfg.Snapshot(); snapshot != nil {
		if z, ok := snapshot.Zone(zone); ok {
			return z.Region
		}
	}
	return h.cfg.View.Self().Region
}

// rankEntries returns the addresses of members that are not leaving: the same
// zone first, then the same region, then the rest. Within each group the order
// depends on the caller's address and port, to spread callers over daemons.
func rankEntries(members []ownership.Member, zone, region, caller string) []string {
	type candidate struct {
		address  string
		distance int
		hash     uint64
	}
	var candidates []candidate
	for _, m := range members {
		if m.Leaving || m.EntryAddress == "" {
			continue
		}
		candidates = append(candidates, candidate{m.EntryAddress, distance(m, zone, region), hashPair(caller, m.Name)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.hash, b.hash), cmp.Compare(a.address, b.address))
	})
	addresses := make([]string, 0, maxEntries)
	for _, c := range candidates[:min(len(candidates), maxEntries)] {
		addresses = append(addresses, c.address)
	}
	return addresses
}

func distance(m ownership.Member, zone, region string) int {
	switch {
	case m.Zone == zone:
		return 0
	case m.Region == region:
		return 1
	default:
		return 2
	}
}

// hashPair hashes two strings; the separator occurs in neither.
func hashPair(a, b string) uint64 {
	return xxhash.Sum64String(a + "\x00" + b)
}
