package routing

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table is one version of the configuration, indexed for lookups. It is
// immutable.
type Table struct {
	version  int64
	limits   Limits
	hosts    map[string]map[string]*Route
	services map[string]*Service
	// requiresKeys is set if callers need an API key.
	requiresKeys bool
	customers    customers
}

// ConfigError reports an invalid field of a configuration.
type ConfigError struct {
	Field  string
	Reason string
}

// Error returns the field and the reason.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("configuration: %s: %s", e.Field, e.Reason)
}

// NewTable validates a configuration and builds its table. Errors are
// *ConfigError values.
func NewTable(config Config) (*Table, error) {
	t := &Table{
		version:  config.Version,
		limits:   config.Limits,
		hosts:    make(map[string]map[string]*Route),
		services: make(map[string]*Service, len(config.Services)),

		requiresKeys: config.RequiresKeys,
	}
	var err error
	if t.customers, err = newCustomers(config.Customers); err != nil {
		return nil, err
	}
	for i := range config.Services {
		t.services[config.Services[i].Name] = &config.Services[i]
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		if err := t.check(route); err != nil {
			return nil, err
		}
		host := strings.ToLower(route.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = make(map[string]*Route)
		}
		t.hosts[host][route.Prefix] = route
	}
	return t, nil
}

func (t *Table) check(route *Route) error {
	field := fmt.Sprintf("route %q", route.Name)
	switch {
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		return &ConfigError{field, fmt.Sprintf("prefix %q must begin and end with a slash", route.Prefix)}
	case len(route.Shares) == 0:
		return &ConfigError{field, "no service is given"}
	case route.Timeout <= 0:
		return &ConfigError{field, "the timeout must be positive"}
	}
	for _, share := range route.Shares {
		if t.services[share.Service] == nil {
			return &ConfigError{field, fmt.Sprintf("service %q is not declared", share.Service)}
		}
		if share.Weight < 0 {
			return &ConfigError{field, fmt.Sprintf("service %q has a negative weight", share.Service)}
		}
	}
	return nil
}

// Version returns the configuration's version.
func (t *Table) Version() int64 {
	return t.version
}

// Limits returns the limits on callers.
func (t *Table) Limits() Limits {
	return t.limits
}

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service {
	return t.services[name]
}

// Services returns all services, in no order.
func (t *Table) Services() []*Service {
	return slices.Collect(maps.Values(t.services))
}

// Match returns the route of the host with the longest prefix of the path, or
// nil. The host may include a port.
func (t *Table) Match(host, path string) *Route {
	routes := t.hosts[hostName(host)]
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if route := routes[path[:slash+1]]; route != nil {
			return route
		}
		end = slash
	}
	return nil
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// PickService selects the service of a request by the route's weights. The same
// request ID always yields the same service.
func (r *Route) PickService(requestID string) string {
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	if total == 0 {
		return r.Shares[0].Service
	}
	point := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, share := range r.Shares {
		if point < share.Weight {
			return share.Service
		}
		point -= share.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}
