package topology

import (
	"net/netip"
	"time"
)

// Adapter identifies an adapter of a base model. An empty Name means the base
// model itself.
type Adapter struct {
	Model string
	Name  string
}

// String returns model/name, or the model name alone for a base model.
func (a Adapter) String() string {
	if a.Name == "" {
		return a.Model
	}
	return a.Model + "/" + a.Name
}

// HeldAdapter is an adapter that is loaded in an engine.
type HeldAdapter struct {
	Name    string
	Version int64
}

// HeldModel is a base model that is loaded in an engine, with its loaded
// adapters.
type HeldModel struct {
	Name     string
	Version  int64
	Adapters []HeldAdapter
}

// Upstream is one engine or one replica of a plain service, as described by its
// own registration.
type Upstream struct {
	// ID identifies the process. It is unique, but a restarted process may keep
	// it.
	ID string
	// Incarnation is the process's start time in Unix milliseconds; 0 if unknown.
	// A process restarted under the same ID has a higher Incarnation.
	Incarnation int64
	Service     string
	// SoftwareVersion is the version of the process's software, not of any weights;
	// empty if unknown. A process restarted under the same ID may have another one.
	SoftwareVersion string
	Address         netip.AddrPort
	Zone            string
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Leaving is set when no new requests may be sent.
	Leaving bool
	// RemainingLifetime is the time until the upstream terminates after a short
	// termination notice; 0 if not stated.
	RemainingLifetime time.Duration
	// AcceptedOrders counts the orders that the engine has accepted since its start.
	AcceptedOrders int64
	// Models lists the engine's loaded models; nil for a plain service.
	Models []HeldModel
}

// SameProcess reports whether two registrations describe the same process.
func (u Upstream) SameProcess(other Upstream) bool {
	return u.ID == other.ID && u.Incarnation == other.Incarnation
}

// Holds reports whether a base model is loaded in the upstream.
func (u Upstream) Holds(model string) bool {
	for _, held := range u.Models {
		if held.Name == model {
			return true
		}
	}
	return false
}

// VersionOf returns the version of an adapter that is loaded in the upstream.
func (u Upstream) VersionOf(adapter Adapter) (int64, bool) {
	for _, model := range u.Models {
		if model.Name != adapter.Model {
			continue
		}
		for _, held := range model.Adapters {
			if held.Name == adapter.Name {
				return held.Version, true
			}
		}
	}
	return 0, false
}

// EngineReport is the state that an engine returns when queried directly.
type EngineReport struct {
	// AcceptedOrders counts the orders that the engine has accepted since its start.
	AcceptedOrders int64
	Incarnation    int64
	Models         []HeldModel
	// Loading lists adapters that are being loaded.
	Loading []LoadingAdapter
	// BaseModelChanging is set while a base model is being loaded or unloaded.
	BaseModelChanging bool
}

// LoadingAdapter is an adapter that an engine is loading.
type LoadingAdapter struct {
	Adapter Adapter
	Version int64
}
