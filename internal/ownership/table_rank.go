package ownership

import "time"

// computeRank computes this daemon's standing for the slot's resource.
func (t *table) computeRank(s *resourceState) {
	s.location = t.locationOf(s.resource)
	s.ownScore = scoreOf(s.resource, s.location, t.self)
	s.rank = rankOf(s.resource, s.location, t.self, t.members)
	s.rankValid = true
}

// locationOf returns the resource's zone and its region, which comes from the
// configuration or else from a member in the zone.
func (t *table) locationOf(r Resource) location {
	at := location{zone: r.Zone}
	if r.Zone == "" {
		return at
	}
	if t.rules.regionOf != nil {
		at.region = t.rules.regionOf(r.Zone)
		return at
	}
	for _, m := range t.members {
		if m.Zone == r.Zone {
			at.region = m.Region
			return at
		}
	}
	return at
}

// resetMembers takes the whole member list as it was read.
func (t *table) resetMembers(now time.Time, members map[string]registeredMember) {
	t.members = members
	for _, s := range t.resources {
		s.rankValid = false
	}
	t.scheduleAllCreates(now)
}

// putMember takes one announcement.
func (t *table) putMember(now time.Time, m registeredMember) {
	old, known := t.members[m.Name]
	t.members[m.Name] = m
	if !known && t.incarnation.settledAt.After(now) {
		t.extendSettling(now)
	}
	t.updateRanks(now, old, known, m, true)
}

// maxSettleSteps bounds how long a new incarnation waits for others to join.
const maxSettleSteps = 20

// extendSettling puts off the first creates of an incarnation while others join
// at the same time, so that the first of many does not take everything. Each
// daemon goes on at a time of its own within that of one write by each.
func (t *table) extendSettling(now time.Time) {
	limit := latest(t.incarnation.settledAt, t.incarnation.startedAt.Add(maxSettleSteps*t.rules.takeoverStep))
	turn := time.Duration(uniform(t.self.Name) * float64(t.writeTime(len(t.members))))
	settled := latest(t.incarnation.settledAt, now.Add(t.rules.takeoverStep+turn))
	if settled.Before(limit) {
		t.incarnation.settledAt = settled
	}
}

// removeMember takes the end of one announcement.
func (t *table) removeMember(now time.Time, name string) {
	old, known := t.members[name]
	delete(t.members, name)
	t.updateRanks(now, old, known, registeredMember{}, false)
}

// updateRanks adjusts the ranks of waiting resources to the change of one member,
// at the cost of one hash per resource and not one per resource and member.
func (t *table) updateRanks(now time.Time, old registeredMember, hadOld bool, fresh registeredMember, hasNew bool) {
	for _, s := range t.resources {
		if s.phase != waiting {
			continue
		}
		if hasNew && t.rules.regionOf == nil && fresh.Zone == s.location.zone && fresh.Region != s.location.region {
			s.rankValid = false
		}
		if s.rankValid {
			s.rank += t.rankContribution(s, fresh, hasNew) - t.rankContribution(s, old, hadOld)
		}
		t.scheduleCreate(now, s)
	}
}

// rankContribution returns 1 if the member ranks before this daemon for the resource, else 0.
func (t *table) rankContribution(s *resourceState, m registeredMember, exists bool) int {
	if !exists || m.Leaving || m.Name == t.self.Name {
		return 0
	}
	if scoreOf(s.resource, s.location, m.Member).before(s.ownScore) {
		return 1
	}
	return 0
}
