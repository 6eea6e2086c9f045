package relay

import (
	"net/http"
	"time"

	"github.com/barleylift/barleylift/internal/topology"
)

// Call is a caller's request, decoded.
type Call struct {
	// ID identifies the request; each attempt of a caller has its own.
	ID string
	// Method, Host and Target are passed on unchanged. Path is the target
	// without its query.
	Method string
	Host   string
	Target string
	Path   string
	// Timeout is how long the caller will wait; 0 if it did not say.
	Timeout time.Duration
	// Adapter names the model and adapter of a model request; its Model is
	// empty for others.
	Adapter topology.Adapter
	// PromptTokens and OutputTokens are the sizes that the caller states.
	PromptTokens    int
	MaxOutputTokens int
	// LastEventID is the last event that the caller has of a stream; empty if
	// it starts anew.
	LastEventID string
	// Header holds the fields to pass on, without those of one connection and
	// those that are the daemon's to set.
	Header http.Header
}

// SendParams is what the daemon adds to one send of a call.
type SendParams struct {
	// UpstreamID is the process that may run the call; any other refuses it.
	UpstreamID string
	// TimeLeft is how long the upstream may work.
	TimeLeft time.Duration
	// AdapterVersion is the adapter's version that must be used; 0 for any.
	AdapterVersion int64
	// Priority is the rank of the route, 0 first; used for model calls only.
	Priority int
	// LastEventID is the event after which a stream is to go on.
	LastEventID string
}

// ResponseHead is what the head of an answer says, beside its status and header.
type ResponseHead struct {
	RequestID string
	// Signed tells that the answer carries the upstream's signature.
	Signed bool
	// NotRun states that the upstream did not run the call and never will.
	NotRun bool
	// Misdirected tells that the upstream is not the expected process, or does
	// not hold the adapter in the expected version; the call did not run.
	Misdirected bool
	// StatusImpliesNotRun tells that callers read the status as a promise that the call has
	// not run. Without NotRun or Misdirected there is nothing to it.
	StatusImpliesNotRun bool
	// UpstreamID is the process that answered; empty if it did not say.
	UpstreamID string
	// ContentEncoded tells that the body carries a content coding and so is not the
	// upstream's.
	ContentEncoded bool
}

// Protocol translates between header fields and the types above.
type Protocol interface {
	// DecodeRequest reads a caller's request.
	DecodeRequest(r *http.Request) (*Call, error)
	// RequestHeader returns the header of one send of the call.
	RequestHeader(call *Call, sending SendParams) http.Header
	// DecodeResponseHead reads the head of an answer.
	DecodeResponseHead(status int, header http.Header) ResponseHead
	// ResponseHeader returns the fields of an answer that are passed on.
	ResponseHeader(header http.Header) http.Header
	// WriteError writes an answer of the daemon's own. RetryAfter is left out if 0.
	WriteError(w http.ResponseWriter, call *Call, status int, retryAfter time.Duration, reason string)
}
