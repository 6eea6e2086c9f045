package catalog

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

const validFile = `
[[zone]]
name = "z1"
region = "r1"
[[weight_store]]
name = "w1"
loads_per_second = 2.0
[[engine]]
name = "e1"
address = "http://127.0.0.1:9001/"
zone = "z1"
base_model = "base"
weight_store = "w1"
slots = 4
max_running = 8
[[service]]
name = "s1"
[[service.replica]]
address = "http://127.0.0.1:9101"
zone = "z1"
[[route]]
name = "tick"
pattern = "POST /logbook/{gym}/ticks"
service = "s1"
repeatable = false
idempotency_header = "Idempotency-Key"
[[adapter_set]]
base_model = "base"
adapters = ["a1@v1,v2", "a2@v1"]
[[profile]]
name = "p1"
adapters = ["a*"]
[[customer]]
name = "c1"
token_hashes = ["0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"]
profiles = ["p1"]
`

func TestDefaultsAreFilledIn(t *testing.T) {
	contents, problems := Parse("good.toml", []byte(validFile))
	if problems = append(problems, Check(contents)...); len(problems) > 0 {
		t.Fatal(problems)
	}
	if e := contents.Engines[0]; e.MaxReportLag != DefaultMaxReportLag || e.Address != "http://127.0.0.1:9001" {
		t.Errorf("engine %+v", e)
	}
	if r := contents.Routes[0]; r.Retention != DefaultRetention || r.Timeout != DefaultRouteTimeout || r.MaxBody != DefaultRouteMaxBody {
		t.Errorf("route %+v", r)
	}
	if p := contents.Profiles[0]; p.Urgency.String() != "normal" || p.DelayTolerance != DefaultDelayTolerance {
		t.Errorf("profile %+v", p)
	}
	if c := contents.Customers[0]; c.Weight != DefaultWeight || contents.WeightStores[0].Concurrent != DefaultConcurrent {
		t.Errorf("customer %+v", c)
	}
	if a := contents.Adapters; len(a) != 2 || !a[0].HasVersion("v2") || a[1].HasVersion("v2") {
		t.Errorf("adapters %+v", a)
	}
}

