package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/locator"
	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
)

// A request that no engine can begin in time is refused at once with the time at which there
// is room: held until its deadline, it would get the same answer seconds later.
func TestRequestThatIsTooLateIsRefusedAtOnce(t *testing.T) {
	const roomIn = 3 * time.Second
	asked := make(map[string]int)
	r, engines := newTestRelay(t, func(l *locator.Locator, engine string, request locator.AdmissionRequest) bool {
		asked[engine]++
		l.HandleStatus(orders.AdmissionStatus{Engine: engine, Ticket: request.Ticket, Status: residency.TooLate, RoomIn: roomIn})
		return true
	})
	for _, id := range []string{"a", "b", "c"} {
		engines.SetUpstream(topology.Upstream{ID: id, Incarnation: 1, Service: "lm", Slots: 8, Models: []topology.HeldModel{{Name: "base", Version: 1}}})
	}
	recorder := httptest.NewRecorder()
	r.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/s/", nil))
	after, err := time.ParseDuration(recorder.Header().Get("Retry-After"))
	if recorder.Code != http.StatusServiceUnavailable || err != nil || after < roomIn || after > 3*roomIn/2 {
		t.Errorf("status %d, Retry-After %v, want 503 and a time from %v to half more", recorder.Code, after, roomIn)
	}
	if len(asked) != maxTooLate {
		t.Errorf("engines asked: %v, want two different ones", asked)
	}
}
