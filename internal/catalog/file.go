package catalog

import (
	"fmt"
	"time"
)

// Defaults of optional keys.
const (
	DefaultMaxReportLag   = 2 * time.Second
	DefaultRouteTimeout   = 10 * time.Second
	DefaultRouteMaxBody   = 1 << 20
	DefaultRetention      = 24 * time.Hour
	DefaultDelayTolerance = 30 * time.Second
	DefaultWeight         = 1.0
	DefaultConcurrent     = 1
)

// file is one TOML file of a configuration directory.
type file struct {
	Zones        []fileZone        `toml:"zone"`
	Engines      []fileEngine      `toml:"engine"`
	Services     []fileService     `toml:"service"`
	Routes       []fileRoute       `toml:"route"`
	Adapters     []fileAdapter     `toml:"adapter"`
	AdapterSets  []fileAdapterSet  `toml:"adapter_set"`
	Profiles     []fileProfile     `toml:"profile"`
	Customers    []fileCustomer    `toml:"customer"`
	WeightStores []fileWeightStore `toml:"weight_store"`
}

type fileZone struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

type fileEngine struct {
	Name            string `toml:"name"`
	Address         string `toml:"address"`
	Zone            string `toml:"zone"`
	BaseModel       string `toml:"base_model"`
	WeightStore     string `toml:"weight_store"`
	Slots           int    `toml:"slots"`
	MaxRunning      int    `toml:"max_running"`
	ChecksFencing   bool   `toml:"checks_fencing"`
	ResumesStreams  bool   `toml:"resumes_streams"`
	HonoursPriority bool   `toml:"honours_priority"`
	MaxReportLag    string `toml:"max_report_lag"`
	Leaving         bool   `toml:"leaving"`
}

type fileService struct {
	Name     string        `toml:"name"`
	Replicas []fileReplica `toml:"replica"`
}

type fileReplica struct {
	Address string `toml:"address"`
	Zone    string `toml:"zone"`
	Leaving bool   `toml:"leaving"`
}

type fileRoute struct {
	Name              string `toml:"name"`
	Pattern           string `toml:"pattern"`
	Service           string `toml:"service"`
	Repeatable        *bool  `toml:"repeatable"`
	IdempotencyHeader string `toml:"idempotency_header"`
	Retention         string `toml:"retention"`
	Timeout           string `toml:"timeout"`
	MaxBody           *int64 `toml:"max_body_bytes"`
}

type fileAdapter struct {
	Name      string   `toml:"name"`
	BaseModel string   `toml:"base_model"`
	Versions  []string `toml:"versions"`
}

// fileAdapterSet declares many adapters of one base model, each as
// name@version or name@version,version.
type fileAdapterSet struct {
	BaseModel string   `toml:"base_model"`
	Adapters  []string `toml:"adapters"`
}

type fileProfile struct {
	Name            string   `toml:"name"`
	Urgency         string   `toml:"urgency"`
	DelayTolerance  string   `toml:"delay_tolerance"`
	Adapters        []string `toml:"adapters"`
	Versions        []string `toml:"versions"`
	MaxInFlight     int      `toml:"max_in_flight"`
	TokensPerSecond float64  `toml:"tokens_per_second"`
}

type fileCustomer struct {
	Name        string   `toml:"name"`
	TokenHashes []string `toml:"token_hashes"`
	Profiles    []string `toml:"profiles"`
	Weight      *float64 `toml:"weight"`
}

type fileWeightStore struct {
	Name           string  `toml:"name"`
	LoadsPerSecond float64 `toml:"loads_per_second"`
	Concurrent     *int    `toml:"concurrent"`
}

func valueOr[T any](value *T, fallback T) T {
	if value == nil {
		return fallback
	}
	return *value
}

// field returns the Field of a Problem with one key of one item.
func field(kind Kind, name, key string) string {
	return fmt.Sprintf("%s %q: %s", kind, name, key)
}
