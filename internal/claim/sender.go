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
	// SendAnswered means that the service executed the call and answered it.
	SendAnswered
	// SendNotRun means that no byte of the call reached the service, or that
	// the service refused it before executing it.
	SendNotRun
)

// SendResult is the result of an attempt to send a call.
type SendResult struct {
	Kind SendKind
	// Answer is the service's answer to a call that was answered.
	Answer call.KeyedResponse
	// Failure is the reason why the call was not answered, or why the body of
	// its answer is incomplete. It is the zero Result otherwise.
	Failure call.Result
}

// Sender sends a call to its plain service at most once. It returns when the
// outcome cannot become more certain, at the latest after the route's timeout.
type Sender interface {
	Send(ctx context.Context, keyed call.KeyedRequest) SendResult
}
