package ownership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Unix(1_000_000, 0)

func testRules() rules {
	return rules{takeoverStep: time.Second, releaseHoldOff: 5 * time.Second, writeRate: 200, groupSize: 4}
}

// TestTableResultOfDroppedResource guards against a panic when the result of a
// delete arrives after a watch has delivered it and the resource's state was
// dropped.
func TestTableResultOfDroppedResource(t *testing.T) {
	table := newTable(Member{Name: "a"}, testRules())
	table.setResources(testStart, engines(1, 1))
	table.beginIncarnation(testStart, 1, 2, 0)
	table.adopt(testStart, engines(1, 1)[0], 3)
	table.setResources(testStart, nil)
	table.lossDelivered(testStart, Holding{engines(1, 1)[0], 3})
	w, _ := table.nextWork(testStart, permission{read: true, create: true})
	key := keyOf(engines(1, 1)[0])
	table.applyOwnerKey(testStart, ownerKeyState{key: key, deleted: true, modRevision: 4})
	if len(table.resources) != 0 {
		t.Fatalf("the resource's state remains: %+v", table.resources[key])
	}
	table.applySuccess(testStart, w, 4)
}

// TestTableReadSentBeforeGain applies a read of all owners that was sent between
// two gains and shows neither holding: the older one is lost, the newer one stays.
func TestTableReadSentBeforeGain(t *testing.T) {
	resources := engines(2, 1)
	table := newTable(Member{Name: "a"}, testRules())
	table.setResources(testStart, resources)
	table.beginIncarnation(testStart, 1, 2, 0)
	table.adopt(testStart, resources[0], 3)
	gainCountAtSend := table.gainCount
	table.adopt(testStart, resources[1], 5)
	table.resetOwners(testStart, nil, 4, gainCountAtSend)
	for i, want := range []bool{false, true} {
		if got := table.resources[keyOf(resources[i])].phase == held; got != want {
			t.Errorf("%s is held: %v, want %v", resources[i].ID, got, want)
		}
	}
}

// TestTableReleasedTokenIsNotHeldAgain guards against holding a key again that
// is read back after this daemon began to release it: the first delete may still
// be in progress, and the key must be deleted again.
func TestTableReleasedTokenIsNotHeldAgain(t *testing.T) {
	r := engines(1, 1)[0]
	table := newTable(Member{Name: "a"}, testRules())
	table.setResources(testStart, []Resource{r})
	table.beginIncarnation(testStart, 1, 2, 0)
	table.adopt(testStart, r, 3)
	table.requestRelease(keyOf(r))
	table.resetOwners(testStart, nil, 4, table.gainCount)
	w, _ := table.nextWork(testStart, permission{read: true, create: true})
	ownKey := ownerKeyState{key: keyOf(r), owner: table.selfOwner(3), lease: 1, modRevision: 3}
	table.applyRead(testStart, w, w.items[0], ownKey, 5)
	if s := table.resources[keyOf(r)]; s.phase != deleteDue || s.token != 3 {
		t.Fatalf("got %+v", s)
	}
}

// TestTableStaleEvents guards against watch events older than the table's state
// ending a holding.
func TestTableStaleEvents(t *testing.T) {
	r := engines(1, 1)[0]
	table := newTable(Member{Name: "a"}, testRules())
	table.setResources(testStart, []Resource{r})
	table.beginIncarnation(testStart, 1, 2, 0)
	table.adopt(testStart, r, 7)
	table.applyOwnerKey(testStart, ownerKeyState{key: keyOf(r), owner: Owner{Member: "b", Token: 4}, lease: 2, modRevision: 4})
	table.applyOwnerKey(testStart, ownerKeyState{key: keyOf(r), deleted: true, modRevision: 6})
	if s := table.resources[keyOf(r)]; s.phase != held || s.token != 7 {
		t.Fatalf("a stale event ended the holding: %+v", s)
	}
	table.applyOwnerKey(testStart, ownerKeyState{key: keyOf(r), deleted: true, modRevision: 8})
	if s := table.resources[keyOf(r)]; s.phase != waiting {
		t.Fatalf("a later deletion did not end the holding: %+v", s)
	}
}

