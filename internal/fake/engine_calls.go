package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// defaultMaxTokens is the length of a completion whose request sets no max_tokens.
const defaultMaxTokens = 16

// engineCall is one completion request. Its fields are guarded by Engine.mu.
type engineCall struct {
	id       string
	model    string
	chat     bool
	tokens   int
	produced int
	priority int
	ended    bool
	killed   bool
	wake     chan struct{}
}

// kill ends the call without a response. The caller holds Engine.mu.
func (c *engineCall) kill() {
	c.ended, c.killed = true, true
	c.notify()
}

func (c *engineCall) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// completionRequest holds the fields of a request that the stand-in supports.
type completionRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
}

// EngineToken returns the text of one token, which is determined by the model
// (an adapter with its version), the request and the position.
func EngineToken(model, id string, position int) string {
	return fmt.Sprintf("%s/%s/%d ", model, id, position)
}

// EngineText returns the whole text of a completion with the given length.
func EngineText(model, id string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(EngineToken(model, id, i))
	}
	return text.String()
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var request completionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeEngineError(w, http.StatusBadRequest, err.Error())
		return
	}
	id := r.Header.Get("X-Request-Id")
	from := 0
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		position, err := strconv.Atoi(last)
		if err != nil {
			writeEngineError(w, http.StatusBadRequest, "Last-Event-ID: "+last)
			return
		}
		from = position + 1
	}
	c, status, cutAfter := e.admit(r, request, id)
	if status != 0 {
		writeEngineError(w, status, "model "+request.Model+" can not run")
		return
	}
	w.Header().Set("X-Request-Id", id)
	if request.Stream {
		e.writeStream(w, r, c, from, cutAfter)
		return
	}
	e.writeResponse(w, r, c)
}

// admit adds a call to the queue, or resumes the stream of the call with the
// same identifier. It returns the call, an HTTP status if it was rejected, and
// the number of chunks after which its stream is truncated (0 for never).
func (e *Engine) admit(r *http.Request, request completionRequest, id string) (*engineCall, int, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.acceptFencingToken(r) {
		return nil, http.StatusConflict, 0
	}
	if r.Header.Get("Last-Event-ID") != "" {
		c := e.calls[id]
		if c == nil || c.killed || !e.config.ResumesStreams {
			return nil, http.StatusNotFound, 0
		}
		c.wake = make(chan struct{}, 1)
		return c, 0, 0
	}
	if !slices.Contains(e.resident, request.Model) {
		return nil, http.StatusNotFound, 0
	}
	cutAfter := e.faults.cutAfter
	e.faults.cutAfter = 0
	c := e.newCall(request, id, strings.Contains(r.URL.Path, "/chat/"))
	return c, 0, cutAfter
}

// newCall adds a call to the queue. The caller holds e.mu.
func (e *Engine) newCall(request completionRequest, id string, chat bool) *engineCall {
	c := &engineCall{id: id, model: request.Model, chat: chat, tokens: request.MaxTokens, priority: request.Priority}
	if c.tokens <= 0 {
		c.tokens = defaultMaxTokens
	}
	if consumeFault(&e.faults.runWrongModel) {
		c.model = "other@v0"
	}
	if consumeFault(&e.faults.misroute) {
		c.id = "crossed"
	}
	c.wake = make(chan struct{}, 1)
	e.calls[id] = c
	e.queue = append(e.queue, c)
	e.record("run", id, c.model)
	if !e.stepping {
		e.stepping = true
		go e.runSteps()
	}
	return c
}

// runSteps runs decoding steps until no call is left.
func (e *Engine) runSteps() {
	for {
		if e.config.StepTime > 0 {
			time.Sleep(e.config.StepTime)
		}
		if !e.step() {
			return
		}
	}
}

// step generates one token for each running call. It returns false when the
// queue is empty.
func (e *Engine) step() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) == 0 {
		e.stepping = false
		return false
	}
	if e.config.HonoursPriority {
		slices.SortStableFunc(e.queue, func(a, b *engineCall) int { return a.priority - b.priority })
	}
	for _, c := range e.queue[:min(len(e.queue), e.config.MaxRunning)] {
		c.produced++
		c.ended = c.produced >= c.tokens
		if c.ended {
			e.record("end", c.id, c.model)
		}
		c.notify()
	}
	e.queue = slices.DeleteFunc(e.queue, func(c *engineCall) bool { return c.ended })
	return true
}

