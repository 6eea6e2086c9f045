// Package profile defines the service class of calls: the adapters that they may
// use, their urgency, delay tolerance and limits.
package profile

import (
	"path"
	"time"
)

// Urgency is the urgency band of a profile. Higher values are served first.
type Urgency int

// The urgency bands, from least to most urgent.
const (
	Background Urgency = iota
	Normal
	High
	Critical
)

// UrgencyCount is the number of urgency bands.
const UrgencyCount = int(Critical) + 1

// String returns the name that the configuration uses.
func (u Urgency) String() string {
	switch u {
	case Background:
		return "background"
	case High:
		return "high"
	case Critical:
		return "critical"
	default:
		return "normal"
	}
}

// ParseUrgency returns the band with the given name.
func ParseUrgency(name string) (Urgency, bool) {
	for u := Background; u <= Critical; u++ {
		if u.String() == name {
			return u, true
		}
	}
	return Normal, false
}

// Profile is a service class of calls.
type Profile struct {
	Name    string  `cbor:"1,keyasint,omitempty"`
	Urgency Urgency `cbor:"2,keyasint,omitempty"`
	// DelayTolerance bounds the wait until the first token or byte of the response.
	DelayTolerance time.Duration `cbor:"3,keyasint,omitempty"`
	// Adapters lists path.Match patterns for adapter names; at least one must match.
	Adapters []string `cbor:"4,keyasint,omitempty"`
	// Versions lists path.Match patterns for versions; an empty list allows all.
	Versions []string `cbor:"5,keyasint,omitempty"`
	// MaxInFlight bounds the calls in flight of one customer with this profile at
	// one daemon; 0 means no bound.
	MaxInFlight int `cbor:"6,keyasint,omitempty"`
	// TokensPerSecond bounds the rate of tokens generated for one customer with
	// this profile at one daemon; 0 means no bound.
	TokensPerSecond float64 `cbor:"7,keyasint,omitempty"`
}

// Allows reports whether the profile may use a version of an adapter.
func (p Profile) Allows(adapter, version string) bool {
	return matchAny(p.Adapters, adapter) && (len(p.Versions) == 0 || matchAny(p.Versions, version))
}

func matchAny(patterns []string, name string) bool {
	for _, pattern := range patterns {
		if ok, err := path.Match(pattern, name); err == nil && ok {
			return true
		}
	}
	return false
}
