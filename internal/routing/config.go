package routing

import "time"

// Kind tells how often a request of a route may run.
type Kind int

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = iota
	// Unsafe requests run at most once.
	Unsafe
	// Streaming requests are answered by a series of events and run at most
	// once, unless the route is resumable.
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
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer has its full value; for a
	// stream, the time to its first event.
	LatencyObjective time.Duration
	// PauseObjective is the longest pause between events of a timely stream.
	PauseObjective time.Duration
	// Priority is the urgency; 0 is the most urgent.
	Priority int
	// Shares lists the services with their weights; one of weight 1 if the
	// route is not split.
	Shares []Share
	// MaxAttempts is the number of upstreams on which one request may run.
	MaxAttempts int
	// Resumable streams may go on at another engine after their last event.
	Resumable bool
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Share is one service's part of a route.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// MaxConnections is what one upstream accepts from all daemons together;
	// 0 means that there is no bound.
	MaxConnections int
	// Engines is set if the upstreams are model engines.
	Engines *EngineSpec
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// KVCacheTokens is an engine's KV cache, in tokens.
	KVCacheTokens int64
	// AdapterSlots is the number of adapters that an engine holds at once,
	// those on their way included.
	AdapterSlots int
	// WeightMemoryMB is the memory for base models and adapters, in megabytes.
	WeightMemoryMB float64
	// ModelLoadsPerSecond bounds the loads of base models over all engines.
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

// AdapterCapacity returns how many adapters fit beside the base models that
// an engine holds: the adapter slots, or fewer if the memory for weights is
// smaller.
func (s *EngineSpec) AdapterCapacity(models []string) int {
	free := s.WeightMemoryMB
	largest := 0.0
	for _, name := range models {
		if model, ok := s.Model(name); ok {
			free -= model.WeightsMB
			largest = max(largest, model.AdapterMB)
		}
	}
	if largest <= 0 {
		return s.AdapterSlots
	}
	return max(min(s.AdapterSlots, int(free/largest)), 0)
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
