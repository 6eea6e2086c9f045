package plain

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/claim"
	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/ownership"
)

func TestKeyedCallRunsOnceAtTheOwner(t *testing.T) {
	service, replica := newReplica(t, fake.ServiceConfig{})
	setup := newTestSetup(t, replica)
	first := setup.do(t, http.MethodPost, "/ticks", "k1", "tick")
	first.expect(t, http.StatusOK, call.Done)
	second := setup.do(t, http.MethodPost, "/ticks", "k1", "tick")
	second.expect(t, http.StatusOK, call.Done)
	if first.body != second.body || second.Header.Get(call.ReplayedHeader) != "true" || first.Header.Get(call.ReplayedHeader) != "" {
		t.Errorf("first %q, second %q with %v", first.body, second.body, second.Header)
	}
	setup.do(t, http.MethodPost, "/ticks", "k1", "other").expect(t, http.StatusUnprocessableEntity, call.Rejected)
	executions := service.Executions()
	if len(executions) != 1 || executions[0].Customer != "cragbook" || executions[0].Key != "k1" {
		t.Errorf("executions %+v", executions)
	}
}

func TestKeyedCallSurvivesLostReplies(t *testing.T) {
	service, replica := newReplica(t, fake.ServiceConfig{})
	setup := newTestSetup(t, replica)
	setup.network.loseReplies.Store(2)
	setup.do(t, http.MethodPost, "/ticks", "k1", "tick").expect(t, http.StatusOK, call.Done)
	setup.network.loseReplies.Store(-1)
	setup.do(t, http.MethodPost, "/ticks", "k2", "tick").expect(t, http.StatusBadGateway, call.Unknown)
	if got := len(service.Executions()); got != 2 {
		t.Errorf("%d executions for 2 keys", got)
	}
}

// The owner is lost after it received the call. Later attempts cannot prove
// that the call did not run.
func TestLostOwnerIsNeverReportedAsNotRun(t *testing.T) {
	_, replica := newReplica(t, fake.ServiceConfig{})
	setup := newTestSetup(t, replica)
	setup.network.disconnectOnLoss.Store(true)
	setup.network.loseReplies.Store(1)
	setup.do(t, http.MethodPost, "/ticks", "k1", "tick").expect(t, http.StatusBadGateway, call.Unknown)
}

// All shards move to another owner while the service executes a call. A second
// call with the same key must get the recorded response from the new owner.
func TestOutcomeReachesTheSuccessor(t *testing.T) {
	executing, proceed := make(chan struct{}), make(chan struct{})
	service, replica := newReplica(t, fake.ServiceConfig{Fault: func(*http.Request) fake.ServiceFault {
		close(executing)
		<-proceed
		return fake.FaultNone
	}})
	setup := newTestSetup(t, replica)
	first := make(chan response)
	go func() { first <- setup.do(t, http.MethodPost, "/ticks", "k1", "tick") }()
	<-executing
	lost := setup.owners.all()
	for _, resource := range claim.Resources() {
		setup.assignShard(t, setup.entry, "entry", resource)
	}
	for _, resource := range claim.Resources() {
		setup.owner.claims.Lost(ownership.Holding{Resource: resource, Token: lost[resource.ID].Token})
	}
	setup.do(t, http.MethodPost, "/ticks", "k1", "tick").expect(t, http.StatusBadGateway, call.Unknown)
	close(proceed)
	(<-first).expect(t, http.StatusOK, call.Done)
	if err := setup.owner.claims.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	second := setup.do(t, http.MethodPost, "/ticks", "k1", "tick")
	second.expect(t, http.StatusOK, call.Done)
	if got := len(service.Executions()); got != 1 || second.Header.Get(call.ReplayedHeader) != "true" {
		t.Errorf("%d executions, header %v", got, second.Header)
	}
}

