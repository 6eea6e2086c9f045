package topology

import (
	"net/netip"
	"time"
)

// Adapter names an adapter of a base model. An empty Name means the base
// model itself.
type Adapter struct {
	Model string
	Name  string
}

// String returns model/name, or the model alone.
func (a Adapter) String() string {
	if a.Name == "" {
		return a.Model
	}
	return a.Model + "/" + a.Name
}

// HeldAdapter is an adapter that an engine holds.
type HeldAdapter struct {
	Name    string
	Version int64
}

// HeldModel is a base model that an engine holds, with its adapters.
type HeldModel struct {
	Name     string
	Version  int64
	Adapters []HeldAdapter
}

// Upstream is one engine or one replica of a plain service, as its own
// registration describes it.
type Upstream struct {
	// ID names the process. It is unique, but a restart may keep it.
	ID string
	// Incarnation is when the process started, in Unix milliseconds; 0 if unknown. A
	// restart under the same ID has a later Incarnation.
	Incarnation int64
	Service     string
	Address     netip.AddrPort
	Zone        string
	// Slots is the number of requests that run at once.
	Slots int
	// Leaving tells that nothing new may be sent.
	Leaving bool
	// RemainingLifetime is how long the upstream still lives after a short notice; 0
	// if it did not say.
	RemainingLifetime time.Duration
	// AcceptedOrders counts the orders that the engine has accepted since its start.
	AcceptedOrders int64
	// Models lists what the engine holds; nil for a plain service.
	Models []HeldModel
}

// SameProcess reports whether two registrations are of one process.
func (u Upstream) SameProcess(other Upstream) bool {
	return u.ID == other.ID && u.Incarnation == other.Incarnation
}

// Holds reports whether the upstream holds a base model.
func (u Upstream) Holds(model string) bool {
	for _, held := range u.Models {
		if held.Name == model {
			return true
		}
	}
	return false
}

// VersionOf returns the version of an adapter that the upstream holds.
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

// EngineReport is what an engine says of itself when it is asked directly.
type EngineReport struct {
	// AcceptedOrders counts the orders that the engine has accepted since its start.
	AcceptedOrders int64
	Incarnation    int64
	Models         []HeldModel
	// Loading lists adapters on their way into the engine.
	Loading []LoadingAdapter
	// BaseModelChanging tells that a base model is being loaded or unloaded.
	BaseModelChanging bool
}

// LoadingAdapter is an adapter on its way into an engine.
type LoadingAdapter struct {
	Adapter Adapter
	Version int64
}
