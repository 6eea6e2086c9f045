package relay

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/hop"
	"github.com/barleylift/barleylift/internal/limit"
	"github.com/barleylift/barleylift/internal/locator"
	"github.com/barleylift/barleylift/internal/metrics"
	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/routing"
	"github.com/barleylift/barleylift/internal/topology"
	"github.com/prometheus/client_golang/prometheus"
)

var climb = topology.Adapter{Model: "base", Name: "climb"}

// bareProtocol decodes every request as one for the adapter climb.
type bareProtocol struct{}

func (bareProtocol) DecodeRequest(r *http.Request) (*Call, error) {
	return &Call{ID: "r1", Method: r.Method, Host: "gym.example", Target: "/s/", Path: "/s/", Adapter: climb, Header: http.Header{}}, nil
}
func (bareProtocol) RequestHeader(*Call, SendParams) http.Header      { return http.Header{} }
func (bareProtocol) DecodeResponseHead(int, http.Header) ResponseHead { return ResponseHead{} }
func (bareProtocol) ResponseHeader(http.Header) http.Header           { return http.Header{} }
func (bareProtocol) WriteError(w http.ResponseWriter, _ *Call, status int, retryAfter time.Duration, _ string) {
	w.Header().Set("Retry-After", retryAfter.String())
	w.WriteHeader(status)
}

type noSenders struct{}

func (noSenders) RequestPool(topology.Upstream) *hop.Pool { return nil }

// newTestRelay returns a relay with one route to engines, whose owners answer
// asks as the function says.
func newTestRelay(t *testing.T, ask func(l *locator.Locator, engine string, ask locator.AdmissionRequest) bool) (*Relay, *locator.Locator) {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	var engines *locator.Locator
	engines, err := locator.New(locator.Config{
		Zone: "z", Name: "vm", Log: log,
		SendRequest:  func(engine string, a locator.AdmissionRequest) bool { return ask(engines, engine, a) },
		SendProgress: func(string, uint64, orders.AdmissionProgress) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	budget, err := limit.NewRetryBudget(limit.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Second, MinRetries: 10})
	if err != nil {
		t.Fatal(err)
	}
	r, err := New(Config{
		Protocol: bareProtocol{}, Locator: engines, Pools: noSenders{}, Log: log,
		Budget:  func(string) *limit.RetryBudget { return budget },
		Metrics: metrics.NewGateway(prometheus.NewRegistry()),
	})
	if err != nil {
		t.Fatal(err)
	}
	table, err := routing.NewTable(routing.Config{
		Version: 1,
		Routes: []routing.Route{{
			Name: "s", Host: "gym.example", Prefix: "/s/", Kind: routing.Streaming, Timeout: time.Minute,
			LatencyObjective: 200 * time.Millisecond, Shares: []routing.Share{{Service: "lm", Weight: 1}}, MaxAttempts: 1,
		}},
		Services: []routing.Service{{Name: "lm", Engines: &routing.EngineSpec{}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	r.SetTable(table)
	return r, engines
}

// A daemon that knows no configuration can't tell what it serves: it sends
// callers away for a moment, and does not answer that there is no such route.
func TestWithoutAConfigurationCallersAreToldToComeBack(t *testing.T) {
	r, _ := newTestRelay(t, func(*locator.Locator, string, locator.AdmissionRequest) bool { return false })
	r.table.Store(nil)
	answer := httptest.NewRecorder()
	r.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/s/", nil))
	if after := answer.Header().Get("Retry-After"); answer.Code != http.StatusServiceUnavailable || after != unknownRetryAfter.String() {
		t.Errorf("status %d, come back after %q", answer.Code, after)
	}
}

// Owners that decline at once, as all do while a fleet starts, are not asked
// again without a rest: a request that spun took its daemon's whole processor.
func TestDeclinedRequestsRestBetweenChoices(t *testing.T) {
	tests := []struct {
		name   string
		status residency.Status
		known  bool
	}{
		{"declined", residency.Declined, true},
		{"no owner", residency.Declined, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var asks atomic.Int64
			r, engines := newTestRelay(t, func(l *locator.Locator, engine string, ask locator.AdmissionRequest) bool {
				asks.Add(1)
				if test.known {
					l.HandleStatus(orders.AdmissionStatus{Engine: engine, Ticket: ask.Ticket, Status: test.status})
				}
				return test.known
			})
			for _, id := range []string{"a", "b", "c"} {
				engines.SetUpstream(topology.Upstream{ID: id, Incarnation: 1, Service: "lm", Slots: 8, Models: []topology.HeldModel{{Name: "base", Version: 1}}})
			}
			answer := httptest.NewRecorder()
			r.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/s/", nil))
			if answer.Code != http.StatusServiceUnavailable {
				t.Errorf("status %d, want 503", answer.Code)
			}
			// Rests of 30, 60, 120 and then 240 ms fill the time before the refusal.
			patience := time.Duration(beginShare * float64(leastFirstPatience))
			most := 4 + int64((patience-210*time.Millisecond)/maxDeclinedSleep)
			if n := asks.Load(); n < 2 || n > most {
				t.Errorf("%d asks within %v, want 2 to %d", n, patience, most)
			}
		})
	}
}
