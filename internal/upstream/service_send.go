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

// MaxKeyedResponseBytes bounds the answer body of a keyed call in bytes.
const MaxKeyedResponseBytes = 8 << 20

// maxSendAttempts bounds the replicas tried while surely nothing was sent.
const maxSendAttempts = 3

// Send sends a keyed call to one replica of its service. It tries another
// replica only while no byte was sent, or when a replica refused the call
// before executing it. It implements claim.Sender.
func (s *ServiceClient) Send(ctx context.Context, keyed call.KeyedRequest) claim.SendResult {
	route, ok := s.route(keyed.Route)
	if !ok {
		return sendNotRun(call.CodeUnknownRoute, "the route is not configured here")
	}
	var tried []string
	last := sendNotRun(call.CodeNoUpstream, "no replica of the service takes calls")
	for range maxSendAttempts {
		answer, err := s.Attempt(ctx, keyedRequest(route, keyed, tried))
		if err != nil {
			result, again := sendFailed(err, last)
			if !again {
				return result
			}
			last = result
		} else {
			if !answer.NotExecuted {
				return readAnswer(answer)
			}
			_ = answer.Body.Close()
			last = sendNotRun(call.CodeUpstreamError, "the service refused the call before executing it")
		}
		tried = append(tried, replicaOf(answer, err))
	}
	return last
}

// sendFailed judges a failed attempt: its result, and whether another replica
// may be tried. When no replica is left, the last result before it stands.
func sendFailed(err error, last claim.SendResult) (result claim.SendResult, again bool) {
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

func replicaOf(answer *ServiceResponse, err error) string {
	var failure *ServiceError
	if errors.As(err, &failure) {
		return failure.Replica
	}
	if answer != nil {
		return answer.Replica
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

// readAnswer reads the whole answer. The service has executed the call; a body
// that breaks off leaves the call answered with an incomplete body.
func readAnswer(answer *ServiceResponse) claim.SendResult {
	defer answer.Body.Close()
	result := claim.SendResult{
		Kind:   claim.SendAnswered,
		Answer: call.KeyedResponse{Status: answer.Status, Header: answer.Header},
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, MaxKeyedResponseBytes+1))
	switch {
	case err != nil:
		result.Failure = call.Failed(call.Incomplete, call.CodeConnectionLost,
			fmt.Sprintf("the service answered with status %d, but its answer broke off", answer.Status))
	case len(body) > MaxKeyedResponseBytes:
		result.Failure = call.Failed(call.Incomplete, call.CodeTooLarge,
			fmt.Sprintf("the service answered with status %d and a body above %d bytes", answer.Status, MaxKeyedResponseBytes))
	default:
		result.Answer.Body = body
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
