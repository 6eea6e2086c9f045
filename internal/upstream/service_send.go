package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/claim"
)

// MaxKeyedResponseBytes limits the response body of a keyed call.
const MaxKeyedResponseBytes = 8 << 20

// maxSendAttempts limits the number of replicas tried while the call certainly
// was not executed.
const maxSendAttempts = 3

// Send sends a keyed call to one replica of its service. It tries another
// replica only if no byte was sent or if the replica refused the call before
// executing it. It implements claim.Sender.
func (s *ServiceClient) Send(ctx context.Context, keyed call.KeyedRequest) claim.SendResult {
	route, ok := s.route(keyed.Route)
	if !ok {
		return sendNotRun(call.CodeUnknownRoute, "the route is not configured here")
	}
	var tried []string
	last := sendNotRun(call.CodeNoUpstream, "no replica of the service takes calls")
	for range maxSendAttempts {
		response, err := s.Attempt(ctx, keyedRequest(route, keyed, tried))
		if err != nil {
			result, again := classifySendError(err, last)
			if !again {
				return result
			}
			last = result
		} else {
			if !response.NotExecuted {
				return readResponse(response)
			}
			_ = response.Body.Close()
			last = sendNotRun(call.CodeUpstreamError, "the service refused the call before executing it")
		}
		tried = append(tried, replicaOf(response, err))
	}
	return last
}

// classifySendError returns the result of a failed attempt and whether another
// replica may be tried. If no replica is left, the previous result is returned.
func classifySendError(err error, last claim.SendResult) (result claim.SendResult, again bool) {
	var failure *ServiceError
	if !errors.As(err, &failure) {
		return sendUnknown(call.CodeUpstreamError, err.Error()), false
	}
	switch {
	case failure.Sent:
		return sendUnknown(failure.Code, "the connection to the service failed after the call was sent"), false
	case failure.Code == call.CodeNoUpstream:
		return last, false
	case failure.Code == call.CodeCancelled || failure.Code == call.CodeBadRequest:
		return sendNotRun(failure.Code, "the call was not sent"), false
	default:
		return sendNotRun(failure.Code, "no connection to the service"), true
	}
}

func replicaOf(response *ServiceResponse, err error) string {
	var failure *ServiceError
	if errors.As(err, &failure) {
		return failure.Replica
	}
	if response != nil {
		return response.Replica
	}
	return ""
}

func keyedRequest(route catalog.Route, keyed call.KeyedRequest, tried []string) ServiceRequest {
	return ServiceRequest{
		Service:       route.Service,
		Method:        keyed.Method,
		Target:        keyed.Target,
		Header:        RequestHeader(keyed.Header, keyed.Customer),
		Body:          bytes.NewReader(keyed.Body),
		ContentLength: int64(len(keyed.Body)),
		Timeout:       route.Timeout,
		Tried:         tried,
	}
}

// readResponse reads the complete response. The service has executed the call,
// so the result is claim.SendExecuted even if the body is truncated or too large;
// it then has a call.Incomplete failure and a response without a body.
func readResponse(response *ServiceResponse) claim.SendResult {
	defer response.Body.Close()
	result := claim.SendResult{
		Kind:     claim.SendExecuted,
		Response: call.KeyedResponse{Status: response.Status, Header: response.Header},
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxKeyedResponseBytes+1))
	switch {
	case err != nil:
		result.Failure = call.Failed(call.Incomplete, call.CodeConnectionLost,
			fmt.Sprintf("the service answered with status %d, but its answer broke off", response.Status))
	case len(body) > MaxKeyedResponseBytes:
		result.Failure = call.Failed(call.Incomplete, call.CodeTooLarge,
			fmt.Sprintf("the service answered with status %d and a body above %d bytes", response.Status, MaxKeyedResponseBytes))
	default:
		result.Response.Body = body
	}
	return result
}

func sendNotRun(code call.Code, message string) claim.SendResult {
	return claim.SendResult{Kind: claim.SendNotRun, Failure: call.Failed(call.NotRun, code, message)}
}

func sendUnknown(code call.Code, message string) claim.SendResult {
	return claim.SendResult{Kind: claim.SendUnknown, Failure: call.Failed(call.Unknown, code, message)}
}

func isContextError(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
