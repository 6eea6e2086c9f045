package owner

import (
	"context"

	"github.com/barleylift/barleylift/internal/call"
)

// PermitRequest requests a permit to load one adapter from a weight store.
type PermitRequest struct {
	// Store names the weight store.
	Store   string
	Engine  string
	Adapter call.AdapterRef
	// Pressure is the sum of (urgency + 1) × seconds waited over the calls that
	// wait for the adapter at the time of the request.
	Pressure float64
}

// Permit is the permission to run one load. Release returns it and may be
// called at most once.
type Permit interface {
	Release()
}

// Permits grants load permits. Acquire blocks until the load may begin or ctx
// ends. If it fails for another reason, the load runs without a permit: the
// store limits its own rate, so only the order of loads is lost.
type Permits interface {
	Acquire(ctx context.Context, request PermitRequest) (Permit, error)
}
