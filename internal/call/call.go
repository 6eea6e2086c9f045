package call

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Outcome classifies how a call ended, as reported to the caller.
type Outcome string

// The outcomes. NotRun is reported only if no byte of the call can have reached
// an upstream, or if the upstream refused the call before executing it.
const (
	Done       Outcome = "done"
	Rejected   Outcome = "rejected"
	NotRun     Outcome = "not_run"
	Unknown    Outcome = "unknown"
	Incomplete Outcome = "incomplete"
)

// AdapterRef identifies a version of an adapter.
type AdapterRef struct {
	Name    string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
}

// String returns the reference in the form name@version, which is also the
// model name that engines use.
func (r AdapterRef) String() string {
	return r.Name + "@" + r.Version
}

// ParseAdapterRef parses name@version. Both parts are required.
func ParseAdapterRef(model string) (AdapterRef, error) {
	name, version, ok := strings.Cut(model, "@")
	if !ok || name == "" || version == "" || strings.Contains(version, "@") {
		return AdapterRef{}, fmt.Errorf("model %q: want adapter@version", model)
	}
	return AdapterRef{Name: name, Version: version}, nil
}

// NewID returns a random identifier for a call or an attempt.
func NewID() string {
	return rand.Text()
}

// ModelRequest is a model call as an entry sends it to the daemon that owns the
// engine.
type ModelRequest struct {
	// ID identifies the call across all of its attempts.
	ID string `cbor:"1,keyasint"`
	// Attempt identifies this attempt; a response with another attempt's
	// identifier is dropped.
	Attempt  string     `cbor:"2,keyasint"`
	Customer string     `cbor:"3,keyasint"`
	Profile  string     `cbor:"4,keyasint"`
	Adapter  AdapterRef `cbor:"5,keyasint"`
	// Engine is the name of the engine that the entry selected.
	Engine string `cbor:"6,keyasint"`
	// Path is the engine API path, /v1/completions or /v1/chat/completions.
	Path string `cbor:"7,keyasint"`
	// Body is the caller's JSON request with the model name unchanged.
	Body   []byte `cbor:"8,keyasint"`
	Stream bool   `cbor:"9,keyasint"`
	// MaxTokens limits the number of generated tokens.
	MaxTokens int `cbor:"10,keyasint"`
	// PromptTokens is the estimated prompt length.
	PromptTokens int `cbor:"11,keyasint"`
	// Tolerance is the remaining time that the call may wait for its first token,
	// counted from when the request is sent.
	Tolerance time.Duration `cbor:"12,keyasint"`
	// Generation is the configuration generation with which the entry resolved
	// the call.
	Generation uint64 `cbor:"13,keyasint"`
	// ServedElsewhere is the number of tokens that the customer received from
	// other engines through this entry since its last call to this engine.
	ServedElsewhere int `cbor:"14,keyasint"`
}

// Part is one part of a model call's response: one SSE data payload of a
// stream, or the whole JSON body of a response that is not streamed.
type Part struct {
	Attempt string `cbor:"1,keyasint"`
	// Index numbers the parts of one call from 0 without gaps.
	Index int    `cbor:"2,keyasint"`
	Data  []byte `cbor:"3,keyasint"`
	// Tokens is the number of generated tokens that the part carries.
	Tokens int `cbor:"4,keyasint"`
}

// Sink receives the parts of one response in order. It is called from one
// goroutine. An error means that the receiver has disconnected; the call is
// then cancelled.
type Sink interface {
	Deliver(Part) error
}

// Result is the end result of a call. The failure fields are unused if Outcome
// is Done.
type Result struct {
	Outcome Outcome `cbor:"1,keyasint"`
	// Code is a machine-readable reason, one of the Code constants.
	Code    Code   `cbor:"2,keyasint"`
	Message string `cbor:"3,keyasint"`
	// RetryAfter is how long the caller should wait before it retries; 0 if
	// unspecified.
	RetryAfter time.Duration `cbor:"4,keyasint"`
	// FinishReason is the engine's finish reason if Outcome is Done.
	FinishReason string `cbor:"5,keyasint"`
	// LoadStall is the time that the call waited for its adapter to load.
	LoadStall time.Duration `cbor:"6,keyasint"`
	// QueueWait is the total time that the call waited at the engine's owner.
	QueueWait time.Duration `cbor:"7,keyasint"`
	// DeliveredParts is the number of parts delivered to the sink.
	DeliveredParts int `cbor:"8,keyasint"`
	// Tokens is the number of generated tokens delivered to the sink.
	Tokens int `cbor:"9,keyasint"`
}

