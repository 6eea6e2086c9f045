package gateway

import (
	"fmt"
	"testing"

	"github.com/barleylift/barleylift/internal/fleet"
)

// Among VMs of different sizes the watchers must be on strong ones, and the
// second watcher must become the first one when that is lost.
func TestWatchersAreOnStrongVMs(t *testing.T) {
	var members []fleet.Member
	for i := range 300 {
		m := fleet.Member{Name: fmt.Sprintf("vm-%03d", i), Cores: 0.192}
		if i%10 == 0 {
			m.Cores = 0.8
		}
		members = append(members, m)
	}
	first := chooseWatchers(members)
	if len(first) != watcherCount {
		t.Fatalf("%d watchers, want %d", len(first), watcherCount)
	}
	cores := make(map[string]float64)
	var rest []fleet.Member
	for _, m := range members {
		cores[m.Name] = m.Cores
		if m.Name != first[0] {
			rest = append(rest, m)
		}
	}
	for _, name := range first {
		if cores[name] < 0.8 {
			t.Errorf("watcher %s has %.3f cores", name, cores[name])
		}
	}
	if next := chooseWatchers(rest); next[0] != first[1] {
		t.Errorf("%s takes the place of a lost watcher, want %s, the second", next[0], first[1])
	}
}

// If sizes are equal or unknown, every daemon may be a watcher.
func TestWatchersWithoutSizes(t *testing.T) {
	members := []fleet.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	if got := chooseWatchers(members); len(got) != watcherCount {
		t.Errorf("watchers are %v", got)
	}
	if got := chooseWatchers(members[:1]); len(got) != 1 || got[0] != "a" {
		t.Errorf("of one daemon, watchers are %v", got)
	}
}
