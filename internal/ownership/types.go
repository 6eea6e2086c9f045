package ownership

// Kind is a kind of resource that exactly one daemon owns at a time.
type Kind string

// The kinds of resources.
const (
	KindEngine  Kind = "engine"
	KindClaim   Kind = "claim"
	KindPermits Kind = "permits"
)

// Resource is one resource to be owned by a daemon.
type Resource struct {
	Kind Kind
	ID   string
	// Zone is the availability zone that the owner should be in or near; empty
	// for any.
	Zone string
}

// Token is a fencing token: the create revision of an owner key. A later
// owner of the same resource has a greater token.
type Token int64

// Member is a daemon's announcement of itself to the others.
type Member struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// PeerAddress is host:port for calls between daemons (QUIC over UDP).
	PeerAddress string `json:"peer_address"`
	// EntryAddress is host:port for callers.
	EntryAddress string `json:"entry_address"`
	// Leaving is set while the daemon drains: it acquires no resources and is
	// no longer offered to callers.
	Leaving bool `json:"leaving,omitempty"`
}

// Owner is the current owner of a resource.
type Owner struct {
	Member string `json:"member"`
	// PeerAddress is the owner's address for calls between daemons.
	PeerAddress string `json:"peer_address"`
	Token       Token  `json:"-"`
}

// Holding is a resource that this daemon owns.
type Holding struct {
	Resource Resource
	Token    Token
}

// View gives the rest of a daemon read access to membership and ownership. It
// is safe for concurrent use.
type View interface {
	// Self returns this daemon's own announcement.
	Self() Member
	// Members returns all known members in name order, self included.
	Members() []Member
	// Owner returns the last known owner of the resource.
	Owner(kind Kind, id string) (Owner, bool)
	// Holds returns this daemon's fencing token for the resource, and whether
	// it holds it under a lease that is known to be valid now.
	Holds(kind Kind, id string) (Token, bool)
	// LeaseValid reports whether this daemon's lease is known to be valid now.
	LeaseValid() bool
}

// Listener is called when this daemon gains or loses a resource. Calls for one
// resource are made in order, from one goroutine at a time.
type Listener interface {
	// Gained starts the component that serves the resource.
	Gained(Holding)
	// Lost stops it. The resource may already have a new owner.
	Lost(Holding)
}
