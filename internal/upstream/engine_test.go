package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/fake"
)

// partSink records all parts.
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

// part returns one event of a stream.
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
		name      string
		status    int
		body      string
		outcome   call.Outcome
		code      call.Code
		execution ExecutionState
		parts     int
		dropped   string
	}{
		{name: "complete", body: first + last + doneEnd, outcome: call.Done, execution: ExecutionEnded, parts: 2},
		{name: "end of file after the finish reason", body: first + last, outcome: call.Incomplete, code: call.CodeConnectionLost, execution: ExecutionEnded, parts: 2},
		{name: "end marker without a finish reason", body: first + doneEnd, outcome: call.Incomplete, code: call.CodeUpstreamError, execution: ExecutionEnded, parts: 1},
		{name: "empty", outcome: call.Incomplete, code: call.CodeConnectionLost, execution: ExecutionEnded},
		{name: "error event", body: first + "data: {\"error\":{\"message\":\"out of memory\"}}\n\n", outcome: call.Incomplete, code: call.CodeUpstreamError, execution: ExecutionEnded, parts: 1},
		{name: "no JSON", body: "data: {\n\n", outcome: call.Incomplete, code: call.CodeUpstreamError, execution: ExecutionEnded},
		{name: "another version", body: first + part(ownID, "a@2", "y", "stop") + doneEnd, outcome: call.Incomplete, code: call.CodeWrongModel, execution: ExecutionEnded, parts: 1, dropped: "model"},
		{name: "no model", body: part(ownID, "", "y", "stop") + doneEnd, outcome: call.Incomplete, code: call.CodeWrongModel, execution: ExecutionEnded, dropped: "model"},
		{name: "part of another request", body: first + part("cmpl-attempt-2", "a@1", "z", "") + last + doneEnd, outcome: call.Done, execution: ExecutionEnded, parts: 2, dropped: "attempt"},
		{name: "event too large", body: part(ownID, "a@1", strings.Repeat("x", 5000), ""), outcome: call.Incomplete, code: call.CodeConnectionLost, execution: ExecutionEnded},
		{name: "old token", status: http.StatusConflict, outcome: call.NotRun, code: call.CodeNotOwner, execution: ExecutionNotStarted},
		{name: "adapter not loaded", status: http.StatusNotFound, outcome: call.NotRun, code: call.CodeUpstreamError, execution: ExecutionNotStarted},
		{name: "overloaded", status: http.StatusTooManyRequests, outcome: call.NotRun, code: call.CodeNoUpstream, execution: ExecutionNotStarted},
		{name: "bad request", status: http.StatusBadRequest, outcome: call.Rejected, code: call.CodeBadRequest, execution: ExecutionNotStarted},
		{name: "failure", status: http.StatusInternalServerError, outcome: call.Incomplete, code: call.CodeUpstreamError, execution: ExecutionEnded},
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
			if got.Outcome != tc.outcome || got.Code != tc.code || got.Execution != tc.execution || len(sink.parts) != tc.parts || dropped != tc.dropped {
				t.Errorf("got %v, execution state %d, %d parts, dropped %q", got.Result, got.Execution, len(sink.parts), dropped)
			}
			if got.DeliveredParts != len(sink.parts) {
				t.Errorf("DeliveredParts is %d", got.DeliveredParts)
			}
		})
	}
}

// The engine reads a call on a reused connection and closes the connection.
// net/http may retry such a request on its own, which must not happen.
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
		t.Errorf("call on a lost connection: %v, execution state %d", got.Result, got.Execution)
	}
	if n := calls.Load(); n != 2 {
		t.Errorf("the engine read %d calls, 2 were made", n)
	}
	server.Close()
	if got := client.Complete(t.Context(), testCall(false), &partSink{}); got.Outcome != call.NotRun || got.Execution != ExecutionNotStarted {
		t.Errorf("call to a closed port: %v, execution state %d", got.Result, got.Execution)
	}
}

// A refusal without an identifier on a reused connection may be a late repetition
// of the answer to another call, while this one runs.
func TestUnidentifiedRefusalOnReusedConnectionIsNotBelieved(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusConflict, http.StatusNotFound} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			var calls atomic.Int32
			handler := http.NewServeMux()
			handler.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, _ *http.Request) {
				if calls.Add(1) > 1 {
					w.WriteHeader(status)
					return
				}
				_, _ = fmt.Fprintf(w, `{"id":%q,"model":"a@1","choices":[{"finish_reason":"stop"}]}`, ownID)
			})
			handler.HandleFunc("POST /v1/requests/attempt-1/cancel", func(http.ResponseWriter, *http.Request) {})
			server := httptest.NewServer(handler)
			defer server.Close()
			client, err := NewEngineClient(EngineClientConfig{Engine: catalog.Engine{Address: server.URL}})
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			if got := client.Complete(t.Context(), testCall(false), &partSink{}); got.Outcome != call.Done {
				t.Fatalf("first call: %v", got.Result)
			}
			got := client.Complete(t.Context(), testCall(false), &partSink{})
			if got.Outcome == call.NotRun || got.Execution == ExecutionNotStarted || got.Fenced || got.NotResident {
				t.Errorf("the refusal was believed: %v, execution state %d", got.Result, got.Execution)
			}
		})
	}
}

// An engine works on a call for longer than the idle timeout before it can send
// anything.
func TestSlowCallIsNotAborted(t *testing.T) {
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

// A head without end was read up to ten megabytes for each call.
func TestEndlessHeadsTakeLittleMemory(t *testing.T) {
	const calls, daemonMemory = 40, 256 << 20
	url := serveRaw(t, func(conn *net.TCPConn) {
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX: ")
		for endless := strings.Repeat("x", 64<<10); err == nil; {
			_, err = io.WriteString(conn, endless)
		}
	})
	client, err := NewEngineClient(EngineClientConfig{Engine: catalog.Engine{Address: url, MaxRunning: calls}})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var group sync.WaitGroup
	for range calls {
		group.Go(func() {
			if _, err := client.Report(t.Context()); err == nil {
				t.Error("a head without end was taken for a report")
			}
		})
	}
	group.Wait()
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > daemonMemory {
		t.Errorf("%d calls have allocated %d MB, want %d at most", calls, allocated>>20, daemonMemory>>20)
	}
}
