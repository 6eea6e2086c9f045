package settings

import (
	"time"
)

// keyProblem is a Problem without the file name.
type keyProblem struct {
	key    string
	reason string
}

// file mirrors Settings with durations as text.
type file struct {
	Name          string            `toml:"name"`
	Zone          string            `toml:"zone"`
	Region        string            `toml:"region"`
	Entry         Entry             `toml:"entry"`
	Peer          Peer              `toml:"peer"`
	Admin         Admin             `toml:"admin"`
	KeyValue      fileKeyValue      `toml:"key_value"`
	VMList        fileVMList        `toml:"vm_list"`
	Lease         fileLease         `toml:"lease"`
	Log           Log               `toml:"log"`
	Drain         fileDrain         `toml:"drain"`
	Limits        fileLimits        `toml:"limits"`
	Configuration fileConfiguration `toml:"configuration"`
}

type fileKeyValue struct {
	Endpoints []string `toml:"endpoints"`
	Timeout   string   `toml:"timeout"`
}

type fileVMList struct {
	URL          string `toml:"url"`
	PollInterval string `toml:"poll_interval"`
}

type fileLease struct {
	TTL string `toml:"ttl"`
}

type fileDrain struct {
	AnswerKeep string `toml:"answer_keep"`
	MaxDrain   string `toml:"max_drain"`
}

// fileLimits uses pointers to distinguish an explicit 0 from a missing key.
type fileLimits struct {
	MaxHeaderBytes   *int   `toml:"max_header_bytes"`
	MaxBodyBytes     *int64 `toml:"max_body_bytes"`
	MaxConnections   *int   `toml:"max_connections"`
	MaxCallsInFlight *int   `toml:"max_calls_in_flight"`
}

type fileConfiguration struct {
	StaleBound string `toml:"stale_bound"`
}

// settings parses durations and applies defaults.
func (f file) settings() (*Settings, []keyProblem) {
	var d durations
	s := &Settings{
		Name: f.Name, Zone: f.Zone, Region: f.Region,
		Entry: f.Entry, Peer: f.Peer, Admin: f.Admin,
		KeyValue: KeyValue{
			Endpoints: f.KeyValue.Endpoints,
			Timeout:   d.parse("key_value.timeout", f.KeyValue.Timeout, DefaultKeyValueTimeout),
		},
		VMList: VMList{
			URL:          f.VMList.URL,
			PollInterval: d.parse("vm_list.poll_interval", f.VMList.PollInterval, DefaultVMListInterval),
		},
		Lease: Lease{TTL: d.parse("lease.ttl", f.Lease.TTL, DefaultLeaseTTL)},
		Log: Log{
			Level:  orDefault(f.Log.Level, DefaultLogLevel),
			Format: orDefault(f.Log.Format, DefaultLogFormat),
		},
		Drain: Drain{
			AnswerKeep: d.parse("drain.answer_keep", f.Drain.AnswerKeep, DefaultAnswerKeep),
			MaxDrain:   d.parse("drain.max_drain", f.Drain.MaxDrain, DefaultMaxDrain),
		},
		Limits: Limits{
			MaxHeaderBytes:   valueOr(f.Limits.MaxHeaderBytes, DefaultMaxHeaderBytes),
			MaxBodyBytes:     valueOr(f.Limits.MaxBodyBytes, DefaultMaxBodyBytes),
			MaxConnections:   valueOr(f.Limits.MaxConnections, DefaultMaxConnections),
			MaxCallsInFlight: valueOr(f.Limits.MaxCallsInFlight, DefaultMaxCallsInFlight),
		},
		Configuration: Configuration{
			StaleBound: d.parse("configuration.stale_bound", f.Configuration.StaleBound, DefaultStaleBound),
		},
	}
	s.Entry.Advertise = orDefault(s.Entry.Advertise, s.Entry.Listen)
	s.Peer.Advertise = orDefault(s.Peer.Advertise, s.Peer.Listen)
	return s, d.problems
}

// durations parses durations and collects their problems.
type durations struct {
	problems []keyProblem
}

func (d *durations) parse(key, text string, fallback time.Duration) time.Duration {
	if text == "" {
		return fallback
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		d.problems = append(d.problems, keyProblem{key, `want a duration such as "1500ms" or "2s", got "` + text + `"`})
		return fallback
	}
	return value
}

func orDefault(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}

func valueOr[T any](value *T, fallback T) T {
	if value == nil {
		return fallback
	}
	return *value
}
