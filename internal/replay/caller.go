package replay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/clock"
)

const (
	// maxAttempts limits the attempts of one call.
	maxAttempts = 10
	// minRetryDelay is the shortest delay before a retry through the next entry.
	minRetryDelay = 100 * time.Millisecond
	// maxExcerptBytes limits the excerpt of a response body in a report.
	maxExcerptBytes = 200
	// maxResponseBytes limits how much of a response without a stream is read.
	maxResponseBytes = 1 << 20
)

// caller sends calls to the entries of a system and refreshes the list of
// entries when its validity time has passed.
type caller struct {
	client    *http.Client
	token     string
	keyHeader string

	// mu guards the fields below.
	mu              sync.Mutex
	entries         []string
	entriesExpireAt time.Time
}

// entriesResponse is the response of GET /v1/entries.
type entriesResponse struct {
	Entries     []string `json:"entries"`
	KeepSeconds int      `json:"keep_seconds"`
}

// entryFor returns the address to use for an attempt and refreshes an expired
// list, which takes effect from the next attempt on.
func (c *caller) entryFor(ctx context.Context, attempt int) string {
	c.mu.Lock()
	entries := c.entries
	stale := time.Now().After(c.entriesExpireAt)
	c.mu.Unlock()
	address := entries[attempt%len(entries)]
	if stale {
		c.refreshEntries(ctx, address)
	}
	return address
}

// refreshEntries requests the list from one entry; on a failure the old one
// stays in use.
func (c *caller) refreshEntries(ctx context.Context, address string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries", nil)
	if err != nil {
		return
	}
	response, err := c.client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	var decoded entriesResponse
	if json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&decoded) != nil || len(decoded.Entries) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = decoded.Entries
	c.entriesExpireAt = time.Now().Add(time.Duration(decoded.KeepSeconds) * time.Second)
}

// attemptResult is the result of one attempt as the caller sees it.
type attemptResult struct {
	outcome call.Outcome
	status  int
	// body is the start of the body of a response that is not a stream.
	body       string
	retryAfter time.Duration
	firstToken time.Duration
	// violation describes a guarantee that the response itself violates.
	violation string
	err       error
}

// missingOutcome reports whether a response arrived without an outcome.
func (r attemptResult) missingOutcome() bool {
	return r.outcome == "" && r.err == nil && r.violation == ""
}

// perform makes a call with the retries that its kind permits. It returns the
// result of the last attempt and the number of attempts.
func (c *caller) perform(ctx context.Context, item Item) (attemptResult, int) {
	var last attemptResult
	for attempt := range maxAttempts {
		last = c.send(ctx, item, c.entryFor(ctx, attempt))
		if last.violation != "" || !shouldRetry(item, last) || attempt == maxAttempts-1 {
			return last, attempt + 1
		}
		if !clock.Sleep(ctx, max(last.retryAfter, minRetryDelay)) {
			return last, attempt + 1
		}
	}
	return last, maxAttempts
}

// shouldRetry reports whether the call is to be repeated. A model call has no
// side effect, and the idempotency key makes it safe to repeat a keyed call
// after a lost connection; an unknown outcome of a keyed call is final.
func shouldRetry(item Item, result attemptResult) bool {
	if result.err != nil || result.outcome == call.NotRun {
		return true
	}
	if item.Kind == KindModel {
		return result.outcome == call.Incomplete || result.outcome == call.Unknown
	}
	return false
}

func (c *caller) send(ctx context.Context, item Item, address string) attemptResult {
	request, err := c.newRequest(ctx, item, address)
	if err != nil {
		return attemptResult{err: err}
	}
	startedAt := time.Now()
	response, err := c.client.Do(request)
	if err != nil {
		return attemptResult{err: err}
	}
	defer response.Body.Close()
	result := attemptResult{outcome: call.Outcome(response.Header.Get(call.OutcomeHeader)), status: response.StatusCode, retryAfter: retryAfter(response)}
	if item.Kind == KindModel && response.StatusCode == http.StatusOK {
		readStream(response.Body, item.Model, startedAt, &result)
		return result
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	result.err = err
	result.body = string(body[:min(len(body), maxExcerptBytes)])
	return result
}

func (c *caller) newRequest(ctx context.Context, item Item, address string) (*http.Request, error) {
	path, body := item.Path, []byte(fmt.Sprintf(`{"key":%q}`, item.Key))
	if item.Kind == KindModel {
		path = "/v1/completions"
		body = fmt.Appendf(nil, `{"model":%q,"prompt":"replay","max_tokens":%d,"stream":true}`, item.Model, item.Tokens)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport does not retry on its own.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	if item.Key != "" {
		request.Header.Set(c.keyHeader, item.Key)
	}
	return request, nil
}

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// streamChunk holds the fields of a streamed chunk that the replay checks.
type streamChunk struct {
	Model string `json:"model"`
	Error *struct {
		Outcome call.Outcome `json:"outcome"`
	} `json:"error"`
}

// readStream reads a stream to its end. A stream that ends without [DONE] or
// an error event counts as a lost connection.
func readStream(body io.Reader, model string, startedAt time.Time, result *attemptResult) {
	result.outcome = ""
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			result.outcome = call.Done
			return
		}
		var chunk streamChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			result.err = err
			return
		}
		if chunk.Error != nil {
			result.outcome = chunk.Error.Outcome
			return
		}
		if result.firstToken == 0 {
			result.firstToken = time.Since(startedAt)
		}
		if chunk.Model != model {
			result.violation = fmt.Sprintf("answered by %s", chunk.Model)
			return
		}
	}
	result.err = lines.Err()
	if result.err == nil {
		result.err = io.ErrUnexpectedEOF
	}
}
