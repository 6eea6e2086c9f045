package relay

import (
	"context"
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
	"github.com/barleylift/barleylift/internal/quarantine"
	"github.com/barleylift/barleylift/internal/quota"
	"github.com/barleylift/barleylift/internal/ratelimit"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/routing"
	"github.com/barleylift/barleylift/internal/topology"
	"github.com/prometheus/client_golang/prometheus"
)

var climb = topology.Adapter{Model: "base", Name: "climb"}

// minimalProtocol decodes every request as one for the adapter climb.
type minimalProtocol struct{}

func (minimalProtocol) DecodeRequest(r *http.Request) (*Call, error) {
	return &Call{ID: "r1", Method: r.Method, Host: "gym.example", Target: "/s/", Path: "/s/", Adapter: climb, Header: http.Header{}}, nil
}
func (minimalProtocol) RequestHeader(*Call, SendParams) http.Header      { return http.Header{} }
func (minimalProtocol) PassOnHeader(*Call, PassOnParams) http.Header     { return http.Header{} }
func (minimalProtocol) DecodeResponseHead(int, http.Header) ResponseHead { return ResponseHead{} }
func (minimalProtocol) ResponseHeader(http.Header) http.Header           { return http.Header{} }
func (minimalProtocol) WriteError(w http.ResponseWriter, _ *Call, status int, retryAfter time.Duration, _ string) {
	w.Header().Set("Retry-After", retryAfter.String())
	w.WriteHeader(status)
}

// noOrigins knows the origin of no stream.
// noPeers is a fleet of one VM, which reaches its upstreams.
type noPeers struct{}

func (noPeers) CutOff() bool { return false }

func (noPeers) ChooseVM([]string) (string, *hop.Pool, bool) { return "", nil, false }

// noQuotas admits all requests.
type noQuotas struct{}

func (noQuotas) Acquire(context.Context, string, int64, int) quota.Decision {
	return quota.Decision{Outcome: quota.Admitted}
}
func (noQuotas) Return(string, int64, quota.Decision) {}

// noPlaces hands out no places.
type noPlaces struct{}

func (noPlaces) AcquirePlace(context.Context, []string, time.Duration) (Place, bool) {
	return Place{}, false
}

// noQuarantine knows no crashes.
type noQuarantine struct{}

func (noQuarantine) Judge(quarantine.Request) quarantine.Verdict {
	return quarantine.Verdict{}
}

func (noQuarantine) Recheck(quarantine.Request, quarantine.Verdict) quarantine.Verdict {
	return quarantine.Verdict{}
}

func (noQuarantine) EngineAnswered(string, quarantine.Request) {}

func (noQuarantine) EngineFailed(context.Context, string, topology.Upstream, quarantine.Failure) bool {
	return false
}

type noOrigins struct{}

func (noOrigins) RecordOrigin(string, string, string, time.Duration) {}
func (noOrigins) FindOrigin(context.Context, string) (string, bool) {
	return "", false
}
func (noOrigins) OnlySoftwareVersion(context.Context, string, bool) (string, bool) { return "", false }

// newTestRelay returns a relay with a route to engines and one to a plain
// service, whose requests run at most once. sendRequest stands in for the engines'
// owners.
func newTestRelay(t *testing.T, sendRequest func(l *locator.Locator, engine string, request locator.AdmissionRequest) bool) (*Relay, *locator.Locator) {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	var engines *locator.Locator
	engines, err := locator.New(locator.Config{
		Zone: "z", Name: "vm", Log: log,
		SendRequest:     func(engine string, r locator.AdmissionRequest) bool { return sendRequest(engines, engine, r) },
		SendProgress:    func(string, uint64, orders.AdmissionProgress) {},
		SendTurnRequest: func(ratelimit.Request) bool { return false },
	})
	if err != nil {
		t.Fatal(err)
	}
	budget, err := limit.NewRetryBudget(limit.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Second, MinRetries: 10})
	if err != nil {
		t.Fatal(err)
	}
	r, err := New(Config{
		Protocol: minimalProtocol{}, Locator: engines, Pools: &testPools{}, Log: log,
		Budget:  func(string) *limit.RetryBudget { return budget },
		Metrics: metrics.NewGateway(prometheus.NewRegistry()),
		Origins: noOrigins{}, Quarantine: noQuarantine{}, Peers: noPeers{}, Freshness: &proofOf{}, Quotas: noQuotas{}, Places: noPlaces{},
		Observe: func(topology.Upstream, topology.Statement, time.Duration, string) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	table, err := routing.NewTable(routing.Config{
		Version: 1,
		Routes: []routing.Route{{
			Name: "s", Host: "gym.example", Prefix: "/s/", Kind: routing.Streaming, Timeout: time.Minute,
			LatencyObjective: 200 * time.Millisecond, Shares: []routing.Share{{Service: "lm", Weight: 1}}, MaxAttempts: 1,
		}, {
			Name: "p", Host: "gym.example", Prefix: "/p/", Kind: routing.Unsafe, Timeout: time.Minute,
			LatencyObjective: 200 * time.Millisecond, Shares: []routing.Share{{Service: "api", Weight: 1}}, MaxAttempts: 1,
		}},
		Services: []routing.Service{{Name: "lm", Engines: &routing.EngineSpec{}}, {Name: "api"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	r.SetTable(table)
	return r, engines
}

// A daemon without a configuration does not know its routes: it must refuse
// requests with a Retry-After instead of responding that no route matches.
func TestNoConfigurationIsRefusedWithRetryAfter(t *testing.T) {
	r, _ := newTestRelay(t, func(*locator.Locator, string, locator.AdmissionRequest) bool { return false })
	r.table.Store(nil)
	recorder := httptest.NewRecorder()
	r.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/s/", nil))
	if after := recorder.Header().Get("Retry-After"); recorder.Code != http.StatusServiceUnavailable || after != retryAfterNoConfig.String() {
		t.Errorf("status %d, Retry-After %q", recorder.Code, after)
	}
}

// Owners decline immediately while a fleet starts. Retrying without a pause
// made a single request use the daemon's whole CPU.
func TestDeclinedRequestsRestBetweenChoices(t *testing.T) {
	tests := []struct {
		name     string
		status   residency.Status
		hasOwner bool
	}{
		{"declined", residency.Declined, true},
		{"no owner", residency.Declined, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int64
			r, engines := newTestRelay(t, func(l *locator.Locator, engine string, request locator.AdmissionRequest) bool {
				requests.Add(1)
				if test.hasOwner {
					l.HandleStatus(orders.AdmissionStatus{Engine: engine, Ticket: request.Ticket, Status: test.status})
				}
				return test.hasOwner
			})
			for _, id := range []string{"a", "b", "c"} {
				engines.SetUpstream(topology.Upstream{ID: id, Incarnation: 1, Service: "lm", Slots: 8, Models: []topology.HeldModel{{Name: "base", Version: 1}}})
			}
			recorder := httptest.NewRecorder()
			r.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/s/", nil))
			if recorder.Code != http.StatusServiceUnavailable {
				t.Errorf("status %d, want 503", recorder.Code)
			}
			// Pauses of 30, 60, 120 and then 240 ms fill the time before the refusal.
			patience := time.Duration(sendDeadlineShare * float64(minFirstEventPatience))
			maxRequests := 4 + int64((patience-210*time.Millisecond)/maxDeclinedBackoff)
			if n := requests.Load(); n < 2 || n > maxRequests {
				t.Errorf("%d admission requests within %v, want 2 to %d", n, patience, maxRequests)
			}
		})
	}
}
