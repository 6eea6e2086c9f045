package relay

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/locator"
	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/residency"
)

// A daemon that shuts down sent requests to upstreams although it would end before them.
func TestRequestThatWouldOutlastTheDaemonIsRefused(t *testing.T) {
	tests := []struct {
		name       string
		usual      time.Duration
		endsIn     time.Duration
		draining   bool
		wantStatus int
	}{
		{"no shutdown", time.Hour, 0, false, http.StatusOK},
		{"enough time", time.Second, time.Hour, true, http.StatusOK},
		{"too little time", time.Hour, time.Minute, true, http.StatusServiceUnavailable},
		{"time over", 0, 0, true, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		for path, route := range map[string]string{"/p/": "p", "/s/": "s"} {
			t.Run(test.name+" "+route, func(t *testing.T) {
				u := startRawUpstream(t, func(u *rawUpstream, w io.Writer, _, _ int, id string) { u.run(w, id) })
				r := newResendRelay(t, u)
				r.runTimes.record(route, test.usual)
				if test.draining {
					r.Drain(test.endsIn)
				}
				sendOnce(t, r, u, path, "r1", test.wantStatus)
			})
		}
	}
}

// A request that waits for an engine when the shutdown begins is neither held until the daemon
// ends nor sent just before.
func TestWaitingRequestIsRefusedOnceItWouldOutlastTheDaemon(t *testing.T) {
	u := startRawUpstream(t, func(u *rawUpstream, w io.Writer, _, _ int, id string) { u.run(w, id) })
	r := newResendRelay(t, u)
	waiting := make(chan struct{})
	var asked sync.Once
	sendRequest := func(l *locator.Locator, engine string, request locator.AdmissionRequest) bool {
		l.HandleStatus(orders.AdmissionStatus{Engine: engine, Ticket: request.Ticket, Status: residency.Waiting})
		asked.Do(func() { close(waiting) })
		return true
	}
	waits, engines := newTestRelay(t, sendRequest)
	engine := u.upstream("lm")
	engines.SetUpstream(engine)
	r.config.Locator = waits.config.Locator
	r.runTimes.record("s", time.Hour)
	go func() {
		<-waiting
		r.Drain(time.Minute)
	}()
	request := httptest.NewRequest(http.MethodPost, "/s/", strings.NewReader("notes"))
	request.Header.Set("Id", "r1")
	recorder := httptest.NewRecorder()
	r.ServeHTTP(recorder, request)
	if after := recorder.Header().Get("Retry-After"); recorder.Code != http.StatusServiceUnavailable || after != retryAfterEnding.String() {
		t.Errorf("status %d, Retry-After %q, want 503 and %v", recorder.Code, after, retryAfterEnding)
	}
	if u.runs.Load() > 0 {
		t.Error("the request was sent")
	}
}

func TestRunTimesExceedMostRuns(t *testing.T) {
	times := runTimes{byRoute: make(map[string]time.Duration)}
	exceeded := 0
	const runs = 2000
	for n := range runs {
		took := time.Duration(1+n%10) * time.Second
		if took <= times.of("r") {
			exceeded++
		}
		times.record("r", took)
	}
	if exceeded < runs*3/4 || times.of("r") > 10*time.Second {
		t.Errorf("the estimate %v exceeds %d of %d runs", times.of("r"), exceeded, runs)
	}
}
