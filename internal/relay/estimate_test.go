package relay

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/cost"
	"github.com/barleylift/barleylift/internal/metrics"
	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
	"github.com/prometheus/client_golang/prometheus"
)

// hintProtocol also states what a request costs.
type hintProtocol struct{ headerProtocol }

func (hintProtocol) DecodeRequest(r *http.Request) (*Call, error) {
	call, err := headerProtocol{}.DecodeRequest(r)
	call.PromptTokens, call.LengthHint = 1000, 30
	call.PromptParts, call.PartTokens = []topology.PromptPart{7}, []int{600}
	return call, err
}

// Guards against a choice without its estimate in the log, several such lines a request, an
// estimate that is never compared with what happens, and outputs and prompts that nobody
// learns from.
func TestChoiceNamesItsEstimateAndLearns(t *testing.T) {
	for _, paced := range []bool{true, false} {
		r, engines := newStreamRelay(t)
		r.config.Protocol = hintProtocol{}
		var lines bytes.Buffer
		r.log = slog.New(slog.NewTextHandler(&lines, nil))
		registry := prometheus.NewRegistry()
		r.config.Metrics = metrics.NewGateway(registry)
		_, registration := startStreams(t, "v1", false)
		engines.SetUpstream(registration)
		if paced {
			held := []residency.HeldAdapter{{Adapter: climb}}
			engines.ApplyState(orders.EngineState{Engine: registration.ID, Incarnation: 1, PrefillPerToken: 50 * time.Microsecond, Held: held})
			// Engines of small fleets are chosen by counts.
			for i := range 30 {
				other := registration
				other.ID = fmt.Sprint("other-", i)
				other.Models = []topology.HeldModel{{Name: "base", Version: 1}}
				engines.SetUpstream(other)
			}
		}
		for _, id := range []string{"r1", "r2"} {
			request := httptest.NewRequest(http.MethodPost, "/s/", nil)
			request.Header.Set("Id", id)
			r.ServeHTTP(httptest.NewRecorder(), request)
		}
		want := 0
		if paced {
			want = 2
		}
		text := lines.String()
		if n := strings.Count(text, "engine chosen by expected time"); n != want {
			t.Errorf("paced %v: %d lines of choices, want %d", paced, n, want)
		}
		if paced && (!strings.Contains(text, "unread=1000") || !strings.Contains(text, "unread=400")) {
			t.Errorf("the lines don't name 1,000 unread tokens and then 400:\n%s", text)
		}
		if n := comparisons(t, registry); n != want {
			t.Errorf("paced %v: %d estimates compared, want %d", paced, n, want)
		}
		known := r.estimates.estimate(cost.Key{Route: "s"}, cost.Request{Hint: 30})
		if known.Observations < 1.9 {
			t.Errorf("paced %v: %.1f outputs seen, want 2", paced, known.Observations)
		}
	}
}

// comparisons returns the number of compared estimates.
func comparisons(t *testing.T, registry *prometheus.Registry) int {
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, family := range families {
		if strings.HasSuffix(family.GetName(), "first_event_estimate_ratio") {
			for _, m := range family.GetMetric() {
				n += int(m.GetHistogram().GetSampleCount())
			}
		}
	}
	return n
}
