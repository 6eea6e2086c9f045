package ownership

import "time"

// computeRank computes this daemon's rank for the resource.
func (t *table) computeRank(s *resourceState) {
	s.location = t.locationOf(s.resource)
	s.ownScore = scoreOf(s.resource, s.location, t.self)
	s.rank = rankOf(s.resource, s.location, t.self, t.members)
	s.rankValid = true
}

// locationOf returns the resource's zone and its region, which comes from the
// configuration or else from a member in the zone.
func (t *table) locationOf(r Resource) location {
	loc := location{zone: r.Zone}
	if r.Zone == "" {
		return loc
	}
	if t.rules.regionOf != nil {
		loc.region = t.rules.regionOf(r.Zone)
		return loc
	}
	for _, m := range t.members {
		if m.Zone == r.Zone {
			loc.region = m.Region
			return loc
		}
	}
	return loc
}

// resetMembers replaces the whole member list.
func (t *table) resetMembers(now time.Time, members map[string]registeredMember) {
	t.members = members
	for _, s := range t.resources {
		s.rankValid = false
	}
	t.scheduleAllCreates(now)
}

// putMember applies one member's announcement.
func (t *table) putMember(now time.Time, m registeredMember) {
	old, known := t.members[m.Name]
	t.members[m.Name] = m
	if !known && t.incarnation.settledAt.After(now) {
		t.extendSettling(now)
	}
	t.updateRanks(now, old, known, m, true)
}

// maxSettleSteps bounds how long a new incarnation waits for others to join, in
// takeover steps.
const maxSettleSteps = 20

// extendSettling postpones the first creates of an incarnation while others join,
// which keeps the first of many daemons from acquiring all resources. The
// daemons are spread by hash over the time of one write by each.
func (t *table) extendSettling(now time.Time) {
	limit := latest(t.incarnation.settledAt, t.incarnation.startedAt.Add(maxSettleSteps*t.rules.takeoverStep))
	offset := time.Duration(uniform(t.self.Name) * float64(t.writeTime(len(t.members))))
	settledAt := latest(t.incarnation.settledAt, now.Add(t.rules.takeoverStep+offset))
	if settledAt.Before(limit) {
		t.incarnation.settledAt = settledAt
	}
}

// removeMember applies the removal of one member's key.
func (t *table) removeMember(now time.Time, name string) {
	old, known := t.members[name]
	delete(t.members, name)
	t.updateRanks(now, old, known, registeredMember{}, false)
}

// updateRanks adjusts the ranks of waiting resources to the change of one member,
// which costs one hash per resource instead of one per resource and member.
func (t *table) updateRanks(now time.Time, old registeredMember, hadOld bool, updated registeredMember, hasUpdated bool) {
	for _, s := range t.resources {
		if s.phase != waiting {
			continue
		}
		if hasUpdated && t.rules.regionOf == nil && updated.Zone == s.location.zone && updated.Region != s.location.region {
			s.rankValid = false
		}
		if s.rankValid {
			s.rank += t.rankContribution(s, updated, hasUpdated) - t.rankContribution(s, old, hadOld)
		}
		t.scheduleCreate(now, s)
	}
}

// rankContribution returns 1 if the member exists and ranks before this daemon
// for the resource, else 0.
func (t *table) rankContribution(s *resourceState, m registeredMember, exists bool) int {
	if !exists || m.Leaving || m.Name == t.self.Name {
		return 0
	}
	if scoreOf(s.resource, s.location, m.Member).before(s.ownScore) {
		return 1
	}
	return 0
}
