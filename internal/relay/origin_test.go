package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/locator"
	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
)

// fixedOrigins knows the origins of some requests.
type fixedOrigins map[string]string

func (o fixedOrigins) RecordOrigin(_, request, softwareVersion string, _ time.Duration) {
	o[request] = softwareVersion
}

func (o fixedOrigins) FindOrigin(_ context.Context, request string) (string, bool) {
	version, ok := o[request]
	return version, ok
}

func (fixedOrigins) OnlySoftwareVersion(context.Context, string, bool) (string, bool) {
	return "", false
}

// oneVersion knows the origins of some requests, and that a service has had one version only.
// restarted is set if other origins may have been forgotten.
type oneVersion struct {
	fixedOrigins
	restarted bool
}

func (o oneVersion) OnlySoftwareVersion(_ context.Context, _ string, named bool) (string, bool) {
	return "v1", !named || o.restarted
}

// resumeProtocol also decodes the fields of requests that take up a stream.
type resumeProtocol struct{ headerProtocol }

func (resumeProtocol) DecodeRequest(r *http.Request) (*Call, error) {
	call, err := headerProtocol{}.DecodeRequest(r)
	call.LastEventID, call.FirstTry = r.Header.Get("After"), r.Header.Get("First-Try")
	return call, err
}

func (resumeProtocol) RequestHeader(call *Call, params SendParams) http.Header {
	return http.Header{"Id": {call.ID}, "After": {params.LastEventID}}
}

// startStreams starts an engine of a software version that writes one event and,
// unless it breaks streams off, their end.
func startStreams(t *testing.T, version string, breaks bool) (u *rawUpstream, registration topology.Upstream) {
	t.Helper()
	u = startRawUpstream(t, func(u *rawUpstream, w io.Writer, _, _ int, id string) {
		n := u.runs.Add(1)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n+6, version)
		length := len(event)
		if breaks {
			length++
		}
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", id, length, event)
		if c, ok := w.(io.Closer); ok && breaks {
			c.Close()
		}
	})
	registration = u.upstream("lm")
	registration.ID, registration.SoftwareVersion = "engine-"+version, version
	return u, registration
}

// A stream that a caller takes up goes on only at the software version that began
// it. If that is unknown, or no engine has it, the request is refused at once.
func TestTakenUpStreamGoesOnAtItsSoftwareVersionOnly(t *testing.T) {
	tests := []struct {
		name, firstTry string
		incarnation    int64
		status         int
		runsV1, runsV2 int64
		onlyV1         bool
		restarted      bool
	}{
		{"begun at v1", "first-v1", 1, http.StatusOK, 1, 0, false, false},
		{"begun at v2", "first-v2", 1, http.StatusOK, 0, 1, false, false},
		{"begun at a version without engines", "first-v3", 1, http.StatusServiceUnavailable, 0, 0, false, false},
		{"unknown attempt", "other", 1, http.StatusServiceUnavailable, 0, 0, false, false},
		{"no attempt named", "", 1, http.StatusServiceUnavailable, 0, 0, false, false},
		{"no attempt named, one version", "", 1, http.StatusOK, 1, 0, true, false},
		{"unknown attempt, one version", "other", 1, http.StatusServiceUnavailable, 0, 0, true, false},
		{"unknown attempt, one version, all VMs have started again", "other", 1, http.StatusOK, 1, 0, true, true},
		{"engine that may have started again with another version", "first-v1", 2, http.StatusServiceUnavailable, 0, 0, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			r, engines := newTestRelay(t, func(l *locator.Locator, engine string, request locator.AdmissionRequest) bool {
				l.HandleStatus(orders.AdmissionStatus{Engine: engine, Ticket: request.Ticket, Status: residency.Ready, Incarnation: test.incarnation})
				return true
			})
			r.config.Protocol = resumeProtocol{}
			r.config.Origins = fixedOrigins{"first-v1": "v1", "first-v2": "v2", "first-v3": "v3"}
			if test.onlyV1 {
				r.config.Origins = oneVersion{fixedOrigins{}, test.restarted}
			}
			v1, registration := startStreams(t, "v1", false)
			engines.SetUpstream(registration)
			v2, registration := startStreams(t, "v2", false)
			if !test.onlyV1 {
				engines.SetUpstream(registration)
			}
			if test.incarnation > 1 {
				engines.HandleStatus(orders.AdmissionStatus{Engine: "engine-v1", Incarnation: test.incarnation})
			}
			request := httptest.NewRequest(http.MethodPost, "/s/", nil)
			for name, value := range map[string]string{"Id": "r1", "After": "5", "First-Try": test.firstTry} {
				request.Header.Set(name, value)
			}
			recorder := httptest.NewRecorder()
			r.ServeHTTP(recorder, request)
			if recorder.Code != test.status || v1.runs.Load() != test.runsV1 || v2.runs.Load() != test.runsV2 {
				t.Errorf("status %d, %d runs at v1 and %d at v2; want %d, %d, %d", recorder.Code, v1.runs.Load(), v2.runs.Load(), test.status, test.runsV1, test.runsV2)
			}
		})
	}
}

