package catalog

import (
	"time"

	"github.com/barleylift/barleylift/internal/profile"
)

// Zone is an availability zone and its region.
type Zone struct {
	Name   string `cbor:"1,keyasint,omitempty"`
	Region string `cbor:"2,keyasint,omitempty"`
}

// Engine is one model engine: an upstream that runs adapters on a base model.
type Engine struct {
	Name string `cbor:"1,keyasint,omitempty"`
	// Address is the base URL of the engine's API, for example http://10.0.0.4:8000.
	Address   string `cbor:"2,keyasint,omitempty"`
	Zone      string `cbor:"3,keyasint,omitempty"`
	BaseModel string `cbor:"4,keyasint,omitempty"`
	// WeightStore names the weight store that the engine loads adapters from.
	WeightStore string `cbor:"5,keyasint,omitempty"`
	// Slots is the number of adapters that the engine holds at once.
	Slots int `cbor:"6,keyasint,omitempty"`
	// MaxRunning is the number of calls that the engine batches at once.
	MaxRunning int `cbor:"7,keyasint,omitempty"`
	// ChecksFencing is set if the engine rejects an order with an outdated fencing token.
	ChecksFencing bool `cbor:"8,keyasint,omitempty"`
	// ResumesStreams is set if the engine can resume a stream after a Last-Event-ID.
	ResumesStreams bool `cbor:"9,keyasint,omitempty"`
	// HonoursPriority is set if the engine orders its batch by priority.
	HonoursPriority bool `cbor:"10,keyasint,omitempty"`
	// MaxReportLag bounds the age of a load report on arrival.
	MaxReportLag time.Duration `cbor:"11,keyasint,omitempty"`
	// Leaving is set if the engine is assigned no new calls.
	Leaving bool `cbor:"12,keyasint,omitempty"`
}

// Service is a plain service: an upstream without adapters.
type Service struct {
	Name     string    `cbor:"1,keyasint,omitempty"`
	Replicas []Replica `cbor:"2,keyasint,omitempty"`
}

// Replica is one address of a plain service.
type Replica struct {
	// Address is the base URL of the replica.
	Address string `cbor:"1,keyasint,omitempty"`
	Zone    string `cbor:"2,keyasint,omitempty"`
	// Leaving is set if the replica is assigned no new calls.
	Leaving bool `cbor:"3,keyasint,omitempty"`
}

// Route maps a net/http mux pattern to a plain service.
type Route struct {
	Name string `cbor:"1,keyasint,omitempty"`
	// Pattern is a net/http ServeMux pattern, for example "POST /logbook/{gym}/ticks".
	Pattern string `cbor:"2,keyasint,omitempty"`
	Service string `cbor:"3,keyasint,omitempty"`
	// Repeatable is set if a call may be sent more than once.
	Repeatable bool `cbor:"4,keyasint,omitempty"`
	// IdempotencyHeader is the name of the header with the idempotency key of a
	// route that is not repeatable; empty if its calls have none.
	IdempotencyHeader string `cbor:"5,keyasint,omitempty"`
	// Retention is how long a recorded outcome is kept for its key.
	Retention time.Duration `cbor:"6,keyasint,omitempty"`
	// Timeout bounds one attempt.
	Timeout time.Duration `cbor:"7,keyasint,omitempty"`
	// MaxBody bounds the request body in bytes.
	MaxBody int64 `cbor:"8,keyasint,omitempty"`
}

// Adapter is a LoRA adapter with the versions that calls may request.
type Adapter struct {
	Name      string   `cbor:"1,keyasint,omitempty"`
	BaseModel string   `cbor:"2,keyasint,omitempty"`
	Versions  []string `cbor:"3,keyasint,omitempty"`
}

// Customer holds the credentials and allowed profiles of a customer.
type Customer struct {
	Name string `cbor:"1,keyasint,omitempty"`
	// TokenHashes are lowercase hex SHA-256 sums of the customer's bearer tokens.
	TokenHashes []string `cbor:"2,keyasint,omitempty"`
	// Profiles lists the allowed profiles; the first is the default.
	Profiles []string `cbor:"3,keyasint,omitempty"`
	// Weight is the customer's relative share within an urgency band.
	Weight float64 `cbor:"4,keyasint,omitempty"`
}

// WeightStore is the rate-limited store that engines load adapters from.
type WeightStore struct {
	Name string `cbor:"1,keyasint,omitempty"`
	// LoadsPerSecond is the rate at which the store serves loads.
	LoadsPerSecond float64 `cbor:"2,keyasint,omitempty"`
	// Concurrent is the number of loads that the store serves at full speed.
	Concurrent int `cbor:"3,keyasint,omitempty"`
}

// Contents is a whole configuration as operators write it.
type Contents struct {
	Zones        []Zone            `cbor:"1,keyasint,omitempty"`
	Engines      []Engine          `cbor:"2,keyasint,omitempty"`
	Services     []Service         `cbor:"3,keyasint,omitempty"`
	Routes       []Route           `cbor:"4,keyasint,omitempty"`
	Adapters     []Adapter         `cbor:"5,keyasint,omitempty"`
	Profiles     []profile.Profile `cbor:"6,keyasint,omitempty"`
	Customers    []Customer        `cbor:"7,keyasint,omitempty"`
	WeightStores []WeightStore     `cbor:"8,keyasint,omitempty"`

	// origins holds the file of each item for use in problems; nil if the contents
	// were not loaded from files.
	origins origins
}
