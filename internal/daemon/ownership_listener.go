package daemon

import "github.com/barleylift/barleylift/internal/ownership"

// ownershipListener forwards gained and lost resources to the component that is
// responsible for their kind.
type ownershipListener struct {
	daemon *Daemon
}

// Gained implements ownership.Listener.
func (l ownershipListener) Gained(h ownership.Holding) {
	l.componentOf(h).Gained(h)
}

// Lost implements ownership.Listener.
func (l ownershipListener) Lost(h ownership.Holding) {
	l.componentOf(h).Lost(h)
}

func (l ownershipListener) componentOf(h ownership.Holding) ownership.Listener {
	switch h.Resource.Kind {
	case ownership.KindEngine:
		return l.daemon.owners
	case ownership.KindClaim:
		return l.daemon.claims
	case ownership.KindPermits:
		return l.daemon.permitService
	default:
		panic("daemon: owned resource of unknown kind " + string(h.Resource.Kind))
	}
}
