package claim

import (
	"context"

	"github.com/barleylift/barleylift/internal/call"
)

// SendKind classifies the result of an attempt to send a call.
type SendKind int

// The kinds of send results.
const (
	// SendUnknown means that the service may have executed the call.
	SendUnknown SendKind = iota
	// SendExecuted means that the service executed the call and responded to it.
	SendExecuted
	// SendNotRun means that no byte of the call reached the service, or that
	// the service refused it before executing it.
	SendNotRun
)

// SendResult is the result of an attempt to send a call.
type SendResult struct {
	Kind SendKind
	// Response is the service's response if Kind is SendExecuted.
	Response call.KeyedResponse
	// Failure is the reason why there is no response, or why the body of the
	// response is incomplete. It is the zero Result otherwise.
	Failure call.Result
}

// Sender sends a call to its plain service at most once. It returns when the
// outcome cannot become more certain, at the latest after the route's timeout.
type Sender interface {
	Send(ctx context.Context, keyed call.KeyedRequest) SendResult
}
