package upstream

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/barleylift/barleylift/internal/call"
)

// doneMarker ends a complete stream.
var doneMarker = []byte("[DONE]")

// touchReader tells the watchdog of each read that brought bytes.
type touchReader struct {
	reader io.Reader
	touch  func()
}

// Read implements io.Reader.
func (t *touchReader) Read(p []byte) (int, error) {
	n, err := t.reader.Read(p)
	if n > 0 {
		t.touch()
	}
	return n, err
}

// readStream hands on the events of a stream up to its end marker.
func (a *answer) readStream(body io.Reader) error {
	events := newSSEReader(body, a.client.config.MaxEventBytes)
	for {
		event, err := events.Next()
		if err != nil {
			return notSuccess(err)
		}
		if bytes.Equal(event.Data, doneMarker) {
			return a.endStream()
		}
		if err := a.takeEvent(event); err != nil {
			return err
		}
	}
}

// notSuccess keeps the end of a connection from being taken for the end of an answer.
func notSuccess(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (a *answer) endStream() error {
	if a.result.FinishReason == "" {
		return errNoFinish
	}
	a.done()
	return nil
}

func (a *answer) done() {
	a.finished = true
	a.result.Outcome = call.Done
	a.result.Execution = ExecutionEnded
}

// takeEvent checks one event and delivers it.
func (a *answer) takeEvent(event sseEvent) error {
	var part enginePart
	if err := json.Unmarshal(event.Data, &part); err != nil {
		return fmt.Errorf("%w: %w", errEngine, err)
	}
	if part.Error != nil {
		return fmt.Errorf("%w: %s", errEngine, part.Error.Message)
	}
	if !a.ownsPart(part.ID) {
		a.client.config.OnResponseDropped("attempt")
		return nil
	}
	if err := a.checkModel(part.Model); err != nil {
		return err
	}
	repeated, err := a.checkOrder(event.ID)
	if err != nil || repeated {
		return err
	}
	if reason := part.finishReason(); reason != "" {
		a.result.FinishReason = reason
	}
	return a.deliver(bytes.Clone(event.Data), part.tokens(), event.ID)
}

// ownsPart compares the identifier in a part with the attempt. The first part
// fixes the identifier for engines that derive it in their own way.
func (a *answer) ownsPart(id string) bool {
	if a.partID == "" {
		a.partID = id
	}
	if strings.Contains(a.partID, a.call.Request.Attempt) {
		return strings.Contains(id, a.call.Request.Attempt)
	}
	return id == a.partID
}

func (a *answer) checkModel(model string) error {
	if model == a.call.Request.Adapter.String() {
		return nil
	}
	a.client.config.OnResponseDropped("model")
	return fmt.Errorf("%w: %q", errWrongModel, model)
}

// checkOrder compares an event's number with that of the event before it. A
// repeated event is skipped; a gap breaks the stream.
func (a *answer) checkOrder(id string) (repeated bool, err error) {
	previous, previousErr := strconv.Atoi(a.lastEvent)
	number, numberErr := strconv.Atoi(id)
	if previousErr != nil || numberErr != nil {
		return false, nil
	}
	if number > previous+1 {
		return false, errGap
	}
	return number <= previous, nil
}

func (a *answer) deliver(data []byte, tokens int, eventID string) error {
	part := call.Part{
		Attempt: a.call.Request.Attempt,
		Index:   int(a.delivered.Load()),
		Data:    data,
		Tokens:  tokens,
	}
	if err := a.sink.Deliver(part); err != nil {
		return fmt.Errorf("%w: %w", errReceiver, err)
	}
	a.delivered.Add(1)
	a.result.Tokens += tokens
	if eventID != "" {
		a.lastEvent = eventID
	}
	return nil
}

// readWhole reads an answer that is not streamed and delivers it as one part.
func (a *answer) readWhole(body io.Reader) error {
	data, err := io.ReadAll(io.LimitReader(body, a.client.config.MaxResponseBytes+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > a.client.config.MaxResponseBytes {
		return fmt.Errorf("%w: answer exceeds %d bytes", errEngine, a.client.config.MaxResponseBytes)
	}
	var whole enginePart
	if err := json.Unmarshal(data, &whole); err != nil {
		return fmt.Errorf("%w: %w", errEngine, err)
	}
	if !a.ownsPart(whole.ID) {
		a.client.config.OnResponseDropped("attempt")
		return errCrossed
	}
	if err := a.checkModel(whole.Model); err != nil {
		return err
	}
	a.result.FinishReason = whole.finishReason()
	if a.result.FinishReason == "" {
		return errNoFinish
	}
	tokens := 0
	if whole.Usage != nil {
		tokens = whole.Usage.CompletionTokens
	}
	if err := a.deliver(data, tokens, ""); err != nil {
		return err
	}
	a.done()
	return nil
}