// newStreamRelay returns a relay whose streams may be resumed, before engines that
// admit every request.
func newStreamRelay(t *testing.T) (*Relay, *locator.Locator) {
	t.Helper()
	r, engines := newTestRelay(t, func(l *locator.Locator, engine string, request locator.AdmissionRequest) bool {
		l.HandleStatus(orders.AdmissionStatus{Engine: engine, Ticket: request.Ticket, Status: residency.Ready})
		return true
	})
	r.config.Protocol = resumeProtocol{}
	r.table.Load().Match("gym.example", "/s/").Resumable = true
	r.table.Load().Match("gym.example", "/s/").MaxAttempts = 3
	return r, engines
}

// serveBroken serves a request whose stream must end as broken.
func serveBroken(t *testing.T, r *Relay) {
	t.Helper()
	request := httptest.NewRequest(http.MethodPost, "/s/", nil)
	request.Header.Set("Id", "r1")
	defer func() {
		if recover() != http.ErrAbortHandler {
			t.Error("the broken stream was ended as if complete")
		}
	}()
	r.ServeHTTP(httptest.NewRecorder(), request)
}

// A stream that breaks off after its first event doesn't go on at another software
// version within the same answer.
func TestBrokenStreamDoesNotGoOnAtAnotherSoftwareVersion(t *testing.T) {
	r, engines := newStreamRelay(t)
	known := fixedOrigins{}
	r.config.Origins = known
	first, registration := startStreams(t, "v1", true)
	engines.SetUpstream(registration)
	second, registration := startStreams(t, "v2", true)
	engines.SetUpstream(registration)
	serveBroken(t, r)
	if v1, v2 := first.runs.Load(), second.runs.Load(); v1 > 0 && v2 > 0 || v1+v2 < 2 {
		t.Errorf("%d runs at v1 and %d at v2, want several at one of them", v1, v2)
	}
	if len(known) != 1 || known["r1"] == "" {
		t.Errorf("recorded origins: %v", known)
	}
}

// A stream whose events have no identifiers can't go on: sent anew, it would bring its
// first events twice.
func TestBrokenStreamWithoutEventIdentifiersIsNotSentAnew(t *testing.T) {
	r, engines := newStreamRelay(t)
	u := startRawUpstream(t, func(u *rawUpstream, w io.Writer, _, _ int, id string) {
		u.runs.Add(1)
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 99\r\n\r\ndata: first\n\n", id)
		w.(io.Closer).Close()
	})
	registration := u.upstream("lm")
	registration.SoftwareVersion = "v1"
	engines.SetUpstream(registration)
	serveBroken(t, r)
	if n := u.runs.Load(); n != 1 {
		t.Errorf("the stream was sent %d times", n)
	}
}
