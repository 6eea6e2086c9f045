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

func TestMatchPrefersTheLongestPrefixOfTheHost(t *testing.T) {
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
			t.Errorf("%s%s matches route %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

func TestPickServiceFollowsTheWeights(t *testing.T) {
	r := route("split", "h", "/")
	r.Shares = []Share{{"a", 90}, {"b", 10}}
	const requests = 20000
	countB := 0
	for i := range requests {
		id := fmt.Sprint("request-", i)
		first := r.PickService(id)
		if first != r.PickService(id) {
			t.Fatalf("request ID %s yields different services", id)
		}
		if first == "b" {
			countB++
		}
	}
	if share := float64(countB) / requests; share < 0.09 || share > 0.11 {
		t.Errorf("service b got %.3f of the requests, want 0.10", share)
	}
}

func TestNewTableNamesTheInvalidField(t *testing.T) {
	invalid := func(change func(*Route)) Config {
		r := route("r", "h", "/p/")
		change(&r)
		return config(1, r)
	}
	tests := map[string]Config{
		"prefix":    invalid(func(r *Route) { r.Prefix = "/p" }),
		"no shares": invalid(func(r *Route) { r.Shares = nil }),
		"unknown":   invalid(func(r *Route) { r.Shares = []Share{{"c", 1}} }),
		"negative":  invalid(func(r *Route) { r.Shares = []Share{{"a", -1}} }),
		"timeout":   invalid(func(r *Route) { r.Timeout = 0 }),
	}
	for name, invalidConfig := range tests {
		var configError *ConfigError
		if _, err := NewTable(invalidConfig); !errors.As(err, &configError) || configError.Field != `route "r"` {
			t.Errorf("%s: got %v, want an error that names the route", name, err)
		}
	}
}

func TestAdapterCapacity(t *testing.T) {
	spec := EngineSpec{AdapterSlots: 17, WeightMemoryMB: 66600, Models: []ModelSpec{{Name: "m", WeightsMB: 65100, AdapterMB: 12}}}
	if got := spec.AdapterCapacity([]string{"m"}); got != 17 {
		t.Errorf("capacity is %d adapters, want all 17 slots", got)
	}
	spec.WeightMemoryMB = 65200
	if got := spec.AdapterCapacity([]string{"m"}); got != 8 {
		t.Errorf("capacity is %d adapters in 100 MB, want 8 of 12 MB", got)
	}
}