func TestKeyedCallMovesToTheSuccessor(t *testing.T) {
	service, replica := newReplica(t, fake.ServiceConfig{})
	setup := newTestSetup(t, replica)
	if err := setup.owner.claims.Drain(context.Background()); err != nil {
		t.Fatal(err)
	}
	got := setup.do(t, http.MethodPost, "/ticks", "k1", "tick")
	got.expect(t, http.StatusServiceUnavailable, call.NotRun)
	if got.Header.Get("Retry-After") == "" {
		t.Error("not run without Retry-After")
	}
	for _, resource := range claim.Resources() {
		setup.assignShard(t, setup.entry, "entry", resource)
	}
	setup.network.unreachable.Store(true)
	setup.do(t, http.MethodPost, "/ticks", "k1", "tick").expect(t, http.StatusOK, call.Done)
	if got := len(service.Executions()); got != 1 {
		t.Errorf("%d executions", got)
	}
}

func TestUnreachableOwnerMeansNotRun(t *testing.T) {
	service, replica := newReplica(t, fake.ServiceConfig{})
	setup := newTestSetup(t, replica)
	setup.network.unreachable.Store(true)
	setup.do(t, http.MethodPost, "/ticks", "k1", "tick").expect(t, http.StatusServiceUnavailable, call.NotRun)
	if got := service.RequestCount(); got != 0 {
		t.Errorf("%d calls arrived", got)
	}
}

// The first request fails in various ways; each case states what the caller
// receives.
func TestFaults(t *testing.T) {
	for _, tc := range []struct {
		name, method, path string
		fault              fake.ServiceFault
		status             int
		outcome            call.Outcome
		arrived            int
	}{
		{"repeated after a close", http.MethodGet, "/artifacts/a", fake.FaultCloseExecuted, 200, call.Done, 2},
		{"repeated after an error", http.MethodGet, "/artifacts/a", fake.FaultError, 200, call.Done, 2},
		{"repeated after a truncated response", http.MethodGet, "/artifacts/a", fake.FaultTruncateResponse, 200, call.Done, 2},
		{"repeated after a refusal", http.MethodPost, "/once", fake.FaultRefuse, 200, call.Done, 2},
		{"sent once, closed", http.MethodPost, "/once", fake.FaultCloseExecuted, 502, call.Unknown, 1},
		{"sent once, closed before executing", http.MethodPost, "/once", fake.FaultCloseUnexecuted, 502, call.Unknown, 1},
		{"sent once, truncated", http.MethodPost, "/once", fake.FaultTruncateResponse, 502, call.Incomplete, 1},
		{"sent once, error", http.MethodPost, "/once", fake.FaultError, 503, call.Done, 1},
		{"no key, closed", http.MethodPost, "/ticks", fake.FaultCloseExecuted, 502, call.Unknown, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var requests atomic.Int64
			service, replica := newReplica(t, fake.ServiceConfig{Fault: func(*http.Request) fake.ServiceFault {
				if requests.Add(1) == 1 {
					return tc.fault
				}
				return fake.FaultNone
			}})
			setup := newTestSetup(t, replica)
			setup.do(t, tc.method, tc.path, "", "x").expect(t, tc.status, tc.outcome)
			if got := service.RequestCount(); got != tc.arrived {
				t.Errorf("%d requests arrived, want %d", got, tc.arrived)
			}
		})
	}
}

// A service that fails every request must receive little more than one request
// per call.
func TestRetriesStopWithTheBudget(t *testing.T) {
	service, replica := newReplica(t, fake.ServiceConfig{Fault: func(*http.Request) fake.ServiceFault { return fake.FaultError }})
	setup := newTestSetup(t, replica)
	const calls = 20
	for range calls {
		setup.do(t, http.MethodGet, "/artifacts/a", "", "").expect(t, http.StatusServiceUnavailable, call.Done)
	}
	if got := service.RequestCount(); got > calls+minRetries {
		t.Errorf("%d requests for %d calls, want at most %d retries", got, calls, minRetries)
	}
}

func TestLargeResponsesAreStreamed(t *testing.T) {
	service, replica := newReplica(t, fake.ServiceConfig{})
	setup := newTestSetup(t, replica)
	artifact := strings.Repeat("0123456789", 3*maxBufferedBytes/10)
	setup.do(t, http.MethodPut, "/artifacts/a", "", artifact).expect(t, http.StatusOK, call.Done)
	got := setup.do(t, http.MethodGet, "/artifacts/a", "", "")
	got.expect(t, http.StatusOK, call.Done)
	if got.body != artifact {
		t.Errorf("got %d bytes, want %d", len(got.body), len(artifact))
	}
	if len(service.Executions()) != 2 {
		t.Errorf("%d executions", len(service.Executions()))
	}
}

