package promise

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/dev"
	"github.com/barleylift/barleylift/internal/entry"
	"github.com/barleylift/barleylift/internal/fake"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 5 * time.Millisecond

// clusterSlots limits the clusters that run at the same time: with more of them
// and few CPUs the daemons send their heartbeats too late.
var clusterSlots = make(chan struct{}, 5)

func startCluster(t *testing.T, o dev.Options) *dev.Cluster {
	t.Helper()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	if o.LoadsPerSecond == 0 {
		o.LoadsPerSecond = 50
	}
	c, err := dev.Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	c.SetVMs()
	return c
}

// await blocks until the condition holds. Only the timeout of the test limits it.
func await(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		select {
		case <-time.After(pollInterval):
		case <-t.Context().Done():
			t.Fatal("the condition did not become true before the test ended")
		}
	}
}

// callResult is the result of a call as the caller sees it.
type callResult struct {
	outcome call.Outcome
	status  int
	// text is the generated text of a model call, or the body of a plain response.
	text string
	// id is the request identifier in the engine's response.
	id       string
	replayed bool
	err      error
}

// post sends one request without retries.
func post(ctx context.Context, address, path, profile, key, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+dev.Token)
	request.Header.Set(entry.ProfileHeader, profile)
	if key != "" {
		request.Header.Set(dev.KeyHeader, key)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return client.Do(request)
}

// modelCall describes a streamed completion by an adapter.
type modelCall struct {
	address string
	model   string
	tokens  int
	// firstChunk, if set, is closed when the first chunk arrives.
	firstChunk chan struct{}
}

// complete makes a streamed call and reads its response to the end.
func complete(ctx context.Context, c modelCall) callResult {
	body := fmt.Sprintf(`{"model":%q,"prompt":"wall","max_tokens":%d,"stream":true}`, c.model, c.tokens)
	response, err := post(ctx, c.address, "/v1/completions", "summaries", "", body)
	if err != nil {
		return callResult{err: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return callResult{outcome: call.Outcome(response.Header.Get(call.OutcomeHeader)), status: response.StatusCode}
	}
	return readStream(response, c.firstChunk)
}

type streamChunk struct {
	ID      string `json:"id"`
	Model   string `json:"model"`
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Outcome call.Outcome `json:"outcome"`
	} `json:"error"`
}

// readStream reads a stream to its end. A stream without [DONE] or an error
// event has no outcome.
func readStream(response *http.Response, first chan struct{}) callResult {
	result := callResult{status: response.StatusCode}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			result.outcome = call.Done
			continue
		}
		var chunk streamChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			result.err = err
			return result
		}
		if chunk.Error != nil {
			result.outcome = chunk.Error.Outcome
			continue
		}
		if first != nil {
			close(first)
			first = nil
		}
		result.id = strings.TrimPrefix(chunk.ID, "cmpl-")
		for _, choice := range chunk.Choices {
			result.text += choice.Text
		}
	}
	if err := lines.Err(); err != nil {
		result.err = err
	}
	if trailer := response.Trailer.Get(call.OutcomeHeader); trailer != string(result.outcome) {
		result.err = fmt.Errorf("trailer %q, stream ended %q", trailer, result.outcome)
	}
	return result
}

// tick makes one keyed call with the profile that tolerates a delay of 5 s.
func tick(ctx context.Context, address, key string) callResult {
	response, err := post(ctx, address, "/logbook/kaloor/ticks", "hints", key, `{"route":"`+key+`"}`)
	if err != nil {
		return callResult{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return callResult{
		outcome:  call.Outcome(response.Header.Get(call.OutcomeHeader)),
		status:   response.StatusCode,
		text:     string(text),
		replayed: response.Header.Get(call.ReplayedHeader) == "true",
		err:      err,
	}
}

// executionsByKey counts the executions of the plain service by key.
func executionsByKey(service *fake.Service) map[string]int {
	counts := make(map[string]int)
	for _, e := range service.Executions() {
		counts[e.Key]++
	}
	return counts
}

// checkViolations fails the test for every violation that an engine recorded.
func checkViolations(t *testing.T, c *dev.Cluster) {
	t.Helper()
	for i, e := range c.Engines {
		for _, v := range e.Violations() {
			t.Errorf("engine %s: %s", c.Contents.Engines[i].Name, v)
		}
	}
}