// removeCall kills a call and removes it from the queue. The caller holds e.mu.
func (e *Engine) removeCall(c *engineCall) {
	c.kill()
	e.queue = slices.DeleteFunc(e.queue, func(other *engineCall) bool { return other == c })
}

// awaitProgress waits until the call has produced more than threshold tokens or
// has ended, and returns the number of produced tokens. It returns false when the
// response cannot be continued.
func (e *Engine) awaitProgress(r *http.Request, c *engineCall, wake chan struct{}, threshold int) (int, bool) {
	for {
		e.mu.Lock()
		produced, ended, killed, stalled := c.produced, c.ended, c.killed, e.stalledByAddress[r.RemoteAddr]
		e.mu.Unlock()
		if stalled {
			<-r.Context().Done()
			return 0, false
		}
		if killed {
			return 0, false
		}
		if produced > threshold || ended {
			return produced, true
		}
		select {
		case <-wake:
		case <-r.Context().Done():
			e.callerDisconnected(c)
			return 0, false
		}
	}
}

// callerDisconnected ends the call of a disconnected caller, unless its stream
// can be resumed.
func (e *Engine) callerDisconnected(c *engineCall) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.config.ResumesStreams {
		e.removeCall(c)
	}
}

func (e *Engine) writeResponse(w http.ResponseWriter, r *http.Request, c *engineCall) {
	produced, ok := e.awaitProgress(r, c, c.wake, c.tokens-1)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", c.id)
	choice := engineChoice{FinishReason: "length"}
	choice.set(c.chat, false, EngineText(c.model, c.id, produced))
	response := engineResponse{ID: "cmpl-" + c.id, Model: c.model, Choices: []engineChoice{choice}, Usage: &engineUsage{produced}}
	_ = json.NewEncoder(w).Encode(response)
}

func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, c *engineCall, from, cutAfter int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", c.id)
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	e.mu.Lock()
	wake := c.wake
	e.mu.Unlock()
	for sent := from; sent < c.tokens; {
		produced, ok := e.awaitProgress(r, c, wake, sent)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		for ; sent < produced; sent++ {
			if cutAfter > 0 && sent == cutAfter {
				_ = flusher.Flush()
				e.callerDisconnected(c)
				panic(http.ErrAbortHandler)
			}
			e.writeChunk(w, c, sent)
		}
		_ = flusher.Flush()
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Engine) writeChunk(w http.ResponseWriter, c *engineCall, position int) {
	choice := engineChoice{}
	choice.set(c.chat, true, EngineToken(c.model, c.id, position))
	response := engineResponse{ID: "cmpl-" + c.id, Model: c.model}
	if position == c.tokens-1 {
		choice.FinishReason = "length"
		response.Usage = &engineUsage{c.tokens}
	}
	response.Choices = []engineChoice{choice}
	data, _ := json.Marshal(response)
	if e.config.ResumesStreams {
		_, _ = fmt.Fprintf(w, "id: %d\n", position)
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}

type engineResponse struct {
	ID      string         `json:"id"`
	Model   string         `json:"model"`
	Choices []engineChoice `json:"choices"`
	Usage   *engineUsage   `json:"usage,omitempty"`
}

type engineUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type engineChoice struct {
	Index        int            `json:"index"`
	Text         string         `json:"text,omitempty"`
	Message      *engineMessage `json:"message,omitempty"`
	Delta        *engineMessage `json:"delta,omitempty"`
	FinishReason string         `json:"finish_reason,omitempty"`
}

type engineMessage struct {
	Content string `json:"content"`
}

func (c *engineChoice) set(chat, stream bool, text string) {
	switch {
	case !chat:
		c.Text = text
	case stream:
		c.Delta = &engineMessage{text}
	default:
		c.Message = &engineMessage{text}
	}
}
