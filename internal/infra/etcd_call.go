package infra

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/barleylift/barleylift/internal/infra/etcdjson"
)

// operation describes a call. A write changes the service's state; repeating
// an idempotent write has no further effect.
type operation struct {
	kind       string
	path       string
	write      bool
	idempotent bool
}

// The operations of the service.
var (
	opGet       = operation{kind: "get", path: etcdjson.PathRange}
	opRange     = operation{kind: "range", path: etcdjson.PathRange}
	opWatch     = operation{kind: "watch", path: etcdjson.PathWatch}
	opTxn       = operation{kind: "txn", path: etcdjson.PathTxn, write: true}
	opGrant     = operation{kind: "grant", path: etcdjson.PathGrant, write: true}
	opKeepAlive = operation{kind: "keepalive", path: etcdjson.PathKeepAlive, write: true, idempotent: true}
	opRevoke    = operation{kind: "revoke", path: etcdjson.PathRevoke, write: true, idempotent: true}
)

// singleUseBody is a request body that the transport cannot replay. It records
// whether the transport has read any of it.
type singleUseBody struct {
	*bytes.Reader
	readStarted atomic.Bool
}

func (b *singleUseBody) Read(p []byte) (int, error) {
	b.readStarted.Store(true)
	return b.Reader.Read(p)
}

func (b *singleUseBody) Close() error {
	return nil
}

// call sends a request to the preferred endpoint. After a failure that may be
// the endpoint's own, the next endpoint becomes the preferred one and the call
// is retried there, unless it may have been applied and is not idempotent.
func (kv *EtcdKV) call(ctx context.Context, op operation, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return &Error{Op: op.kind, Kind: Refused, Err: err}
	}
	var failure *Error
	for range kv.endpoints {
		failovers := kv.failovers.Load()
		failure = kv.attempt(ctx, op, kv.endpoint(failovers), body, response)
		if failure == nil {
			kv.observe(op.kind, "ok")
			return nil
		}
		kv.observe(op.kind, failure.Kind.String())
		if !endpointAtFault(failure) || ctx.Err() != nil {
			return failure
		}
		kv.failovers.CompareAndSwap(failovers, failovers+1)
		if failure.Kind == Ambiguous && !op.idempotent {
			return failure
		}
	}
	return failure
}

func (kv *EtcdKV) endpoint(failovers uint64) string {
	return kv.endpoints[failovers%uint64(len(kv.endpoints))]
}

// endpointAtFault reports whether the call may succeed at another endpoint. The
// rate limit applies to the whole service, so a rate-limited call is not
// retried at another one.
func endpointAtFault(failure *Error) bool {
	var limited *rateError
	if errors.As(failure.Err, &limited) {
		return false
	}
	return failure.Kind == Unavailable || failure.Kind == Ambiguous
}

// rateError means that the service rejected a call that exceeded its rate limit.
type rateError struct {
	message string
}

func (e *rateError) Error() string {
	return "rate exceeded: " + e.message
}

func (kv *EtcdKV) attempt(ctx context.Context, op operation, endpoint string, body []byte, response any) *Error {
	ctx, cancel := context.WithTimeout(ctx, kv.timeout)
	defer cancel()
	httpResponse, failure := kv.send(ctx, op, endpoint, body)
	if failure != nil {
		return failure
	}
	defer httpResponse.Body.Close()
	limited := &io.LimitedReader{R: httpResponse.Body, N: maxResponseBytes}
	err := json.NewDecoder(limited).Decode(response)
	if err == nil {
		// The connection can be reused only after the whole body was read.
		_, _ = io.Copy(io.Discard, limited)
		return nil
	}
	if limited.N <= 0 {
		err = fmt.Errorf("response exceeds %d bytes", maxResponseBytes)
		return &Error{Op: op.kind, Kind: kindAfterSend(op, Refused), Err: err}
	}
	return &Error{Op: op.kind, Kind: kindAfterSend(op, Unavailable), Err: err}
}

// kindAfterSend returns the kind of a failure after the request was sent:
// Ambiguous for a write, which may have taken effect, otherwise readKind.
func kindAfterSend(op operation, readKind ErrorKind) ErrorKind {
	if op.write {
		return Ambiguous
	}
	return readKind
}

// send sends a request and returns the response if its status is 200.
func (kv *EtcdKV) send(ctx context.Context, op operation, endpoint string, body []byte) (*http.Response, *Error) {
	requestBody := &singleUseBody{Reader: bytes.NewReader(body)}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint+op.path, requestBody)
	if err != nil {
		return nil, &Error{Op: op.kind, Kind: Refused, Err: err}
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	httpResponse, err := kv.client.Do(request)
	if err != nil {
		kind := Unavailable
		if requestBody.readStarted.Load() {
			kind = kindAfterSend(op, Unavailable)
		}
		return nil, &Error{Op: op.kind, Kind: kind, Err: err}
	}
	if httpResponse.StatusCode == http.StatusOK {
		return httpResponse, nil
	}
	defer httpResponse.Body.Close()
	return nil, statusError(op, httpResponse)
}

// maxErrorBytes bounds the part of an error response that is read.
const maxErrorBytes = 16 << 10

func statusError(op operation, httpResponse *http.Response) *Error {
	text, _ := io.ReadAll(io.LimitReader(httpResponse.Body, maxErrorBytes))
	var details etcdjson.Error
	if err := json.Unmarshal(text, &details); err != nil {
		details = etcdjson.Error{Message: string(text)}
	}
	var cause error = fmt.Errorf("status %d: %s", httpResponse.StatusCode, details.Message)
	if httpResponse.StatusCode == http.StatusTooManyRequests {
		cause = &rateError{message: details.Message}
	}
	return &Error{Op: op.kind, Kind: kindOf(httpResponse.StatusCode, details, op.write), Err: cause}
}

// messageNoLeader is the error of a write that was rejected before it was
// proposed. The other messages with CodeUnavailable (request timed out, leader
// changed) come after the proposal, which may still be applied.
const messageNoLeader = "etcdserver: no leader"

// kindOf classifies an error response by its HTTP status and its gRPC code.
func kindOf(status int, details etcdjson.Error, write bool) ErrorKind {
	switch details.Code {
	case etcdjson.CodeNotFound:
		return LeaseNotFound
	case etcdjson.CodeOutOfRange:
		return Compacted
	case etcdjson.CodeInvalidArgument, etcdjson.CodeFailedPrecondition:
		return Refused
	case etcdjson.CodeResourceExhausted:
		return Unavailable
	}
	switch {
	case !write || details.Message == messageNoLeader || status == http.StatusTooManyRequests:
		return Unavailable
	case status >= 400 && status < 500 && status != http.StatusRequestTimeout:
		return Refused
	default:
		return Ambiguous
	}
}