// Each case changes the valid file and lists all problems that Check must report.
func TestProblemsNameFileFieldAndReason(t *testing.T) {
	hash := strings.Repeat("0123456789abcdef", 4)
	for _, tc := range []struct {
		name     string
		old, new string
		want     []string
	}{
		{"duplicate name", `[[profile]]`, "[[zone]]\nname = \"z1\"\nregion = \"r1\"\n[[profile]]", []string{`zone "z1": name: declared twice, first in f.toml`}},
		{"no zone", "[[zone]]\nname = \"z1\"\nregion = \"r1\"\n", "", []string{
			`zone: at least one`, `engine "e1": zone: no zone is named "z1"`, `service "s1": replica.zone: no zone is named "z1"`}},
		{"dangling weight store", `weight_store = "w1"`, `weight_store = "w2"`, []string{`engine "e1": weight_store: no weight_store is named "w2"`}},
		{"bad name", `name = "e1"`, `name = "e 1"`, []string{`engine "e 1": name: contains ' '`}},
		{"address with a path", `9001/`, `9001/v1`, []string{`engine "e1": address: want a URL of scheme, address and port only`}},
		{"address without scheme", `"http://127.0.0.1:9101"`, `"127.0.0.1:9101"`, []string{`service "s1": replica.address: want an http or https URL`}},
		{"engine ranges", "slots = 4\nmax_running = 8", "slots = 0\nmax_running = -1\nmax_report_lag = \"-1s\"", []string{
			`engine "e1": max_report_lag: want 0s to`, `engine "e1": max_running: want 1 to`, `engine "e1": slots: want 1 to`}},
		{"bad duration", `max_running = 8`, "max_running = 8\nmax_report_lag = \"9\"", []string{`engine "e1": max_report_lag: want a duration such as "9ms"`}},
		{"shared engine address", "[[profile]]", "[[engine]]\nname=\"e2\"\naddress=\"http://127.0.0.1:9001\"\nzone=\"z1\"\nbase_model=\"base\"\nweight_store=\"w1\"\nslots=1\nmax_running=1\n[[profile]]",
			[]string{`engine "e2": address: also the address of engine "e1"`}},
		{"malformed pattern", `/{gym}/ticks`, `/{gym/ticks`, []string{`route "tick": pattern: parsing`}},
		{"own path", `POST /logbook/{gym}/ticks`, `POST /v1/completions`, []string{`route "tick": pattern: "/v1/completions" lies within a path of barleylift's own`}},
		{"pattern around an own path", `POST /logbook/{gym}/ticks`, `GET /`, []string{`route "tick": pattern: pattern "GET /"`}},
		{"conflicting patterns", `[[profile]]`, "[[route]]\nname = \"r2\"\npattern = \"POST /logbook/kochi/{what}\"\nservice = \"s1\"\nrepeatable = true\n[[profile]]",
			[]string{`route "r2": pattern: pattern "POST /logbook/kochi/{what}" conflicts with pattern "POST /logbook/{gym}/ticks"`}},
		{"repeatable left out", "repeatable = false\n", "", []string{`route "tick": repeatable: required`}},
		{"repeatable with a key", "repeatable = false", "repeatable = true", []string{`route "tick": idempotency_header: only for`}},
		{"retention without a key", `idempotency_header = "Idempotency-Key"`, `retention = "1h"`, []string{`route "tick": retention: only beside`}},
		{"retention too short", `idempotency_header = "Idempotency-Key"`, "idempotency_header = \"a b\"\nretention = \"1s\"", []string{
			`route "tick": idempotency_header: "a b" is no header name`, `route "tick": retention: want 1m0s to`}},
		{"credentials as a key", `"Idempotency-Key"`, `"authorization"`, []string{`route "tick": idempotency_header: "authorization" is no header name`}},
		{"unknown service", `service = "s1"`, `service = "s2"`, []string{`route "tick": service: no service is named "s2"`}},
		{"no engine for an adapter", `base_model = "base"
adapters`, `base_model = "other"
adapters`, []string{`adapter "a1": base_model: no engine runs "other"`, `adapter "a2": base_model: no engine runs "other"`}},
		{"adapter without version", `"a2@v1"`, `"a2"`, []string{`adapter "a2": adapter_set.adapters: want name@version`}},
		{"versions", `"a2@v1"`, `"a2@v1,v1,,latest"`, []string{
			`adapter "a2": versions: "latest" is no version`, `adapter "a2": versions: "v1" is declared twice`, `adapter "a2": versions: version "": required`}},
		{"bad glob and urgency", `adapters = ["a*"]`, "adapters = [\"[a\"]\nurgency = \"huge\"", []string{`profile "p1": urgency: want background`}},
		{"profile ranges", `adapters = ["a*"]`, "adapters = [\"[a\"]\nversions = [\"\"]\ndelay_tolerance = \"0s\"\nmax_in_flight = -1\ntokens_per_second = nan", []string{
			`profile "p1": adapters: bad pattern "[a"`, `profile "p1": delay_tolerance: want`, `profile "p1": max_in_flight: want`,
			`profile "p1": tokens_per_second: want`, `profile "p1": versions: bad pattern ""`}},
		{"token in the clear", hash, "secret", []string{`customer "c1": token_hashes: want 64 lowercase hex digits`}},
		{"shared token", "[[profile]]", "[[customer]]\nname=\"c0\"\ntoken_hashes=[\"" + hash + "\"]\nprofiles=[\"p9\"]\nweight=0.0\n[[profile]]", []string{
			`customer "c0": profiles: no profile is named "p9"`, `customer "c0": weight: want more than 0`, `customer "c1": token_hashes: 01234567... is also declared for customer "c0"`}},
		{"weight store ranges", `loads_per_second = 2.0`, "loads_per_second = 0.0\nconcurrent = 0", []string{
			`weight_store "w1": concurrent: want 1 to`, `weight_store "w1": loads_per_second: want more than 0`}},
		{"unknown keys", "slots = 4", "slots = 4\nslotz = 5", []string{`engine.slotz: line`}},
		{"syntax", "slots = 4", "slots = = 4", []string{`line 14, column 9`}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			text := strings.Replace(validFile, tc.old, tc.new, 1)
			if text == validFile {
				t.Fatal("the case changes nothing")
			}
			contents, problems := Parse("f.toml", []byte(text))
			if len(problems) == 0 {
				problems = Check(contents)
			}
			for i, p := range problems {
				if i >= len(tc.want) || !strings.HasPrefix(strings.TrimPrefix(p.String(), "f.toml: "), tc.want[i]) {
					t.Errorf("problem %d: %s", i, p)
				}
				if p.File != "f.toml" && p.Field != "zone" {
					t.Errorf("problem %d names no file: %s", i, p)
				}
			}
			if len(problems) != len(tc.want) {
				t.Errorf("got %d problems, want %d", len(problems), len(tc.want))
			}
		})
	}
}

