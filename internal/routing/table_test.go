package routing

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

func config(version int64, routes ...Route) Config {
	return Config{Version: version, Routes: routes, Services: []Service{{Name: "a"}, {Name: "b"}}}
}

func route(name, host, prefix string) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Shares: []Share{{Service: "a", Weight: 1}}}
}

func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	table, err := NewTable(config(1, route("root", "one.example", "/"), route("deep", "one.example", "/x/y/"), route("other", "two.example", "/x/")))
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct{ host, path, want string }{
		{"one.example", "/", "root"},
		{"one.example", "/x/y/z", "deep"},
		{"one.example", "/x/y", "root"},
		{"ONE.example:8080", "/x/y/", "deep"},
		{"two.example", "/x/", "other"},
		{"two.example", "/y", ""},
		{"three.example", "/", ""},
		{"one.example", "no-slash", ""},
	}
	for _, test := range tests {
		got := ""
		if r := table.Match(test.host, test.path); r != nil {
			got = r.Name
		}
		if got != test.want {
			t.Errorf("%s%s goes to %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	r := route("split", "h", "/")
	r.Shares = []Share{{"a", 90}, {"b", 10}}
	const requests = 20000
	count := 0
	for i := range requests {
		id := fmt.Sprint("request-", i)
		first := r.PickService(id)
		if first != r.PickService(id) {
			t.Fatalf("request %s changes its service", id)
		}
		if first == "b" {
			count++
		}
	}
	if share := float64(count) / requests; share < 0.09 || share > 0.11 {
		t.Errorf("service b got %.3f of the requests, want 0.10", share)
	}
}

func TestTableNamesTheFieldAtFault(t *testing.T) {
	bad := func(change func(*Route)) Config {
		r := route("r", "h", "/p/")
		change(&r)
		return config(1, r)
	}
	tests := map[string]Config{
		"prefix":    bad(func(r *Route) { r.Prefix = "/p" }),
		"no shares": bad(func(r *Route) { r.Shares = nil }),
		"unknown":   bad(func(r *Route) { r.Shares = []Share{{"c", 1}} }),
		"negative":  bad(func(r *Route) { r.Shares = []Share{{"a", -1}} }),
		"time-out":  bad(func(r *Route) { r.Timeout = 0 }),
	}
	for name, c := range tests {
		var failure *ConfigError
		if _, err := NewTable(c); !errors.As(err, &failure) || failure.Field != `route "r"` {
			t.Errorf("%s: got %v, want an error that names the route", name, err)
		}
	}
}

func TestAdapterCapacity(t *testing.T) {
	spec := EngineSpec{AdapterSlots: 17, WeightMemoryMB: 66600, Models: []ModelSpec{{Name: "m", WeightsMB: 65100, AdapterMB: 12}}}
	if got := spec.AdapterCapacity([]string{"m"}); got != 17 {
		t.Errorf("%d adapters fit, want all 17 slots", got)
	}
	spec.WeightMemoryMB = 65200
	if got := spec.AdapterCapacity([]string{"m"}); got != 8 {
		t.Errorf("%d adapters fit into 100 MB, want 8 of 12 MB", got)
	}
}
