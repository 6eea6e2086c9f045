package routing

import "time"

// Kind is the kind of a route; it determines how often a request may run.
type Kind int

// The values of Kind.
const (
	// Safe requests may run more than once.
	Safe Kind = iota
	// Unsafe requests run at most once.
	Unsafe
	// Streaming requests are answered by a stream of events and run at most once,
	// unless the route is resumable.
	Streaming
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Unsafe:
		return "unsafe"
	default:
		return "streaming"
	}
}

// Config is one accepted version of the configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// RequiresKeys is set if callers need an API key on routes that are not public.
	RequiresKeys bool
	Customers    []Customer
}

// Customer is an organization whose callers hold API keys.
type Customer struct {
	Name string
	// Keys holds the texts of the API keys; it is empty in a Table.
	Keys []string
	// Priority replaces the priority of the routes if HasPriority is set; 0 is the most
	// urgent.
	Priority    int
	HasPriority bool
	Quota       Quota
}

// Quota bounds what a customer's callers use over all VMs.
type Quota struct {
	// Rate is the bound per second, and Burst what may be used at once beyond it; a Rate
	// of 0 means no bound.
	Rate  float64
	Burst float64
	// Tokens is set if requests count by their tokens, and otherwise each counts 1.
	Tokens bool
	// PlainTokens is the count of a request that states no tokens.
	PlainTokens int64
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the time from a request's arrival to its end.
	Timeout time.Duration
	// LatencyObjective is the time within which a response has its full value; for
	// a stream, the time to its first event.
	LatencyObjective time.Duration
	// PauseObjective is the longest pause between events of a timely stream.
	PauseObjective time.Duration
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	// Shares lists the services with their weights; it is a single one of weight 1
	// if the route is not split.
	Shares []Share
	// MaxAttempts is the number of upstreams on which one request may run.
	MaxAttempts int
	// Public is set if callers need no API key.
	Public bool
	// Resumable is set if a stream may continue at another engine after its last
	// event.
	Resumable bool
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Share is one service's share of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one upstream accepts from
	// all daemons together; 0 for no limit.
	MaxConnections int
	// Engines is set if the upstreams are model engines.
	Engines *EngineSpec
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// KVCacheTokens is the size of an engine's KV cache.
	KVCacheTokens int64
	// AdapterSlots is the number of adapters that an engine holds at once,
	// including those being loaded.
	AdapterSlots int
	// WeightMemoryMB is an engine's memory for base models and adapters.
	WeightMemoryMB float64
	// ModelLoadsPerSecond bounds the rate of base model loads of all engines.
	ModelLoadsPerSecond float64
	Models              []ModelSpec
}

// ModelSpec describes a base model.
type ModelSpec struct {
	Name      string
	WeightsMB float64
	LoadTime  time.Duration
	AdapterMB float64
}

// Model returns the description of a base model.
func (s *EngineSpec) Model(name string) (ModelSpec, bool) {
	for _, model := range s.Models {
		if model.Name == name {
			return model, true
		}
	}
	return ModelSpec{}, false
}

// AdapterCapacity returns how many adapters an engine can hold in addition to
// the given base models: the adapter slots, or fewer if the weight memory is too
// small.
func (s *EngineSpec) AdapterCapacity(models []string) int {
	freeMB := s.WeightMemoryMB
	maxAdapterMB := 0.0
	for _, name := range models {
		if model, ok := s.Model(name); ok {
			freeMB -= model.WeightsMB
			maxAdapterMB = max(maxAdapterMB, model.AdapterMB)
		}
	}
	if maxAdapterMB <= 0 {
		return s.AdapterSlots
	}
	return max(min(s.AdapterSlots, int(freeMB/maxAdapterMB)), 0)
}

// Limits are the limits on a caller's requests and connections.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
