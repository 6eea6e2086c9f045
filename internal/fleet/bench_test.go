package fleet

import (
	"fmt"
	"testing"
)

// largeFleet returns the table of one of 300 daemons with ten engines each.
func largeFleet(owned bool) *Table {
	const members, perMember = 300, 10
	f := newTableFeed("vm-000", 1)
	for i := range members {
		f.putMember(0, Member{Name: fmt.Sprintf("vm-%03d", i), Incarnation: 1})
	}
	var ids []string
	for i := range members * perMember {
		id := fmt.Sprintf("engine-%04d", i)
		ids = append(ids, id)
		if owned {
			f.put(0, "engines/"+id, record{Member: fmt.Sprintf("vm-%03d", i%members), Incarnation: 1})
		}
	}
	f.table.SetEngines(0, ids)
	return f.table
}

// BenchmarkClaims measures the search for due claims, which each daemon makes
// several times a second.
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
