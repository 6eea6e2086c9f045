package placement

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/call"
)

var start = time.Unix(1_700_000_000, 0)

var beta = call.AdapterRef{Name: "beta", Version: "1"}

func testCandidates(n int) []Candidate {
	candidates := make([]Candidate, n)
	for i := range candidates {
		candidates[i] = Candidate{Engine: fmt.Sprint("engine-", i)}
	}
	return candidates
}

func testLoads(n int) []EngineLoad {
	loads := make([]EngineLoad, n)
	for i := range loads {
		loads[i] = EngineLoad{Engine: fmt.Sprint("engine-", i), MaxRunning: 10, FreeSlots: 1}
	}
	return loads
}

func TestRankIgnoresOrderAndMovesFew(t *testing.T) {
	all := testCandidates(100)
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	moved := 0
	for i := range 1000 {
		name := fmt.Sprint("adapter-", i)
		ranked := Rank(all, name, 4)
		if !slices.Equal(ranked, Rank(reversed, name, 4)) {
			t.Fatalf("%s: the rank depends on the order of candidates", name)
		}
		without := Rank(all[:99], name, 4)
		kept := slices.DeleteFunc(slices.Clone(ranked), func(c Candidate) bool { return c == all[99] })
		if !slices.Equal(without[:len(kept)], kept) {
			t.Fatalf("%s: losing one engine reordered the others", name)
		}
		if len(kept) < 4 {
			moved++
		}
	}
	if moved < 20 || moved > 60 {
		t.Errorf("losing 1 of 100 engines changed the candidates of %d of 1000 adapters, want about 40", moved)
	}
}

func TestRankBalances(t *testing.T) {
	count := map[string]int{}
	for i := range 31_000 {
		count[Rank(testCandidates(31), fmt.Sprint("adapter-", i), 1)[0].Engine]++
	}
	for engine, n := range count {
		if n < 800 || n > 1200 {
			t.Errorf("%s is first for %d adapters, want about 1000", engine, n)
		}
	}
}

func TestColdAdapterGoesToFirstCandidateWithRoom(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func([]EngineLoad)
		want   string
	}{
		{"first", func([]EngineLoad) {}, "engine-0"},
		{"no slot", func(l []EngineLoad) { l[0].FreeSlots = 0 }, "engine-1"},
		{"overloaded", func(l []EngineLoad) { l[0].Running, l[0].Waiting = 10, 30 }, "engine-1"},
		{"loading elsewhere", func(l []EngineLoad) { l[2].Loading = true }, "engine-2"},
		{"resident elsewhere", func(l []EngineLoad) { l[1].Loading, l[2].Resident, l[2].Waiting = true, true, 9 }, "engine-2"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := testLoads(4)
			tc.change(l)
			got := NewHome(HomeConfig{}).Locate(start, beta, l)
			if got[0] != tc.want || len(got) != 4 {
				t.Errorf("Locate = %v, want %s first and all engines", got, tc.want)
			}
		})
	}
}

func TestSpreadsWhenFullAndShrinksSlowly(t *testing.T) {
	h := NewHome(HomeConfig{})
	l := testLoads(4)
	l[0].Resident = true
	l[0].Running, l[0].Waiting = 10, 5
	if got := h.Locate(start, beta, l); slices.Contains(got[:1], "engine-1") {
		t.Error("spread without demand")
	}
	h.Observe(start, beta, 200)
	h.Locate(start, beta, l)
	if n := replicaCount(h); n != 2 {
		t.Fatalf("%d replicas for a full engine with demand, want 2", n)
	}
	h.Locate(start.Add(time.Second), beta, l)
	if n := replicaCount(h); n != 2 {
		t.Errorf("%d replicas within the spread interval, want 2", n)
	}
	l[0].Running, l[0].Waiting, l[1].Resident = 5, 0, true
	low := start.Add(60 * time.Second)
	h.Locate(low, beta, l)
	if n := replicaCount(h); n != 2 {
		t.Errorf("%d replicas before the shrink delay has passed, want 2", n)
	}
	h.Locate(low.Add(defaultShrinkDelay), beta, l)
	if n := replicaCount(h); n != 1 {
		t.Errorf("%d replicas after demand was low for the shrink delay, want 1", n)
	}
}

func replicaCount(h *Home) int {
	return h.records[beta].Value.(*adapterRecord).replicas
}

func TestPicksLessLoadedReplica(t *testing.T) {
	h := NewHome(HomeConfig{})
	l := testLoads(2)
	l[0].Resident, l[1].Resident = true, true
	h.Observe(start, beta, 100)
	h.touch(start, beta).replicas = 2
	l[0].Running = 9
	for range 10 {
		if got := h.Locate(start, beta, l); got[0] != "engine-1" {
			t.Fatalf("Locate = %v, want the less loaded replica first", got)
		}
	}
}

func TestIdleAdaptersExpire(t *testing.T) {
	h := NewHome(HomeConfig{})
	for i := range 31_000 {
		h.Observe(start, call.AdapterRef{Name: fmt.Sprint(i), Version: "1"}, 1)
	}
	h.Observe(start.Add(time.Hour), beta, 1)
	if h.Len() != 1 {
		t.Errorf("the home keeps %d adapters after an idle hour, want 1", h.Len())
	}
}

func TestEvictionPolicies(t *testing.T) {
	minute := func(n int) time.Time { return start.Add(time.Duration(n) * time.Minute) }
	residents := []Resident{
		{LastUse: minute(8), Uses: 1, LoadTime: time.Second},
		{LastUse: minute(7), Uses: 100, LoadTime: time.Second},
		{LastUse: minute(9), Uses: 1, LoadTime: 10 * time.Second},
	}
	if i, ok := PickVictim(minute(10), residents); !ok || i != 0 {
		t.Errorf("least expected use picked %d, want 0", i)
	}
	if i, ok := PickLRU(minute(10), residents); !ok || i != 1 {
		t.Errorf("least recently used picked %d, want 1", i)
	}
	if _, ok := PickVictim(minute(10), nil); ok {
		t.Error("picked an adapter from an empty list")
	}
}

func BenchmarkRank(b *testing.B) {
	for _, n := range []int{9, 675, 2700} {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			candidates := testCandidates(n)
			b.ReportAllocs()
			for b.Loop() {
				Rank(candidates, "adapter", 4)
			}
		})
	}
}

func BenchmarkLocate(b *testing.B) {
	h := NewHome(HomeConfig{})
	l := testLoads(4)
	l[0].Resident = true
	b.ReportAllocs()
	for b.Loop() {
		h.Observe(start, beta, 1)
		h.Locate(start, beta, l)
	}
}

// BenchmarkHomeMemory reports the heap that a home allocates for 31,000 adapters
// with recent calls.
func BenchmarkHomeMemory(b *testing.B) {
	const adapters = 31_000
	b.ReportAllocs()
	for b.Loop() {
		h := NewHome(HomeConfig{})
		for i := range adapters {
			h.Observe(start, call.AdapterRef{Name: strconv.Itoa(i), Version: "1"}, 1)
		}
		if h.Len() != adapters {
			b.Fatal(h.Len())
		}
	}
}
