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

// operation names a call. A write changes the service's state; a repeatable
// one does so to the same effect when it is made twice.
type operation struct {
	kind       string
	path       string
	write      bool
	repeatable bool
}

// The operations of the service.
var (
	opGet       = operation{kind: "get", path: etcdjson.PathRange}
	opRange     = operation{kind: "range", path: etcdjson.PathRange}
	opWatch     = operation{kind: "watch", path: etcdjson.PathWatch}
	opTxn       = operation{kind: "txn", path: etcdjson.PathTxn, write: true}
	opGrant     = operation{kind: "grant", path: etcdjson.PathGrant, write: true}
	opKeepAlive = operation{kind: "keepalive", path: etcdjson.PathKeepAlive, write: true, repeatable: true}
	opRevoke    = operation{kind: "revoke", path: etcdjson.PathRevoke, write: true, repeatable: true}
)

// onceBody is a request body that cannot be replayed and that records whether
// any of it was handed to the transport.
type onceBody struct {
	*bytes.Reader
	touched atomic.Bool
}

func (b *onceBody) Read(p []byte) (int, error) {
	b.touched.Store(true)
	return b.Reader.Read(p)
}

func (b *onceBody) Close() error {
	return nil
}

// call sends a request to the preferred endpoint. After a failure that another
// endpoint may not share, the next one is preferred. The call itself moves on
// to it unless it may have been applied and must not be repeated.
func (kv *EtcdKV) call(ctx context.Context, op operation, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return &Error{Op: op.kind, Kind: Refused, Err: err}
	}
	var failure *Error
	for range kv.endpoints {
		turn := kv.preferred.Load()
		failure = kv.attempt(ctx, op, kv.endpoint(turn), body, response)
		if failure == nil {
			kv.observe(op.kind, "ok")
			return nil
		}
		kv.observe(op.kind, failure.Kind.String())
		if !endpointAtFault(failure) || ctx.Err() != nil {
			return failure
		}
		kv.preferred.CompareAndSwap(turn, turn+1)
		if failure.Kind == Ambiguous && !op.repeatable {
			return failure
		}
	}
	return failure
}

func (kv *EtcdKV) endpoint(turn uint64) string {
	return kv.endpoints[turn%uint64(len(kv.endpoints))]
}

// endpointAtFault reports whether another endpoint may do better. The limit on
// the rate is the service's, so that it is not tried elsewhere.
func endpointAtFault(failure *Error) bool {
	var limited *rateError
	if errors.As(failure.Err, &limited) {
		return false
	}
	return failure.Kind == Unavailable || failure.Kind == Ambiguous
}

// rateError means that the service refused a call for exceeding its rate.
type rateError struct {
	message string
}

func (e *rateError) Error() string {
	return "rate exceeded: " + e.message
}

func (kv *EtcdKV) attempt(ctx context.Context, op operation, endpoint string, body []byte, response any) *Error {
	ctx, cancel := context.WithTimeout(ctx, kv.timeout)
	defer cancel()
	reply, failure := kv.send(ctx, op, endpoint, body)
	if failure != nil {
		return failure
	}
	defer reply.Body.Close()
	limited := &io.LimitedReader{R: reply.Body, N: maxResponseBytes}
	err := json.NewDecoder(limited).Decode(response)
	if err == nil {
		// What follows the first message is read so that the connection can be used again.
		_, _ = io.Copy(io.Discard, limited)
		return nil
	}
	if limited.N <= 0 {
		err = fmt.Errorf("response exceeds %d bytes", maxResponseBytes)
		return &Error{Op: op.kind, Kind: sentKind(op, Refused), Err: err}
	}
	return &Error{Op: op.kind, Kind: sentKind(op, Unavailable), Err: err}
}

// sentKind returns the kind of a failure after the request was sent: a write
// may have taken effect, a read has none.
func sentKind(op operation, read ErrorKind) ErrorKind {
	if op.write {
		return Ambiguous
	}
	return read
}

// send sends a request and returns the response if its status is 200.
func (kv *EtcdKV) send(ctx context.Context, op operation, endpoint string, body []byte) (*http.Response, *Error) {
	once := &onceBody{Reader: bytes.NewReader(body)}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint+op.path, once)
	if err != nil {
		return nil, &Error{Op: op.kind, Kind: Refused, Err: err}
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	reply, err := kv.client.Do(request)
	if err != nil {
		kind := Unavailable
		if once.touched.Load() {
			kind = sentKind(op, Unavailable)
		}
		return nil, &Error{Op: op.kind, Kind: kind, Err: err}
	}
	if reply.StatusCode == http.StatusOK {
		return reply, nil
	}
	defer reply.Body.Close()
	return nil, statusError(op, reply)
}

// maxErrorBytes bounds what is read of an error response.
const maxErrorBytes = 16 << 10

func statusError(op operation, reply *http.Response) *Error {
	text, _ := io.ReadAll(io.LimitReader(reply.Body, maxErrorBytes))
	var details etcdjson.Error
	if err := json.Unmarshal(text, &details); err != nil {
		details = etcdjson.Error{Message: string(text)}
	}
	var cause error = fmt.Errorf("status %d: %s", reply.StatusCode, details.Message)
	if reply.StatusCode == http.StatusTooManyRequests {
		cause = &rateError{message: details.Message}
	}
	return &Error{Op: op.kind, Kind: kindOf(reply.StatusCode, details, op.write), Err: cause}
}

// messageNoLeader is the service's refusal before it proposes a write. Its
// other messages with CodeUnavailable (request timed out, leader changed) come
// after the proposal, which may still be applied.
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
