package upstream

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/fake"
)

// partSink keeps the data of all parts.
type partSink struct {
	parts []call.Part
}

func (s *partSink) Deliver(p call.Part) error {
	s.parts = append(s.parts, p)
	return nil
}

func testCall(stream bool) EngineCall {
	return EngineCall{Token: 7, Request: call.ModelRequest{
		Attempt: "attempt-1", Adapter: call.AdapterRef{Name: "a", Version: "1"}, Path: "/v1/completions",
		Body: []byte(`{"model":"other","prompt":"x","seed":5}`), Stream: stream, MaxTokens: 4,
	}}
}

// part renders one event of a stream.
func part(id, model, text, finish string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"model\":%q,\"choices\":[{\"text\":%q,\"finish_reason\":%q}]}\n\n", id, model, text, finish)
}

const (
	ownID   = "cmpl-attempt-1"
	doneEnd = "data: [DONE]\n\n"
)

func TestStreamEndings(t *testing.T) {
	first, last := part(ownID, "a@1", "x", ""), part(ownID, "a@1", "y", "stop")
	for _, tc := range []struct {
		name    string
		status  int
		body    string
		outcome call.Outcome
		code    call.Code
		fate    ExecutionState
		parts   int
		dropped string
	}{
		{name: "whole", body: first + last + doneEnd, outcome: call.Done, fate: ExecutionEnded, parts: 2},
		{name: "end of file after the finish reason", body: first + last, outcome: call.Incomplete, code: call.CodeConnectionLost, fate: ExecutionEnded, parts: 2},
		{name: "end marker without a finish reason", body: first + doneEnd, outcome: call.Incomplete, code: call.CodeUpstreamError, fate: ExecutionEnded, parts: 1},
		{name: "empty", outcome: call.Incomplete, code: call.CodeConnectionLost, fate: ExecutionEnded},
		{name: "error event", body: first + "data: {\"error\":{\"message\":\"out of memory\"}}\n\n", outcome: call.Incomplete, code: call.CodeUpstreamError, fate: ExecutionEnded, parts: 1},
		{name: "no JSON", body: "data: {\n\n", outcome: call.Incomplete, code: call.CodeUpstreamError, fate: ExecutionEnded},
		{name: "another version", body: first + part(ownID, "a@2", "y", "stop") + doneEnd, outcome: call.Incomplete, code: call.CodeWrongModel, fate: ExecutionEnded, parts: 1, dropped: "model"},
		{name: "no model", body: part(ownID, "", "y", "stop") + doneEnd, outcome: call.Incomplete, code: call.CodeWrongModel, fate: ExecutionEnded, dropped: "model"},
		{name: "part of another request", body: first + part("cmpl-attempt-2", "a@1", "z", "") + last + doneEnd, outcome: call.Done, fate: ExecutionEnded, parts: 2, dropped: "attempt"},
		{name: "event too large", body: part(ownID, "a@1", strings.Repeat("x", 5000), ""), outcome: call.Incomplete, code: call.CodeConnectionLost, fate: ExecutionEnded},
		{name: "old token", status: http.StatusConflict, outcome: call.NotRun, code: call.CodeNotOwner, fate: ExecutionNotStarted},
		{name: "adapter not loaded", status: http.StatusNotFound, outcome: call.NotRun, code: call.CodeUpstreamError, fate: ExecutionNotStarted},
		{name: "overloaded", status: http.StatusTooManyRequests, outcome: call.NotRun, code: call.CodeNoUpstream, fate: ExecutionNotStarted},
		{name: "bad request", status: http.StatusBadRequest, outcome: call.Rejected, code: call.CodeBadRequest, fate: ExecutionNotStarted},
		{name: "failure", status: http.StatusInternalServerError, outcome: call.Incomplete, code: call.CodeUpstreamError, fate: ExecutionEnded},
	} {
		t.Run(tc.name, func(t *testing.T) {
			handler := http.NewServeMux()
			handler.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
				if tc.status != 0 {
					w.WriteHeader(tc.status)
				}
				_, _ = io.WriteString(w, tc.body)
			})
			handler.HandleFunc("POST /v1/requests/attempt-1/cancel", func(http.ResponseWriter, *http.Request) {})
			server := httptest.NewServer(handler)
			defer server.Close()
			dropped := ""
			client, err := NewEngineClient(EngineClientConfig{
				Engine: catalog.Engine{Address: server.URL}, MaxEventBytes: 4096, OnResponseDropped: func(reason string) { dropped = reason },
			})
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			sink := &partSink{}
			got := client.Complete(t.Context(), testCall(true), sink)
			if got.Outcome != tc.outcome || got.Code != tc.code || got.Execution != tc.fate || len(sink.parts) != tc.parts || dropped != tc.dropped {
				t.Errorf("got %v, fate %d, %d parts, dropped %q", got.Result, got.Execution, len(sink.parts), dropped)
			}
			if got.DeliveredParts != len(sink.parts) {
				t.Errorf("Delivered is %d", got.DeliveredParts)
			}
		})
	}
}

