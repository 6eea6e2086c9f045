package origin

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestOriginsExpireAndAreBounded(t *testing.T) {
	table := NewTable()
	table.Record(0, "a", "v1", time.Second)
	if version, ok := table.Find(time.Second-1, "a"); !ok || version != "v1" {
		t.Errorf("found %q, %t", version, ok)
	}
	if _, ok := table.Find(time.Second, "a"); ok {
		t.Error("an expired origin is found")
	}
	if _, ok := table.Find(0, "b"); ok {
		t.Error("the origin of an unknown request is found")
	}
	for n := range 3 * maxOrigins {
		table.Record(time.Minute, fmt.Sprint(n), "v1", time.Minute)
	}
	if len(table.records) > maxOrigins {
		t.Errorf("%d origins are kept", len(table.records))
	}
	table.Record(time.Hour, "last", "v2", time.Minute)
	if len(table.records) != 1 {
		t.Errorf("%d origins are left after all others have expired", len(table.records))
	}
}

// Callers come back after the daemon that recorded a stream's origin is lost. With
// one more daemon lost, or one that has joined, the daemons that are asked include
// one that keeps the origin.
func TestOriginIsFoundAfterLosses(t *testing.T) {
	var fleet []string
	for n := range 9 {
		fleet = append(fleet, fmt.Sprint("vm-", n))
	}
	for n := range 300 {
		request := fmt.Sprint("request-", n)
		recorder, lost, asker := fleet[n%9], fleet[(n+1+n/9%7)%9], fleet[(n+8)%9]
		left := slices.DeleteFunc(slices.Clone(fleet), func(name string) bool { return name == recorder || name == lost })
		left = append(left, "vm-joined")
		keepers := Keepers(request, recorder, fleet)
		found := slices.Contains(keepers, asker)
		for _, name := range Askable(request, asker, left) {
			found = found || slices.Contains(keepers, name)
		}
		if !found {
			t.Errorf("%s, recorded by %s at %v, is not found by %s after the loss of %s", request, recorder, keepers, asker, lost)
		}
	}
}