func TestValidity(t *testing.T) {
	const ttl, margin = 15 * time.Second, 3 * time.Second
	at := func(monotonic, wall time.Duration) instant {
		return instant{monotonic: monotonic, wall: testStart.Add(wall)}
	}
	renewed := validity{}.renewed(at(time.Minute, time.Minute), ttl, margin)
	for _, tc := range []struct {
		name string
		v    validity
		now  instant
		want bool
	}{
		{"never renewed", validity{}, at(0, 0), false},
		{"just renewed", renewed, at(time.Minute, time.Minute), true},
		{"within", renewed, at(72*time.Second-1, 72*time.Second-1), true},
		{"at the margin", renewed, at(72*time.Second, 72*time.Second), false},
		{"suspended: only the wall clock ran", renewed, at(time.Minute, 72*time.Second), false},
		{"wall clock set back", renewed, at(72*time.Second, 0), false},
		{"wall clock set back, within", renewed, at(71*time.Second, 0), true},
		{"late reply to an older renewal", renewed.renewed(at(50*time.Second, 50*time.Second), ttl, margin),
			at(71*time.Second, 71*time.Second), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.v.validAt(tc.now); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// TestRankIsATotalOrder checks that each rank belongs to one member, that members
// in the zone mostly rank before others of the region, that those rank before
// members of other regions, and that a leaving member has no rank.
func TestRankIsATotalOrder(t *testing.T) {
	members := make(map[string]registeredMember)
	for i := range 18 {
		m := Member{Name: fmt.Sprintf("m%02d", i), Zone: zoneName(i % 6), Region: fmt.Sprintf("r%d", i%6/3)}
		members[m.Name] = registeredMember{Member: m}
	}
	loc := location{zone: zoneName(0), region: "r0"}
	sameZone := 0
	const resources = 300
	for _, r := range engines(resources, 1) {
		usedRanks := make(map[int]bool)
		for _, m := range members {
			rank := rankOf(r, loc, m.Member, members)
			if usedRanks[rank] {
				t.Fatalf("%s: two members have rank %d", r.ID, rank)
			}
			usedRanks[rank] = true
			if (rank < 9) != (m.Region == "r0") {
				t.Fatalf("%s: %s of %s has rank %d", r.ID, m.Name, m.Region, rank)
			}
			if rank == 0 && m.Zone == loc.zone {
				sameZone++
			}
		}
	}
	// Three members of weight 16 against six of weight 1: 48 of 54 come first.
	if sameZone < resources*8/10 {
		t.Errorf("%d of %d resources have their first member in the zone", sameZone, resources)
	}
	leaving := members["m00"]
	leaving.Leaving = true
	members["m00"] = leaving
	for _, r := range engines(resources, 1) {
		if rank := rankOf(r, loc, members["m06"].Member, members); rank >= 17 {
			t.Fatalf("%s: a leaving member is ranked, m06 has rank %d", r.ID, rank)
		}
	}
}

// TestRankIsKeptIncrementally changes members at random and compares each
// waiting resource's rank with a computation from the whole member list.
func TestRankIsKeptIncrementally(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable(Member{Name: "m0", Zone: zoneName(0), Region: "r0"}, testRules())
		table.setResources(testStart, engines(6, 3))
		table.beginIncarnation(testStart, 1, 2, 0)
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			name := fmt.Sprintf("m%d", rapid.IntRange(0, 6).Draw(t, "member"))
			zone := rapid.IntRange(0, 3).Draw(t, "zone")
			if zone == 3 {
				table.removeMember(testStart, name)
				continue
			}
			m := Member{Name: name, Zone: zoneName(zone), Region: fmt.Sprintf("r%d", zone/2), Leaving: rapid.Bool().Draw(t, "leaving")}
			table.putMember(testStart, registeredMember{Member: m})
		}
		for _, s := range table.resources {
			if want := rankOf(s.resource, s.location, table.self, table.members); s.phase != waiting || s.rank != want {
				t.Fatalf("%s: phase %d, rank %d, want %d", s.resource.ID, s.phase, s.rank, want)
			}
		}
	})
}
