package catalog

// Kind is a kind of item in the configuration.
type Kind uint8

// The kinds of items. The numbers are stored, so they must not change.
const (
	KindZone Kind = iota + 1
	KindEngine
	KindService
	KindRoute
	KindAdapter
	KindProfile
	KindCustomer
	KindWeightStore
)

// String returns the name of the kind's table in the TOML files.
func (k Kind) String() string {
	switch k {
	case KindZone:
		return "zone"
	case KindEngine:
		return "engine"
	case KindService:
		return "service"
	case KindRoute:
		return "route"
	case KindAdapter:
		return "adapter"
	case KindProfile:
		return "profile"
	case KindCustomer:
		return "customer"
	case KindWeightStore:
		return "weight_store"
	default:
		return "unknown"
	}
}
