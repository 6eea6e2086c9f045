package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

const minimalSettings = `
name = "d1"
zone = "z1"
region = "r1"
[entry]
listen = "127.0.0.1:8080"
[peer]
listen = "127.0.0.1:7443"
tls_cert = "c.pem"
tls_key = "k.pem"
tls_ca = "ca.pem"
[admin]
listen = "127.0.0.1:9090"
[key_value]
endpoints = ["http://127.0.0.1:2379"]
`

func TestLoadReportsAllProblems(t *testing.T) {
	for _, tc := range []struct {
		name string
		text string
		want []string
	}{
		{"good", minimalSettings, nil},
		{"empty", "", []string{
			"name: required", "zone: required", "region: required", "entry.listen: required", "peer.listen: required",
			"peer.tls_cert: required", "peer.tls_key: required", "peer.tls_ca: required", "admin.listen: required",
			"key_value.endpoints: required",
		}},
		{"unknown keys", minimalSettings + "[lease]\nttl = \"5s\"\nttll = 1\n[colour]\nred = 1\n", []string{"lease.ttll: unknown key", "colour"}},
		{"wrong type", "name = 3\n", []string{"name: line 1"}},
		{"ranges", minimalSettings + `
[lease]
ttl = "1s"
[drain]
answer_keep = "1m"
max_drain = "59s"
[limits]
max_header_bytes = 10
max_body_bytes = 0
max_connections = -1
max_calls_in_flight = 0
[configuration]
stale_bound = "soon"
[log]
level = "loud"
format = "xml"
[vm_list]
url = "ftp://127.0.0.1"
poll_interval = "1ms"
`, []string{
			"configuration.stale_bound: want a duration", "vm_list.url: want", "vm_list.poll_interval: want", "lease.ttl: want",
			"log.level: want", "log.format: want", "drain.max_drain: want", "limits.max_header_bytes: want",
			"limits.max_body_bytes: want", "limits.max_connections: want", "limits.max_calls_in_flight: want",
		}},
		{"addresses", strings.NewReplacer(
			`"127.0.0.1:8080"`, `"0.0.0.0:8080"`+"\ntls_cert = \"c\"", `"127.0.0.1:7443"`, `"localhost:7443"`, `"http://127.0.0.1:2379"`, `"", "127.0.0.1"`,
		).Replace(minimalSettings), []string{
			"entry.advertise: required when", "entry.tls_key: required beside", "peer.listen: want an IP", "key_value.endpoints: contains", "key_value.endpoints: want",
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "d.toml")
			if err := os.WriteFile(path, []byte(tc.text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := Load(path)
			var failed *Error
			if errors.As(err, &failed) != (len(tc.want) > 0) {
				t.Fatalf("got %v", err)
			}
			if failed == nil {
				return
			}
			if len(failed.Problems) != len(tc.want) {
				t.Fatalf("got %d problems, want %d:\n%v", len(failed.Problems), len(tc.want), err)
			}
			for i, p := range failed.Problems {
				if !strings.HasPrefix(p.String(), path+": "+tc.want[i]) {
					t.Errorf("problem %d is %q, want %q", i, p, tc.want[i])
				}
			}
		})
	}
}

// The page must list exactly the keys of Settings, each with its default.
func TestPageListsEveryKeyAndDefault(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := make(map[string]string)
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(line, "|")
		if len(cells) == 6 && strings.HasPrefix(cells[1], " `") {
			listed[strings.Trim(cells[1], " `")] = strings.TrimSpace(cells[3])
		}
	}
	s, err := Parse("d.toml", []byte(minimalSettings))
	if err != nil {
		t.Fatal(err)
	}
	defaults := make(map[string]string)
	collectKeys(reflect.ValueOf(*s), "", defaults)
	fileKeys := make(map[string]string)
	collectKeys(reflect.ValueOf(file{}), "", fileKeys)
	if len(fileKeys) != len(defaults) {
		t.Fatalf("the file has %d keys, Settings %d", len(fileKeys), len(defaults))
	}
	for key, value := range defaults {
		text, ok := listed[key]
		_, inFile := fileKeys[key]
		if !ok || !inFile {
			t.Errorf("%s: on the page %t, in the file %t", key, ok, inFile)
		}
		if text == "required" || strings.HasPrefix(text, "same as") {
			continue
		}
		if text == "none" {
			text = ""
		}
		if text != value {
			t.Errorf("%s: the page gives the default %q, Load gives %q", key, text, value)
		}
		delete(listed, key)
	}
	for key, text := range listed {
		if _, ok := defaults[key]; !ok {
			t.Errorf("the page lists %s (%s), which is no key", key, text)
		}
	}
}

// collectKeys adds the dotted keys of a struct and their values as text to into.
func collectKeys(v reflect.Value, prefix string, into map[string]string) {
	for i := range v.NumField() {
		key := prefix + v.Type().Field(i).Tag.Get("toml")
		f := v.Field(i)
		_, isDuration := f.Interface().(time.Duration)
		if f.Kind() == reflect.Struct && !isDuration {
			collectKeys(f, key+".", into)
			continue
		}
		into[key] = fmt.Sprint(f.Interface())
	}
}

func TestExampleSettingsLoad(t *testing.T) {
	paths, err := filepath.Glob("../../examples/*/settings/*.toml")
	if err != nil || len(paths) != 2 {
		t.Fatal(paths, err)
	}
	for _, path := range paths {
		if _, err := Load(path); err != nil {
			t.Error(err)
		}
	}
}
