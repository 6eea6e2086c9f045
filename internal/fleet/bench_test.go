package fleet

import (
	"fmt"
	"testing"
)

// largeFleet returns the table of one of 300 daemons with ten engines each.
func largeFleet(owned bool) *Table {
	const members, perMember = 300, 10
	s := newTableFeed("vm-000", 1)
	for i := range members {
		s.putMember(0, Member{Name: fmt.Sprintf("vm-%03d", i), Incarnation: 1})
	}
	var ids []string
	for i := range members * perMember {
		id := fmt.Sprintf("engine-%04d", i)
		ids = append(ids, id)
		if owned {
			s.put(0, "engines/"+id, record{Member: fmt.Sprintf("vm-%03d", i%members), Incarnation: 1})
		}
	}
	s.table.SetEngines(0, ids)
	return s.table
}

// The look for due claims is made several times a second by each daemon.
func BenchmarkClaims(b *testing.B) {
	for _, owned := range []bool{true, false} {
		b.Run(fmt.Sprintf("owned=%v", owned), func(b *testing.B) {
			table := largeFleet(owned)
			for b.Loop() {
				table.Claims(startDelay, noneOrdering)
				for _, e := range table.engines {
					e.claimPending, e.everClaimed = false, false
				}
			}
		})
	}
}
