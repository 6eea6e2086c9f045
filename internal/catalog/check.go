package catalog

import (
	"fmt"
	"math"
	"net/url"
	"path"
	"strings"
	"time"
)

// Upper and lower bounds of configuration values.
const (
	maxNameLength      = 128
	maxSlots           = 4096
	maxRunning         = 65536
	maxReportLagBound  = 10 * time.Minute
	maxRouteTimeout    = time.Hour
	maxRouteBody       = 256 << 20
	minRetention       = time.Minute
	maxRetention       = 30 * 24 * time.Hour
	maxDelayTolerance  = time.Hour
	maxWeight          = 1e6
	maxVersions        = 1024
	maxLoadsPerSecond  = 1e6
	maxConcurrent      = 4096
	maxInFlight        = 1_000_000
	maxTokensPerSecond = 1e9
	tokenHashLength    = 64
)

// Check validates a configuration as a whole: names, references between
// items, mux patterns, glob patterns and the ranges of values.
func Check(contents Contents) Problems {
	c := newChecker(contents)
	c.zones()
	c.weightStores()
	c.engines()
	c.services()
	c.routes()
	c.adapters()
	c.profiles()
	c.customers()
	return c.problems.sorted()
}

// checker collects the problems of a configuration and the names that its
// items refer to.
type checker struct {
	Contents
	problems      Problems
	declarations  map[itemKey]int
	baseModels    map[string]bool
	tokenCustomer map[string]string
}

func newChecker(contents Contents) *checker {
	c := &checker{
		Contents:      contents,
		declarations:  make(map[itemKey]int),
		baseModels:    make(map[string]bool),
		tokenCustomer: make(map[string]string),
	}
	for _, e := range contents.Engines {
		c.baseModels[e.BaseModel] = true
	}
	return c
}

// item is one declaration that is being checked.
type item struct {
	c    *checker
	kind Kind
	name string
	file string
}

// beginItem starts the check of an item: its name must be valid and unique.
func (c *checker) beginItem(kind Kind, name string) item {
	key := itemKey{kind, name}
	nth := c.declarations[key]
	c.declarations[key]++
	it := item{c: c, kind: kind, name: name, file: c.origins.file(kind, name, nth)}
	if reason := nameProblem(name); reason != "" {
		it.add("name", "%s", reason)
	}
	if nth > 0 {
		it.add("name", "declared twice, first in %s", c.firstFile(kind, name))
	}
	return it
}

func (c *checker) firstFile(kind Kind, name string) string {
	if file := c.origins.file(kind, name, 0); file != "" {
		return file
	}
	return "the same configuration"
}

func (it item) add(key, format string, args ...any) {
	it.c.problems = append(it.c.problems, Problem{it.file, field(it.kind, it.name, key), fmt.Sprintf(format, args...)})
}

// declared reports whether beginItem was called for an item of that kind and
// name. Kinds are checked after the kinds that they refer to.
func (c *checker) declared(kind Kind, name string) bool {
	return c.declarations[itemKey{kind, name}] > 0
}

func (it item) reference(key string, kind Kind, name string) {
	if name == "" {
		it.add(key, "required")
		return
	}
	if !it.c.declared(kind, name) {
		it.add(key, "no %s is named %q", kind, name)
	}
}

func (it item) between(key string, value, least, most int64) {
	if value < least || value > most {
		it.add(key, "want %d to %d, got %d", least, most, value)
	}
}

func (it item) duration(key string, value, least, most time.Duration) {
	if value < least || value > most {
		it.add(key, "want %s to %s, got %s", least, most, value)
	}
}

func (it item) positive(key string, value, most float64) {
	if math.IsNaN(value) || value <= 0 || value > most {
		it.add(key, "want more than 0 and at most %g, got %g", most, value)
	}
}

func (it item) baseURL(key, value string) {
	u, err := url.Parse(value)
	switch {
	case err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https"):
		it.add(key, "want an http or https URL, got %q", value)
	case u.User != nil || u.RawQuery != "" || u.Fragment != "" || u.Path != "":
		it.add(key, "want a URL of scheme, address and port only, got %q", value)
	}
}

func (it item) globs(key string, patterns []string) {
	for _, pattern := range patterns {
		if _, err := path.Match(pattern, ""); err != nil || pattern == "" {
			it.add(key, "bad pattern %q", pattern)
		}
	}
}

// nameProblem returns why a name is invalid, or "". Names are part of keys,
// labels and model names, so only letters, digits and . _ - are allowed.
func nameProblem(name string) string {
	if name == "" {
		return "required"
	}
	if len(name) > maxNameLength {
		return fmt.Sprintf("longer than %d bytes", maxNameLength)
	}
	for _, r := range name {
		if !validNameRune(r) {
			return fmt.Sprintf("contains %q; letters, digits, '.', '_' and '-' are allowed", r)
		}
	}
	return ""
}

func validNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	default:
		return strings.ContainsRune("._-", r)
	}
}
