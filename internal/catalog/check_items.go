package catalog

import (
	"net/http"
	"strings"
)

func (c *checker) zones() {
	if len(c.Zones) == 0 {
		c.problems = append(c.problems, Problem{Field: "zone", Reason: "at least one is required"})
	}
	for _, z := range c.Zones {
		it := c.beginItem(KindZone, z.Name)
		if reason := nameProblem(z.Region); reason != "" {
			it.add("region", "%s", reason)
		}
	}
}

func (c *checker) weightStores() {
	for _, w := range c.WeightStores {
		it := c.beginItem(KindWeightStore, w.Name)
		it.positive("loads_per_second", w.LoadsPerSecond, maxLoadsPerSecond)
		it.between("concurrent", int64(w.Concurrent), 1, maxConcurrent)
	}
}

func (c *checker) engines() {
	addresses := make(map[string]string)
	for _, e := range c.Engines {
		it := c.beginItem(KindEngine, e.Name)
		it.baseURL("address", e.Address)
		if other, taken := addresses[e.Address]; taken && other != e.Name {
			it.add("address", "also the address of engine %q", other)
		}
		addresses[e.Address] = e.Name
		it.reference("zone", KindZone, e.Zone)
		it.reference("weight_store", KindWeightStore, e.WeightStore)
		if reason := nameProblem(e.BaseModel); reason != "" {
			it.add("base_model", "%s", reason)
		}
		it.between("slots", int64(e.Slots), 1, maxSlots)
		it.between("max_running", int64(e.MaxRunning), 1, maxRunning)
		it.duration("max_report_lag", e.MaxReportLag, 0, maxReportLagBound)
	}
}

func (c *checker) services() {
	for _, s := range c.Services {
		it := c.beginItem(KindService, s.Name)
		if len(s.Replicas) == 0 {
			it.add("replica", "at least one is required")
		}
		addresses := make(map[string]bool)
		for _, r := range s.Replicas {
			it.baseURL("replica.address", r.Address)
			if addresses[r.Address] {
				it.add("replica.address", "%q is declared twice", r.Address)
			}
			addresses[r.Address] = true
			it.reference("replica.zone", KindZone, r.Zone)
		}
	}
}

func (c *checker) routes() {
	patterns := newPatternChecker()
	for _, r := range c.Routes {
		it := c.beginItem(KindRoute, r.Name)
		if reason := patterns.add(r.Pattern); reason != "" {
			it.add("pattern", "%s", reason)
		}
		it.reference("service", KindService, r.Service)
		it.idempotency(r)
		it.duration("timeout", r.Timeout, 1, maxRouteTimeout)
		it.between("max_body_bytes", r.MaxBody, 0, maxRouteBody)
	}
}

// idempotency checks the keys that state whether a call may be repeated.
func (it item) idempotency(r Route) {
	if r.Repeatable && r.IdempotencyHeader != "" {
		it.add("idempotency_header", "only for a route with repeatable = false")
	}
	if r.IdempotencyHeader == "" {
		if r.Retention != 0 {
			it.add("retention", "only beside idempotency_header")
		}
		return
	}
	if !validHeaderName(r.IdempotencyHeader) {
		it.add("idempotency_header", "%q is no header name", r.IdempotencyHeader)
	}
	it.duration("retention", r.Retention, minRetention, maxRetention)
}

func (c *checker) adapters() {
	for _, a := range c.Adapters {
		it := c.beginItem(KindAdapter, a.Name)
		if !c.baseModels[a.BaseModel] {
			it.add("base_model", "no engine runs %q", a.BaseModel)
		}
		if len(a.Versions) == 0 || len(a.Versions) > maxVersions {
			it.add("versions", "want 1 to %d, got %d", maxVersions, len(a.Versions))
		}
		it.versions(a.Versions)
	}
}

func (it item) versions(versions []string) {
	for i, v := range versions {
		if reason := nameProblem(v); reason != "" {
			it.add("versions", "version %q: %s", v, reason)
		}
		if v == "latest" {
			it.add("versions", `"latest" is no version: every call names an exact one`)
		}
		for _, earlier := range versions[:i] {
			if earlier == v {
				it.add("versions", "%q is declared twice", v)
			}
		}
	}
}

func (c *checker) profiles() {
	for _, p := range c.Profiles {
		it := c.beginItem(KindProfile, p.Name)
		it.duration("delay_tolerance", p.DelayTolerance, 1, maxDelayTolerance)
		it.globs("adapters", p.Adapters)
		it.globs("versions", p.Versions)
		it.between("max_in_flight", int64(p.MaxInFlight), 0, maxInFlight)
		if !(p.TokensPerSecond >= 0 && p.TokensPerSecond <= maxTokensPerSecond) {
			it.add("tokens_per_second", "want 0 to %g, got %g", maxTokensPerSecond, p.TokensPerSecond)
		}
	}
}

func (c *checker) customers() {
	for _, customer := range c.Customers {
		it := c.beginItem(KindCustomer, customer.Name)
		if len(customer.TokenHashes) == 0 {
			it.add("token_hashes", "at least one is required")
		}
		for _, hash := range customer.TokenHashes {
			it.tokenHash(hash)
		}
		if len(customer.Profiles) == 0 {
			it.add("profiles", "at least one is required")
		}
		for _, name := range customer.Profiles {
			it.reference("profiles", KindProfile, name)
		}
		it.positive("weight", customer.Weight, maxWeight)
	}
}

// tokenHash checks the form of a token's hash and that no other customer has it.
func (it item) tokenHash(hash string) {
	if !isTokenHash(hash) {
		it.add("token_hashes", "want %d lowercase hex digits, the SHA-256 sum of a token", tokenHashLength)
		return
	}
	customer, taken := it.c.tokenCustomer[hash]
	if taken {
		it.add("token_hashes", "%s... is also declared for customer %q", hash[:8], customer)
	}
	it.c.tokenCustomer[hash] = it.name
}

func isTokenHash(hash string) bool {
	return len(hash) == tokenHashLength && strings.Trim(hash, "0123456789abcdef") == ""
}

func validHeaderName(name string) bool {
	const separators = "()<>@,;:\\\"/[]?={} \t"
	for _, r := range name {
		if r <= ' ' || r >= 127 || strings.ContainsRune(separators, r) {
			return false
		}
	}
	return name != "" && http.CanonicalHeaderKey(name) != "Authorization"
}
