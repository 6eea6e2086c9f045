package relay

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

const (
	firstEvent = "id: 1\ndata: a\n\n"
	lastEvent  = "id: 2\ndata: b\n\n"
)

// continuations are what an upstream answers that is to go on with a stream after firstEvent,
// without its identifier.
func continuations() map[string]struct{ status, fields, body string } {
	type answer = struct{ status, fields, body string }
	const stream = "Content-Type: text/event-stream\r\n"
	return map[string]answer{
		"the rest":                    {"200 OK", stream, lastEvent},
		"status 500":                  {"500 Failed", "", "the engine is broken"},
		"status 404":                  {"404 Not Found", "", "no such adapter"},
		"status 502":                  {"502 Bad Gateway", "", "unknown"},
		"an error's text":             {"200 OK", "Content-Type: text/plain\r\n", "the engine is broken"},
		"an error's text as a stream": {"200 OK", stream, "the engine is broken"},
		"an error's text in lines":    {"200 OK", "", "the engine\n\nis broken\n\n"},
		"a whole head":                {"200 OK", "", "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"},
		"an event without an id":      {"200 OK", stream, "event: error\ndata: broken\n\n"},
		"no event":                    {"200 OK", stream, ""},
		"the beginning again":         {"200 OK", stream, firstEvent + lastEvent},
	}
}

// serveStream serves one stream and returns what the caller got, and whether it was broken off.
func serveStream(r *Relay) (w *httptest.ResponseRecorder, broken bool) {
	request := httptest.NewRequest(http.MethodPost, "/s/", strings.NewReader("notes"))
	request.Header.Set("Id", "r1")
	w = httptest.NewRecorder()
	defer func() { broken = recover() == http.ErrAbortHandler }()
	r.ServeHTTP(w, request)
	return w, false
}

func checkStream(t *testing.T, name string, w *httptest.ResponseRecorder, broken bool) {
	t.Helper()
	isWhole := name == "the rest"
	want := firstEvent
	if isWhole {
		want += lastEvent
	}
	if w.Code != http.StatusOK || w.Body.String() != want || broken == isWhole {
		t.Errorf("status %d, %q, broken off %t; want %q, broken off %t", w.Code, w.Body, broken, want, !isWhole)
	}
}

// A stream that has begun goes on with events that follow, or is broken off: nothing else of
// another engine's answer belongs to it, and neither does its end.
func TestStreamGoesOnWithNothingButItsEvents(t *testing.T) {
	for name, answer := range continuations() {
		t.Run(name, func(t *testing.T) {
			r, engines := newStreamRelay(t)
			r.table.Load().Match("gym.example", "/s/").MaxAttempts = 2
			r.config.Origins = fixedOrigins{}
			var sends atomic.Int64
			for n := range 2 {
				u := startRawUpstream(t, func(_ *rawUpstream, w io.Writer, _, _ int, id string) {
					if sends.Add(1) == 1 {
						writeBrokenStream(w, id)
						return
					}
					writeAnswer(w, answer.status, id, answer.fields, answer.body)
				})
				registration := u.upstream("lm")
				registration.ID, registration.SoftwareVersion = fmt.Sprint("engine-", n), "v1"
				engines.SetUpstream(registration)
			}
			w, broken := serveStream(r)
			checkStream(t, name, w, broken)
			if sends.Load() != 2 {
				t.Errorf("%d sends, want 2", sends.Load())
			}
		})
	}
}

// The same holds where other VMs send the request to engines.
func TestStreamGoesOnWithNothingButItsEventsOverOtherVMs(t *testing.T) {
	for name, answer := range continuations() {
		t.Run(name, func(t *testing.T) {
			r, _ := newStreamRelay(t)
			r.table.Load().Match("gym.example", "/s/").MaxAttempts = 2
			first := startRawUpstream(t, func(_ *rawUpstream, w io.Writer, _, _ int, id string) { writeBrokenStream(w, id) })
			second := startRawUpstream(t, func(_ *rawUpstream, w io.Writer, _, _ int, id string) {
				writeAnswer(w, answer.status, id, "Signed: 1\r\n"+answer.fields, answer.body)
			})
			peers := &otherVMs{vms: []*rawUpstream{first, second}}
			peers.cutOff.Store(true)
			r.config.Peers, r.config.Protocol, r.config.Origins = peers, passOnProtocol{}, fixedOrigins{"r1": "v1"}
			w, broken := serveStream(r)
			checkStream(t, name, w, broken)
		})
	}
}

func writeBrokenStream(w io.Writer, id string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Type: text/event-stream\r\nContent-Length: 1000\r\n\r\n%s", id, firstEvent)
	w.(io.Closer).Close()
}

func writeAnswer(w io.Writer, status, id, fields, body string) {
	fmt.Fprintf(w, "HTTP/1.1 %s\r\nId: %s\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, id, fields, len(body), body)
}