// Each chunk is echoed before the next one is sent.
func TestStreamsBothWays(t *testing.T) {
	_, replica := newReplica(t, fake.ServiceConfig{})
	setup := newTestSetup(t, replica)
	reader, writer := io.Pipe()
	request, err := http.NewRequest(http.MethodPost, setup.entry.url+"/echo", reader)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testToken)
	got, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer got.Body.Close()
	for _, chunk := range []string{"first", "second"} {
		if _, err := io.WriteString(writer, chunk); err != nil {
			t.Fatal(err)
		}
		echo := make([]byte, len(chunk))
		if _, err := io.ReadFull(got.Body, echo); err != nil || string(echo) != chunk {
			t.Fatalf("echo %q, %v", echo, err)
		}
	}
	// The profile of this route allows one call in flight.
	setup.do(t, http.MethodPost, "/echo", "", "").expect(t, http.StatusTooManyRequests, call.NotRun)
	writer.Close()
	if _, err := io.ReadAll(got.Body); err != nil {
		t.Fatal(err)
	}
	if outcome := got.Trailer.Get(call.OutcomeHeader); outcome != string(call.Done) {
		t.Errorf("trailer outcome %q", outcome)
	}
}

// A response of unknown length that is truncated must not look complete.
func TestTruncatedStreamIsNotComplete(t *testing.T) {
	truncating := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	setup := newTestSetup(t, catalog.Replica{Address: serve(t, truncating)})
	got := setup.do(t, http.MethodGet, "/artifacts/a", "", "")
	if got.err == nil || got.Trailer.Get(call.OutcomeHeader) == string(call.Done) {
		t.Errorf("got %q, error %v, trailer %v", got.body, got.err, got.Trailer)
	}
}

func TestRefusals(t *testing.T) {
	service, replica := newReplica(t, fake.ServiceConfig{})
	setup := newTestSetup(t, replica)
	large := strings.Repeat("x", 101)
	setup.do(t, http.MethodPost, "/ticks", "k1", large).expect(t, http.StatusRequestEntityTooLarge, call.Rejected)
	setup.do(t, http.MethodPost, "/once", "", large).expect(t, http.StatusRequestEntityTooLarge, call.Rejected)
	setup.do(t, http.MethodPost, "/ticks", strings.Repeat("k", 256), "x").expect(t, http.StatusBadRequest, call.Rejected)
	setup.do(t, http.MethodGet, "/nowhere", "", "").expect(t, http.StatusNotFound, call.Rejected)
	unauthorized, err := http.Post(setup.entry.url+"/once", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	unauthorized.Body.Close()
	response{Response: unauthorized}.expect(t, http.StatusUnauthorized, call.Rejected)
	if got := service.RequestCount(); got != 0 {
		t.Errorf("%d requests arrived", got)
	}
}

func TestApplyReplacesRoutes(t *testing.T) {
	_, replica := newReplica(t, fake.ServiceConfig{})
	setup := newTestSetup(t, replica)
	contents := testContents(replica)
	contents.Routes = []catalog.Route{{Name: "status", Pattern: "GET /status", Service: "logbook", Repeatable: true}}
	if err := setup.entry.handler.Apply(catalog.NewSnapshot(2, contents)); err != nil {
		t.Fatal(err)
	}
	setup.do(t, http.MethodGet, "/status", "", "").expect(t, http.StatusOK, call.Done)
	setup.do(t, http.MethodPost, "/once", "", "").expect(t, http.StatusNotFound, call.Rejected)
	contents.Routes = append(contents.Routes, catalog.Route{Name: "bad", Pattern: "GET /status", Service: "logbook"})
	if err := setup.entry.handler.Apply(catalog.NewSnapshot(3, contents)); err == nil {
		t.Error("conflicting patterns were accepted")
	}
	setup.do(t, http.MethodGet, "/status", "", "").expect(t, http.StatusOK, call.Done)
}
