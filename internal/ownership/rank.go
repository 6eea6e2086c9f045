package ownership

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// The weights of members in the rendezvous hashing of a resource with a zone.
// A member of another region ranks after all members of the resource's region.
const (
	sameZoneWeight   = 16.0
	sameRegionWeight = 1.0
)

// location is the zone and region of a resource, as far as known.
type location struct {
	zone   string
	region string
}

// score orders the members for a resource; the greater one ranks first.
type score struct {
	inRegion bool
	value    float64
	name     string
}

func (s score) before(other score) bool {
	if s.inRegion != other.inRegion {
		return s.inRegion
	}
	if s.value != other.value {
		return s.value > other.value
	}
	return s.name < other.name
}

// scoreOf computes a member's score by weighted rendezvous hashing, -w/ln(u)
// with u uniform in (0, 1) by hash (Schindelhauer and Schomaker, Weighted
// distributed hash tables, 2005).
func scoreOf(r Resource, at location, m Member) score {
	inRegion := at.region == "" || m.Region == at.region || m.Zone == at.zone
	weight := sameRegionWeight
	if at.zone != "" && m.Zone == at.zone {
		weight = sameZoneWeight
	}
	return score{inRegion: inRegion, value: -weight / math.Log(uniform(string(r.Kind), r.ID, m.Name)), name: m.Name}
}

// uniform maps the parts by hash to a number in the open interval (0, 1).
func uniform(parts ...string) float64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	const bits = 53
	return (float64(digest.Sum64()>>(64-bits)) + 0.5) / (1 << bits)
}

// rankOf returns how many of the members that are not leaving rank before
// self for the resource.
func rankOf(r Resource, at location, self Member, members map[string]registeredMember) int {
	own := scoreOf(r, at, self)
	rank := 0
	for name, m := range members {
		if name == self.Name || m.Leaving {
			continue
		}
		if scoreOf(r, at, m.Member).before(own) {
			rank++
		}
	}
	return rank
}
