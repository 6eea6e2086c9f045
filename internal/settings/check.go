package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"
)

// checker collects problems in the order of the checks.
type checker struct {
	problems []keyProblem
}

func (c *checker) add(key, format string, args ...any) {
	c.problems = append(c.problems, keyProblem{key, fmt.Sprintf(format, args...)})
}

func (s *Settings) check() []keyProblem {
	var c checker
	c.name("name", s.Name)
	c.name("zone", s.Zone)
	c.name("region", s.Region)
	c.listen("entry.listen", s.Entry.Listen)
	c.advertise("entry.advertise", s.Entry.Advertise, s.Entry.Listen)
	c.bothOrNone("entry.tls_cert", s.Entry.TLSCert, "entry.tls_key", s.Entry.TLSKey)
	c.listen("peer.listen", s.Peer.Listen)
	c.advertise("peer.advertise", s.Peer.Advertise, s.Peer.Listen)
	c.required("peer.tls_cert", s.Peer.TLSCert)
	c.required("peer.tls_key", s.Peer.TLSKey)
	c.required("peer.tls_ca", s.Peer.TLSCA)
	c.listen("admin.listen", s.Admin.Listen)
	c.endpoints(s.KeyValue.Endpoints)
	c.between("key_value.timeout", s.KeyValue.Timeout, time.Millisecond, maxKeyValueTimeout)
	c.url("vm_list.url", s.VMList.URL)
	c.atLeast("vm_list.poll_interval", s.VMList.PollInterval, minVMListInterval)
	c.atLeast("lease.ttl", s.Lease.TTL, minLeaseTTL)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "json", "text")
	c.atLeast("drain.answer_keep", s.Drain.AnswerKeep, minAnswerKeep)
	c.atLeast("drain.max_drain", s.Drain.MaxDrain, s.Drain.AnswerKeep)
	c.size("limits.max_header_bytes", int64(s.Limits.MaxHeaderBytes), minHeaderBytes)
	c.size("limits.max_body_bytes", s.Limits.MaxBodyBytes, 1)
	c.size("limits.max_connections", int64(s.Limits.MaxConnections), 1)
	c.size("limits.max_calls_in_flight", int64(s.Limits.MaxCallsInFlight), 1)
	c.atLeast("configuration.stale_bound", s.Configuration.StaleBound, minStaleBound)
	return c.problems
}

func (c *checker) required(key, value string) {
	if value == "" {
		c.add(key, "required")
	}
}

func (c *checker) name(key, value string) {
	c.required(key, value)
	if len(value) > maxNameLength {
		c.add(key, "longer than %d bytes", maxNameLength)
	}
}

func (c *checker) listen(key, value string) {
	if value == "" {
		c.add(key, "required")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(key, "want an IP address and port such as 10.0.0.4:8080, got %q", value)
	}
}

// advertise checks an address that others connect to: a port and an IP address
// that is not the unspecified one.
func (c *checker) advertise(key, value, listen string) {
	if value == "" {
		return
	}
	address, err := netip.ParseAddrPort(value)
	switch {
	case err != nil && value != listen:
		c.add(key, "want an IP address and port such as 10.0.0.4:8080, got %q", value)
	case err == nil && address.Addr().IsUnspecified():
		c.add(key, "required when the listen address is %s", listen)
	}
}

func (c *checker) bothOrNone(firstKey, first, secondKey, second string) {
	if first == "" && second != "" {
		c.add(firstKey, "required beside %s", secondKey)
	}
	if first != "" && second == "" {
		c.add(secondKey, "required beside %s", firstKey)
	}
}

func (c *checker) endpoints(endpoints []string) {
	const key = "key_value.endpoints"
	if len(endpoints) == 0 {
		c.add(key, "required")
	}
	for _, endpoint := range endpoints {
		if endpoint == "" {
			c.add(key, "contains an empty URL")
			continue
		}
		c.url(key, endpoint)
	}
}

func (c *checker) url(key, value string) {
	if value == "" {
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.add(key, "want an http or https URL, got %q", value)
	}
}

func (c *checker) between(key string, value, least, most time.Duration) {
	if value < least || value > most {
		c.add(key, "want %s to %s, got %s", least, most, value)
	}
}

func (c *checker) atLeast(key string, value, least time.Duration) {
	if value < least {
		c.add(key, "want at least %s, got %s", least, value)
	}
}

func (c *checker) size(key string, value, least int64) {
	if value < least {
		c.add(key, "want at least %d, got %d", least, value)
	}
}

func (c *checker) oneOf(key, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.add(key, "want one of %v, got %q", allowed, value)
}
