package ownership

import (
	"fmt"
	"log/slog"
	"runtime"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/fake"
)

const (
	targetDaemons = 510
	targetEngines = 2700
)

// targetTable returns a table of the target's size. All resources are free, or
// all are owned by other daemons.
func targetTable(owned bool) *table {
	t := newTable(Member{Name: "daemon-000", Zone: zoneName(0), Region: regionName(zoneName(0))}, testRules())
	resources := engines(targetEngines, fleetZones)
	t.setResources(testStart, resources)
	members := make(map[string]registeredMember, targetDaemons)
	for i := range targetDaemons {
		zone := zoneName(i % fleetZones)
		m := Member{
			Name: fmt.Sprintf("daemon-%03d", i), Zone: zone, Region: regionName(zone),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250), EntryAddress: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
		}
		members[m.Name] = registeredMember{Member: m, revision: int64(i)}
	}
	t.resetMembers(testStart, members)
	t.beginIncarnation(testStart, 1, 1, 0)
	for i, r := range resources {
		if owned {
			owner := members[fmt.Sprintf("daemon-%03d", 1+i%(targetDaemons-1))].Member
			t.applyOwnerKey(testStart, ownerKeyState{key: keyOf(r), owner: Owner{Member: owner.Name, PeerAddress: owner.PeerAddress, Token: 2}, modRevision: 2})
		}
	}
	return t
}

// BenchmarkHolds measures the check that an engine's owner makes at each
// dispatch.
func BenchmarkHolds(b *testing.B) {
	m, err := NewManager(Config{
		KV: fake.NewKV(), Self: Member{Name: "daemon-000"}, Listener: &recorder{held: make(map[resourceKey]Token)},
		Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		b.Fatal(err)
	}
	m.SetResources(engines(targetEngines, fleetZones))
	m.beginIncarnation(announcement{lease: 1, renewalSentAt: m.instant(), previouslyOwned: engines(5, fleetZones)}, 2, nil)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := m.Holds(KindEngine, "engine-3"); !ok && time.Since(m.origin) < DefaultMargin {
			b.Fatal("not held")
		}
	}
}

// BenchmarkMemberChange measures one change of a member while all resources of
// the target are owned, and while all of them are free.
func BenchmarkMemberChange(b *testing.B) {
	for _, owned := range []bool{true, false} {
		b.Run(fmt.Sprintf("owned=%v", owned), func(b *testing.B) {
			t := targetTable(owned)
			m := t.members["daemon-100"]
			b.ReportAllocs()
			for b.Loop() {
				t.removeMember(testStart, m.Name)
				t.putMember(testStart, m)
			}
		})
	}
}

// BenchmarkNext measures the search for due work, which each change and each
// renewal triggers.
func BenchmarkNext(b *testing.B) {
	t := targetTable(true)
	b.ReportAllocs()
	for b.Loop() {
		t.nextWork(testStart, permission{read: true, create: true})
	}
}

// BenchmarkTableState reports the memory of one daemon's table at the target's
// size.
func BenchmarkTableState(b *testing.B) {
	var before, after runtime.MemStats
	var t *table
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		t = targetTable(true)
		runtime.GC()
		runtime.ReadMemStats(&after)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
	runtime.KeepAlive(t)
}
