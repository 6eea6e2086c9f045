package upstream

import (
	"encoding/json"
	"fmt"
)

// engineBody returns the caller's JSON request with the fields that barleylift
// sets: the exact model, streaming, the token limit and the priority. All other
// fields stay as the caller wrote them.
func (c *EngineClient) engineBody(ec EngineCall) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(ec.Request.Body, &fields); err != nil {
		return nil, fmt.Errorf("request body: %w", err)
	}
	model, err := json.Marshal(ec.Request.Adapter.String())
	if err != nil {
		return nil, fmt.Errorf("model name: %w", err)
	}
	fields["model"] = model
	fields["stream"] = fmt.Appendf(nil, "%t", ec.Request.Stream)
	if ec.Request.MaxTokens > 0 {
		fields["max_tokens"] = fmt.Appendf(nil, "%d", ec.Request.MaxTokens)
	}
	if c.config.Engine.HonoursPriority {
		fields["priority"] = fmt.Appendf(nil, "%d", ec.Priority)
	}
	return json.Marshal(fields)
}

// enginePart holds the fields of a response or of one streamed part that the
// client checks.
type enginePart struct {
	ID      string         `json:"id"`
	Model   string         `json:"model"`
	Choices []engineChoice `json:"choices"`
	Usage   *engineUsage   `json:"usage"`
	Error   *engineError   `json:"error"`
}

type engineChoice struct {
	Text         string         `json:"text"`
	Delta        *engineMessage `json:"delta"`
	FinishReason string         `json:"finish_reason"`
}

type engineMessage struct {
	Content string `json:"content"`
}

type engineUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type engineError struct {
	Message string `json:"message"`
}

// tokens returns the number of tokens in one streamed part: engines send one
// token per part, and parts without text carry none.
func (p enginePart) tokens() int {
	for _, choice := range p.Choices {
		if choice.Text != "" || choice.Delta != nil && choice.Delta.Content != "" {
			return 1
		}
	}
	return 0
}

func (p enginePart) finishReason() string {
	for _, choice := range p.Choices {
		if choice.FinishReason != "" {
			return choice.FinishReason
		}
	}
	return ""
}