// Code is a machine-readable reason that accompanies an outcome.
type Code string

// The codes that barleylift reports.
const (
	CodeBadRequest     Code = "bad_request"
	CodeUnauthorized   Code = "unauthorized"
	CodeForbidden      Code = "forbidden"
	CodeUnknownAdapter Code = "unknown_adapter"
	CodeUnknownRoute   Code = "unknown_route"
	CodeTooLarge       Code = "too_large"
	CodeKeyReused      Code = "idempotency_key_reused"
	CodeLimit          Code = "limit_exceeded"
	CodeExpectedWait   Code = "expected_wait_exceeds_tolerance"
	CodeDeadline       Code = "delay_tolerance_exceeded"
	CodeNoUpstream     Code = "no_upstream"
	CodeNotOwner       Code = "not_owner"
	CodeDraining       Code = "draining"
	CodeStale          Code = "stale_configuration"
	CodePlatformDown   Code = "platform_unavailable"
	CodeLoadFailed     Code = "adapter_load_failed"
	CodeWrongModel     Code = "wrong_model"
	CodeUpstreamError  Code = "upstream_error"
	CodeConnectionLost Code = "connection_lost"
	CodeTimeout        Code = "timeout"
	CodeCancelled      Code = "cancelled"
	CodeClaimUnknown   Code = "claim_unknown"
)

// Error implements error.
func (r Result) Error() string {
	if r.Message == "" {
		return string(r.Outcome) + ": " + string(r.Code)
	}
	return string(r.Outcome) + ": " + string(r.Code) + ": " + r.Message
}

// Failed returns a result with an outcome other than Done.
func Failed(outcome Outcome, code Code, message string) Result {
	return Result{Outcome: outcome, Code: code, Message: message}
}

// WithRetryAfter returns a copy of r with a retry delay.
func (r Result) WithRetryAfter(after time.Duration) Result {
	r.RetryAfter = after
	return r
}

// Status returns the HTTP status of a result for which no part was delivered.
func (r Result) Status() int {
	switch r.Outcome {
	case Done:
		return http.StatusOK
	case Rejected:
		return rejectedStatus(r.Code)
	case NotRun:
		if r.Code == CodeLimit {
			return http.StatusTooManyRequests
		}
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadGateway
	}
}

func rejectedStatus(code Code) int {
	switch code {
	case CodeUnauthorized:
		return http.StatusUnauthorized
	case CodeForbidden:
		return http.StatusForbidden
	case CodeUnknownAdapter, CodeUnknownRoute:
		return http.StatusNotFound
	case CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeKeyReused:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusBadRequest
	}
}

// KeyedRequest is a call with an idempotency key to a plain service, for a
// route whose calls may not be repeated, as sent to the owner of its claim
// shard.
type KeyedRequest struct {
	ID       string `cbor:"1,keyasint"`
	Customer string `cbor:"2,keyasint"`
	Route    string `cbor:"3,keyasint"`
	Key      string `cbor:"4,keyasint"`
	Method   string `cbor:"5,keyasint"`
	// Target is the request URI: path and query.
	Target string      `cbor:"6,keyasint"`
	Header http.Header `cbor:"7,keyasint"`
	Body   []byte      `cbor:"8,keyasint"`
	// Tolerance is the remaining time for the call, counted from when the request
	// is sent.
	Tolerance  time.Duration `cbor:"9,keyasint"`
	Generation uint64        `cbor:"10,keyasint"`
}

// KeyedResponse is the complete response of a plain service to a keyed call.
type KeyedResponse struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint"`
	// Replayed is set if the response was recorded by an earlier call with the
	// same key.
	Replayed bool `cbor:"4,keyasint"`
}
