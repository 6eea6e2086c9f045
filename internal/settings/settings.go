package settings

import "time"

// Defaults of optional keys.
const (
	DefaultKeyValueTimeout  = 2 * time.Second
	DefaultVMListInterval   = 2 * time.Second
	DefaultLeaseTTL         = 10 * time.Second
	DefaultLogLevel         = "info"
	DefaultLogFormat        = "json"
	DefaultAnswerKeep       = 10 * time.Second
	DefaultMaxDrain         = 10 * time.Minute
	DefaultMaxHeaderBytes   = 64 << 10
	DefaultMaxBodyBytes     = 4 << 20
	DefaultMaxConnections   = 4096
	DefaultMaxCallsInFlight = 2048
	DefaultStaleBound       = 2 * time.Minute
)

// Upper and lower bounds of settings.
const (
	maxNameLength      = 128
	maxKeyValueTimeout = 30 * time.Second
	minVMListInterval  = 100 * time.Millisecond
	minLeaseTTL        = 2 * time.Second
	minAnswerKeep      = 100 * time.Millisecond
	minHeaderBytes     = 1 << 10
	minStaleBound      = 5 * time.Second
)

// Settings holds the settings of one daemon.
type Settings struct {
	// Name is the unique name of the daemon, as in its certificate.
	Name string `toml:"name"`
	// Zone is the availability zone of the daemon's VM.
	Zone string `toml:"zone"`
	// Region is the region of the zone.
	Region        string        `toml:"region"`
	Entry         Entry         `toml:"entry"`
	Peer          Peer          `toml:"peer"`
	Admin         Admin         `toml:"admin"`
	KeyValue      KeyValue      `toml:"key_value"`
	VMList        VMList        `toml:"vm_list"`
	Lease         Lease         `toml:"lease"`
	Log           Log           `toml:"log"`
	Drain         Drain         `toml:"drain"`
	Limits        Limits        `toml:"limits"`
	Configuration Configuration `toml:"configuration"`
}

// Entry configures the listener for callers.
type Entry struct {
	// Listen is the IP address and TCP port to listen on.
	Listen string `toml:"listen"`
	// Advertise is the IP address and port announced to callers; it defaults to
	// Listen.
	Advertise string `toml:"advertise"`
	// TLSCert and TLSKey are PEM files; without them callers use plain HTTP.
	TLSCert string `toml:"tls_cert"`
	TLSKey  string `toml:"tls_key"`
}

// Peer configures the QUIC listener for other daemons.
type Peer struct {
	// Listen is the IP address and UDP port to listen on.
	Listen string `toml:"listen"`
	// Advertise is the IP address and port announced to peers; it defaults to Listen.
	Advertise string `toml:"advertise"`
	// TLSCert and TLSKey are the PEM files of the daemon's own certificate.
	TLSCert string `toml:"tls_cert"`
	TLSKey  string `toml:"tls_key"`
	// TLSCA is the PEM file of the authority that signs all daemons' certificates.
	TLSCA string `toml:"tls_ca"`
}

// Admin configures the listener for metrics and health checks.
type Admin struct {
	// Listen is the IP address and TCP port of /metrics, /healthz and /readyz.
	Listen string `toml:"listen"`
}

// KeyValue configures the connection to the platform's key-value service.
type KeyValue struct {
	// Endpoints are the base URLs of the service, for example http://10.0.0.2:2379.
	Endpoints []string `toml:"endpoints"`
	// Timeout bounds one call.
	Timeout time.Duration `toml:"timeout"`
}

// VMList configures polling of the platform's list of VMs.
type VMList struct {
	// URL is the URL of the list; empty if there is none.
	URL string `toml:"url"`
	// PollInterval is the time between two reads.
	PollInterval time.Duration `toml:"poll_interval"`
}

// Lease configures the daemon's lease in the key-value service.
type Lease struct {
	// TTL is the time without renewal after which a daemon loses the resources that
	// it owns.
	TTL time.Duration `toml:"ttl"`
}

// Log configures logging.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
	// Format is json or text.
	Format string `toml:"format"`
}

// Drain configures graceful shutdown.
type Drain struct {
	// AnswerKeep is how long callers may cache the list of entry addresses.
	AnswerKeep time.Duration `toml:"answer_keep"`
	// MaxDrain bounds the whole shutdown.
	MaxDrain time.Duration `toml:"max_drain"`
}

// Limits bounds the resources that callers may use.
type Limits struct {
	MaxHeaderBytes   int   `toml:"max_header_bytes"`
	MaxBodyBytes     int64 `toml:"max_body_bytes"`
	MaxConnections   int   `toml:"max_connections"`
	MaxCallsInFlight int   `toml:"max_calls_in_flight"`
}

// Configuration bounds the use of an outdated configuration.
type Configuration struct {
	// StaleBound is how long a daemon accepts calls while it can reach neither the
	// key-value service nor any peer.
	StaleBound time.Duration `toml:"stale_bound"`
}
