package replay

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/barleylift/barleylift/internal/call"
)

// Kind is the kind of a trace item.
type Kind string

// The kinds of items.
const (
	// KindModel is a streamed completion.
	KindModel Kind = "model"
	// KindKeyed is a plain call with an idempotency key.
	KindKeyed Kind = "keyed"
	// KindEvent is an event in the system, such as "drain" or "kill" of a daemon.
	KindEvent Kind = "event"
)

// maxLineBytes limits the length of a line of a trace.
const maxLineBytes = 64 << 10

// Item is one line of a trace: a call or an event. The lines are in order of time.
type Item struct {
	// OffsetMillis is the time since the start of the trace.
	OffsetMillis int64 `json:"at_ms"`
	Kind         Kind  `json:"kind"`
	// Model is adapter@version of a model call.
	Model string `json:"model,omitempty"`
	// Tokens is the number of tokens that a model call asks for.
	Tokens int `json:"tokens,omitempty"`
	// Path and Key are the path and the idempotency key of a keyed call.
	Path string `json:"path,omitempty"`
	Key  string `json:"key,omitempty"`
	// Event is the name of an event, and Daemon the number of the affected daemon.
	Event  string `json:"event,omitempty"`
	Daemon int    `json:"daemon,omitempty"`
	// Outcomes are the final outcomes that a call may have.
	Outcomes []call.Outcome `json:"outcomes,omitempty"`
}

// Offset returns the time since the start of the trace.
func (i Item) Offset() time.Duration {
	return time.Duration(i.OffsetMillis) * time.Millisecond
}

func (i Item) validate() error {
	switch i.Kind {
	case KindModel:
		if i.Model == "" || i.Tokens <= 0 {
			return errors.New("model and tokens are required")
		}
	case KindKeyed:
		if i.Path == "" || i.Key == "" {
			return errors.New("path and key are required")
		}
	case KindEvent:
		if i.Event == "" {
			return errors.New("event is required")
		}
		return nil
	default:
		return fmt.Errorf("kind %q: want model, keyed or event", i.Kind)
	}
	if len(i.Outcomes) == 0 {
		return errors.New("outcomes is required")
	}
	return nil
}

// Read parses a trace in JSON lines. Errors contain the line number.
func Read(r io.Reader) ([]Item, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	var items []Item
	for number := 1; lines.Scan(); number++ {
		var item Item
		if err := json.Unmarshal(lines.Bytes(), &item); err != nil {
			return nil, fmt.Errorf("line %d: %w", number, err)
		}
		if err := item.validate(); err != nil {
			return nil, fmt.Errorf("line %d: %w", number, err)
		}
		items = append(items, item)
	}
	return items, lines.Err()
}

// Write writes a trace in JSON lines.
func Write(w io.Writer, items []Item) error {
	encoder := json.NewEncoder(w)
	for _, item := range items {
		if err := encoder.Encode(item); err != nil {
			return err
		}
	}
	return nil
}
