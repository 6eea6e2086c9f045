package relay

import (
	"net/http"
	"time"

	"github.com/barleylift/barleylift/internal/topology"
)

// Call is a caller's decoded request.
type Call struct {
	// ID identifies the request; a retry by the caller has another ID.
	ID string
	// Method, Host and Target are forwarded unchanged. Path is the target without
	// its query.
	Method string
	Host   string
	Target string
	Path   string
	// Caller identifies who sends the request; empty if it doesn't say.
	Caller Secret
	// Key is the caller's API key; empty if it sends none, or several. KeyProblem then says
	// why.
	Key        Secret
	KeyProblem string
	// Timeout is how long the caller waits for the response; 0 if not stated.
	Timeout time.Duration
	// Adapter identifies the model and adapter of a model request; its Model is
	// empty for other requests.
	Adapter topology.Adapter
	// PromptTokens and MaxOutputTokens are as stated by the caller.
	PromptTokens    int
	MaxOutputTokens int
	// Usage is the number of tokens that counts for the customer's quota.
	Usage TokenUsage
	// PromptParts lists the parts of the prompt in order, as stated by the caller.
	PromptParts []topology.PromptPart
	// PartTokens holds the number of tokens of each of PromptParts; 0 if not stated.
	PartTokens []int
	// LengthHint is the number of output tokens that the caller expects; 0 if not stated.
	LengthHint int
	// LastEventID identifies the last event that the caller received of a stream;
	// empty to start the stream from its beginning.
	LastEventID string
	// FirstTry is the ID of the caller's request that brought the first event of a
	// stream which this one resumes; empty if not stated.
	FirstTry string
	// Header holds the fields to forward, without hop-by-hop fields and those that
	// only the daemon sets. It may hold an API key and must not be logged.
	Header http.Header
}

// timeout returns how long the caller waits for the response.
func (c *Call) timeout() time.Duration {
	if c.Timeout <= 0 {
		return defaultCallTimeout
	}
	return c.Timeout
}

// SendParams holds what the daemon adds to a call when it sends it.
type SendParams struct {
	// UpstreamID identifies the process that may run the call; any other process
	// refuses it.
	UpstreamID string
	// TimeLeft is how long the upstream may take.
	TimeLeft time.Duration
	// AdapterVersion is the required version of the adapter; 0 for any.
	AdapterVersion int64
	// Priority is the request's priority, 0 being the most urgent; used for model
	// calls only.
	Priority int
	// KeysRequired is set if callers need API keys. The upstream then gets none, nor what
	// the caller says of itself, but the name of the customer; empty for none.
	KeysRequired bool
	Customer     string
	// LastEventID identifies the event after which a stream resumes.
	LastEventID string
}

// ResponseHead holds what a response's status and header state about the call.
type ResponseHead struct {
	RequestID string
	// Signed is set if the response carries the upstream's signature.
	Signed bool
	// NotRun is set if the upstream states that it did not run the call and never
	// will.
	NotRun bool
	// Misdirected is set if the upstream is not the expected process or does not
	// hold the expected version of the adapter; the call did not run.
	Misdirected bool
	// StatusImpliesNotRun is set if callers take the status as a guarantee that
	// the call did not run. The guarantee holds only if NotRun or Misdirected is
	// set too.
	StatusImpliesNotRun bool
	// UpstreamID identifies the process that responded; empty if not stated.
	UpstreamID string
	// ContentEncoded is set if the body has a content coding; such a body is not
	// the one that the upstream sent.
	ContentEncoded bool
	// Statement is what the upstream says about later requests.
	Statement topology.Statement
}

// PassOnParams holds what the daemon adds to a call when it passes it on to another VM.
type PassOnParams struct {
	// TimeLeft is how long the other VM may take.
	TimeLeft time.Duration
	// LastEventID identifies the event after which a stream resumes, and FirstTry the
	// request that brought its first event.
	LastEventID string
	FirstTry    string
	// KeysRequired is set if callers need API keys; the other VM checks the caller's.
	KeysRequired bool
}

// Protocol translates between HTTP header fields and the types above.
type Protocol interface {
	// DecodeRequest decodes a caller's request.
	DecodeRequest(r *http.Request) (*Call, error)
	// RequestHeader returns the header with which a call is sent.
	RequestHeader(call *Call, params SendParams) http.Header
	// PassOnHeader returns the header with which a call is passed on to another VM.
	PassOnHeader(call *Call, params PassOnParams) http.Header
	// DecodeResponseHead decodes the head of an upstream's response.
	DecodeResponseHead(status int, header http.Header) ResponseHead
	// ResponseHeader returns the fields of an upstream's response that are
	// forwarded.
	ResponseHeader(header http.Header) http.Header
	// WriteError writes a response that the daemon generates. Retry-After is
	// omitted if retryAfter is 0.
	WriteError(w http.ResponseWriter, call *Call, status int, retryAfter time.Duration, reason string)
}