func TestExamplesAreValid(t *testing.T) {
	for name, engines := range map[string]int{"cragbook": 9, "pixelgate": 12} {
		contents, problems := LoadDir("../../examples/" + name)
		if problems = append(problems, Check(contents)...); len(problems) > 0 {
			t.Errorf("%s: %v", name, problems)
		}
		if len(contents.Engines) != engines || len(contents.Services[0].Replicas) != 3 || len(contents.Adapters) != 3000 {
			t.Errorf("%s has other sizes than stated", name)
		}
		snapshot := NewSnapshot(1, contents)
		for _, c := range contents.Customers {
			if got, ok := snapshot.Authenticate(name + "-example-" + c.Name); !ok || got.Name != c.Name {
				t.Errorf("%s: the example token of customer %s is not its own", name, c.Name)
			}
			if _, ok := snapshot.Authenticate(c.TokenHashes[0]); ok {
				t.Errorf("%s: a hash passes as a token", name)
			}
		}
	}
}

// The page must list exactly the keys of the configuration files.
func TestPageListsEveryKey(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := make(map[string]bool)
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(line, " | ")
		if len(cells) == 4 && strings.HasPrefix(cells[0], "| `") {
			listed[strings.Trim(cells[0], "| `")] = true
		}
	}
	keys := make(map[string]bool)
	collectKeys(reflect.TypeFor[file](), "", keys)
	for key := range keys {
		if !listed[key] {
			t.Errorf("the page lacks %s", key)
		}
	}
	for key := range listed {
		if !keys[key] {
			t.Errorf("the page lists %s, which is no key", key)
		}
	}
}

func collectKeys(t reflect.Type, prefix string, into map[string]bool) {
	for i := range t.NumField() {
		f := t.Field(i)
		key := prefix + f.Tag.Get("toml")
		if f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct {
			collectKeys(f.Type.Elem(), key+".", into)
			continue
		}
		into[key] = true
	}
}

// Parse and Check must not panic on any input, and contents that pass Check must
// survive encoding and decoding.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte("[[route]]\npattern = \"GET /{$}\"\n"))
	f.Add([]byte("[[adapter_set]]\nadapters = [\"@\", \"a@\", \"a@,\"]\n"))
	f.Add([]byte("[[profile]]\ndelay_tolerance = \"1e9h\"\ntokens_per_second = inf\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		contents, problems := Parse("f.toml", data)
		problems = append(problems, Check(contents)...)
		if len(problems) > 0 {
			return
		}
		chunks, err := split(contents)
		if err != nil {
			t.Skip(err)
		}
		var none *generationState
		head := Head{}.next(chunks)
		fetched := make(map[Hash][]byte)
		for _, c := range chunks {
			fetched[c.ref.Hash] = c.data
		}
		built, err := none.assemble(head, nil, fetched)
		if err != nil {
			t.Fatal(err)
		}
		if changes := Diff(contents, built.snapshot.Contents); len(changes) > 0 {
			t.Fatal(changes)
		}
	})
}
