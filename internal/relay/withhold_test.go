package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/quarantine"
	"github.com/barleylift/barleylift/internal/topology"
)

// recordingQuarantine records what the relay reports, and takes all engines that failed for
// ended ones.
type recordingQuarantine struct {
	noQuarantine
	trial bool
	// failed receives once a failure is reported; nil for nothing.
	failed   chan struct{}
	mu       sync.Mutex // guards the fields below
	failures []quarantine.Failure
	answers  int
}

func (q *recordingQuarantine) Judge(request quarantine.Request) quarantine.Verdict {
	return quarantine.Verdict{Trial: q.trial, Key: quarantine.RequestKey(request.Fingerprint)}
}

func (q *recordingQuarantine) EngineFailed(_ context.Context, _ string, _ topology.Upstream, failure quarantine.Failure) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.failures = append(q.failures, failure)
	select {
	case q.failed <- struct{}{}:
	default:
	}
	return true
}

func (q *recordingQuarantine) EngineAnswered(string, quarantine.Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answers++
}

func servePlain(r *Relay, id string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "/p/", strings.NewReader("tick"))
	request.Header.Set("Id", id)
	w := httptest.NewRecorder()
	r.ServeHTTP(w, request)
	return w
}

// Only an answer that is no failure shows that a request doesn't crash engines: a replica
// may fail it before it has run so far.
func TestFailureOfReplicaClearsNoRequest(t *testing.T) {
	for status, want := range map[int]int{http.StatusOK: 1, http.StatusNotFound: 1, http.StatusInternalServerError: 0} {
		u := startRawUpstream(t, func(_ *rawUpstream, w io.Writer, _, _ int, id string) {
			fmt.Fprintf(w, "HTTP/1.1 %d Status\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", status, id)
		})
		r := newResendRelay(t, u)
		q := &recordingQuarantine{}
		r.config.Quarantine = q
		if w := servePlain(r, "r1"); w.Code != status {
			t.Fatalf("status %d, want %d", w.Code, status)
		}
		if q.answers != want {
			t.Errorf("status %d: %d answers reported, want %d", status, q.answers, want)
		}
	}
}

// A replica that breaks a request off before it answers is reported, with the request as
// callers repeat it, whatever identifier it has.
func TestBrokenOffRequestOfPlainServiceIsReported(t *testing.T) {
	u := startRawUpstream(t, func(_ *rawUpstream, w io.Writer, _, _ int, _ string) { w.(net.Conn).Close() })
	r := newResendRelay(t, u)
	q := &recordingQuarantine{trial: true}
	r.config.Quarantine = q
	for _, id := range []string{"r1", "r2"} {
		if w := servePlain(r, id); w.Code != http.StatusBadGateway {
			t.Errorf("status %d, want 502", w.Code)
		}
	}
	if len(q.failures) != 2 || q.failures[0].Begun || q.failures[0].Request.Fingerprint == 0 ||
		q.failures[0].Request.Fingerprint != q.failures[1].Request.Fingerprint || q.failures[0].At <= q.failures[0].SentAt {
		t.Errorf("reported %+v", q.failures)
	}
}

// An engine may crash at any moment of its answer: a stream that goes on for long shows nothing
// until it is whole.
func TestStreamThatGoesOnClearsNoRequestUntilItIsWhole(t *testing.T) {
	for _, broken := range []bool{true, false} {
		u := startRawUpstream(t, func(_ *rawUpstream, w io.Writer, _, _ int, id string) {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
			for n := range 3 {
				event := fmt.Sprintf("id: %d\ndata: a\n\n", n+1)
				fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
				time.Sleep(beginningTime)
			}
			if !broken {
				io.WriteString(w, "0\r\n\r\n")
				return
			}
			w.(net.Conn).Close()
		})
		r := newResendRelay(t, u)
		q := &recordingQuarantine{failed: make(chan struct{}, 1)}
		r.config.Quarantine = q
		request := httptest.NewRequest(http.MethodPost, "/s/", strings.NewReader("tick"))
		request.Header.Set("Id", "r1")
		func() {
			defer func() { _ = recover() }()
			r.ServeHTTP(httptest.NewRecorder(), request)
		}()
		want := 1
		if broken {
			<-q.failed
			want = 0
		}
		if q.answers != want {
			t.Errorf("broken off %t: %d answers reported, want %d", broken, q.answers, want)
		}
	}
}
