package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/profile"
)

// The paths of the model API.
const (
	completionsPath = "/v1/completions"
	chatPath        = "/v1/chat/completions"
)

const (
	// defaultMaxTokens applies to calls that state no limit.
	defaultMaxTokens = 256
	// maxMaxTokens is the highest limit that a call may state.
	maxMaxTokens = 1 << 17
	// bytesPerToken is used to estimate the length of a prompt in tokens.
	bytesPerToken = 4
)

// completionRequest holds the fields of a caller's request that barleylift
// reads.
type completionRequest struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
}

// readModel reads and validates the request of a model call. The result has an
// outcome if the call is refused.
func (h *Handler) readModel(w http.ResponseWriter, r *http.Request, customer catalog.Customer, prof profile.Profile) (call.ModelRequest, call.Result) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.cfg.MaxBodyBytes))
	if err != nil {
		return call.ModelRequest{}, bodyErrorResult(err)
	}
	var request completionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return call.ModelRequest{}, badRequest("the body is not a valid JSON request: " + err.Error())
	}
	if err := request.check(r.URL.Path); err != nil {
		return call.ModelRequest{}, badRequest(err.Error())
	}
	adapter, err := call.ParseAdapterRef(request.Model)
	if err != nil {
		return call.ModelRequest{}, badRequest(err.Error())
	}
	snapshot := h.cfg.Snapshot()
	if refused := checkAdapter(snapshot, prof, adapter); refused.Outcome != "" {
		return call.ModelRequest{}, refused
	}
	return call.ModelRequest{
		ID:           call.NewID(),
		Customer:     customer.Name,
		Profile:      prof.Name,
		Adapter:      adapter,
		Path:         r.URL.Path,
		Body:         body,
		Stream:       request.Stream,
		MaxTokens:    request.maxTokens(),
		PromptTokens: request.promptTokens(),
		Generation:   snapshot.Generation,
	}, call.Result{}
}

func bodyErrorResult(err error) call.Result {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return call.Failed(call.Rejected, call.CodeTooLarge, fmt.Sprintf("the body exceeds %d bytes", tooLarge.Limit))
	}
	return badRequest("the body could not be read")
}

func badRequest(message string) call.Result {
	return call.Failed(call.Rejected, call.CodeBadRequest, message)
}

func (q completionRequest) check(path string) error {
	switch {
	case q.Model == "":
		return errors.New("model: is required, as adapter@version")
	case path == completionsPath && q.Prompt == nil:
		return errors.New("prompt: is required")
	case path == chatPath && q.Messages == nil:
		return errors.New("messages: is required")
	case q.N != nil && *q.N != 1:
		return errors.New("n: must be 1")
	case q.maxTokens() < 1 || q.maxTokens() > maxMaxTokens:
		return fmt.Errorf("max_tokens: must be between 1 and %d", maxMaxTokens)
	}
	return nil
}

func (q completionRequest) maxTokens() int {
	switch {
	case q.MaxCompletionTokens != nil:
		return *q.MaxCompletionTokens
	case q.MaxTokens != nil:
		return *q.MaxTokens
	default:
		return defaultMaxTokens
	}
}

func (q completionRequest) promptTokens() int {
	return (len(q.Prompt) + len(q.Messages)) / bytesPerToken
}

// checkAdapter returns a result with an outcome if a call may not use the
// adapter version.
func checkAdapter(snapshot *catalog.Snapshot, prof profile.Profile, ref call.AdapterRef) call.Result {
	adapter, ok := snapshot.Adapter(ref.Name)
	if !ok || !adapter.HasVersion(ref.Version) {
		return call.Failed(call.Rejected, call.CodeUnknownAdapter, fmt.Sprintf("model: %s is not in the accepted configuration", ref))
	}
	if !prof.Allows(ref.Name, ref.Version) {
		return call.Failed(call.Rejected, call.CodeForbidden, fmt.Sprintf("model: profile %s may not use %s", prof.Name, ref))
	}
	return call.Result{}
}
