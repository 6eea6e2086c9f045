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

// doneMarker is the data of the last event of a complete stream.
var doneMarker = []byte("[DONE]")

// activityReader calls onRead after each read that returned data.
type activityReader struct {
	reader io.Reader
	onRead func()
}

// Read implements io.Reader.
func (t *activityReader) Read(p []byte) (int, error) {
	n, err := t.reader.Read(p)
	if n > 0 {
		t.onRead()
	}
	return n, err
}

// readStream delivers the events of a stream up to its end marker.
func (a *attempt) readStream(body io.Reader) error {
	events := newSSEReader(body, a.client.config.MaxEventBytes)
	for {
		event, err := events.Next()
		if err != nil {
			return unexpectedEOF(err)
		}
		if bytes.Equal(event.Data, doneMarker) {
			return a.endStream()
		}
		if err := a.handleEvent(event); err != nil {
			return err
		}
	}
}

// unexpectedEOF replaces io.EOF, because the end of a connection is not the end
// of a response.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (a *attempt) endStream() error {
	if a.result.FinishReason == "" {
		return errNoFinish
	}
	a.markDone()
	return nil
}

func (a *attempt) markDone() {
	a.finished = true
	a.result.Outcome = call.Done
	a.result.Execution = ExecutionEnded
}

// handleEvent validates one event and delivers it.
func (a *attempt) handleEvent(event sseEvent) error {
	var part enginePart
	if err := json.Unmarshal(event.Data, &part); err != nil {
		return fmt.Errorf("%w: %w", errEngineReported, err)
	}
	if part.Error != nil {
		return fmt.Errorf("%w: %s", errEngineReported, part.Error.Message)
	}
	if !a.matchesAttempt(part.ID) {
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

// matchesAttempt compares the identifier in a part with the attempt. The first
// part determines the identifier for engines that do not derive it from the
// attempt.
func (a *attempt) matchesAttempt(id string) bool {
	if a.partID == "" {
		a.partID = id
	}
	if strings.Contains(a.partID, a.call.Request.Attempt) {
		return strings.Contains(id, a.call.Request.Attempt)
	}
	return id == a.partID
}

func (a *attempt) checkModel(model string) error {
	if model == a.call.Request.Adapter.String() {
		return nil
	}
	a.client.config.OnResponseDropped("model")
	return fmt.Errorf("%w: %q", errWrongModel, model)
}

// checkOrder compares an event's number with the previous event's. A repeated
// event is skipped; a gap is an error.
func (a *attempt) checkOrder(id string) (repeated bool, err error) {
	previous, previousErr := strconv.Atoi(a.lastEventID)
	number, numberErr := strconv.Atoi(id)
	if previousErr != nil || numberErr != nil {
		return false, nil
	}
	if number > previous+1 {
		return false, errMissingEvents
	}
	return number <= previous, nil
}

func (a *attempt) deliver(data []byte, tokens int, eventID string) error {
	part := call.Part{
		Attempt: a.call.Request.Attempt,
		Index:   int(a.deliveredParts.Load()),
		Data:    data,
		Tokens:  tokens,
	}
	if err := a.sink.Deliver(part); err != nil {
		return fmt.Errorf("%w: %w", errSinkFailed, err)
	}
	a.deliveredParts.Add(1)
	a.result.Tokens += tokens
	if eventID != "" {
		a.lastEventID = eventID
	}
	return nil
}

// readWhole reads a response that is not streamed and delivers it as one part.
func (a *attempt) readWhole(body io.Reader) error {
	data, err := io.ReadAll(io.LimitReader(body, a.client.config.MaxResponseBytes+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > a.client.config.MaxResponseBytes {
		return fmt.Errorf("%w: answer exceeds %d bytes", errEngineReported, a.client.config.MaxResponseBytes)
	}
	var response enginePart
	if err := json.Unmarshal(data, &response); err != nil {
		return fmt.Errorf("%w: %w", errEngineReported, err)
	}
	if !a.matchesAttempt(response.ID) {
		a.client.config.OnResponseDropped("attempt")
		return errForeignResponse
	}
	if err := a.checkModel(response.Model); err != nil {
		return err
	}
	a.result.FinishReason = response.finishReason()
	if a.result.FinishReason == "" {
		return errNoFinish
	}
	tokens := 0
	if response.Usage != nil {
		tokens = response.Usage.CompletionTokens
	}
	if err := a.deliver(data, tokens, ""); err != nil {
		return err
	}
	a.markDone()
	return nil
}