// TestCallIsSentOnce has the engine read a call on a reused connection and
// close it, after which net/http may send a request again by itself.
func TestCallIsSentOnce(t *testing.T) {
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/completions" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		body, _ := io.ReadAll(r.Body)
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		if want := `{"max_tokens":4,"model":"a@1","prompt":"x","seed":5,"stream":false}`; string(body) != want {
			t.Errorf("sent %s, want %s", body, want)
		}
		_, _ = fmt.Fprintf(w, `{"id":%q,"model":"a@1","choices":[{"finish_reason":"stop"}],"usage":{"completion_tokens":3}}`, ownID)
	}))
	defer server.Close()
	client, err := NewEngineClient(EngineClientConfig{Engine: catalog.Engine{Address: server.URL}})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	if got := client.Complete(t.Context(), testCall(false), &partSink{}); got.Outcome != call.Done || got.Tokens != 3 {
		t.Errorf("first call: %v", got.Result)
	}
	got := client.Complete(t.Context(), testCall(false), &partSink{})
	if got.Outcome != call.Incomplete || got.Execution != ExecutionUncertain {
		t.Errorf("call on a connection that broke: %v, fate %d", got.Result, got.Execution)
	}
	if n := calls.Load(); n != 2 {
		t.Errorf("the engine read %d calls, 2 were made", n)
	}
	server.Close()
	if got := client.Complete(t.Context(), testCall(false), &partSink{}); got.Outcome != call.NotRun || got.Execution != ExecutionNotStarted {
		t.Errorf("call to a closed port: %v, fate %d", got.Result, got.Execution)
	}
}

// TestSlowCallIsNotSilent lets an engine work on a call for longer than the
// idle time before anything can be sent.
func TestSlowCallIsNotSilent(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprintf("stream=%t", stream), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := fake.NewEngine(fake.EngineConfig{StepTime: 10 * time.Second})
				engine.Preload("a@1")
				network := fake.NewNetwork()
				server := &http.Server{Handler: engine.Handler()}
				go func() { _ = server.Serve(network) }()
				defer func() { _ = server.Close() }()
				client, err := NewEngineClient(EngineClientConfig{
					Engine: catalog.Engine{Address: "http://engine"}, Client: &http.Client{Transport: network.Transport()},
					Probe: &http.Client{Transport: network.Transport()},
				})
				if err != nil {
					t.Fatal(err)
				}
				defer client.Close()
				if got := client.Complete(t.Context(), testCall(stream), &partSink{}); got.Outcome != call.Done || got.Tokens != 4 {
					t.Errorf("slow call: %v, %d tokens", got.Result, got.Tokens)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

func FuzzSSEReader(f *testing.F) {
	for _, seed := range []string{
		"data: x\n\n", "id: 1\r\ndata: x\r\ndata: y\r\n\r\n", ": ping\n\ndata: cut", "data:\n\n", "id: 1\n\n", "data", "\n\n\ndata: a:b\n\n",
		strings.Repeat("x", 200) + "\n\n",
	} {
		f.Add([]byte(seed), uint8(64))
	}
	f.Fuzz(func(t *testing.T, stream []byte, bound uint8) {
		reader := newSSEReader(strings.NewReader(string(stream)), int(bound))
		total := 0
		for {
			event, err := reader.Next()
			if err != nil {
				return
			}
			if len(event.Data)+len(event.ID) > int(bound) {
				t.Fatalf("event of %d bytes with a bound of %d", len(event.Data), bound)
			}
			if strings.ContainsAny(event.ID, "\n") {
				t.Fatalf("id %q", event.ID)
			}
			if total += len(event.Data); total > len(stream) {
				t.Fatalf("%d bytes of data from a stream of %d", total, len(stream))
			}
		}
	})
}
