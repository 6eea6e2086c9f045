package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/claim"
	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/infra"
)

const testTimeout = 10 * time.Second

func newTestServices(t testing.TB, timeout time.Duration, replicas ...catalog.Replica) *ServiceClient {
	t.Helper()
	services, err := NewServiceClient(ServiceClientConfig{Zone: "kakkanad", Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	services.Apply(catalog.NewSnapshot(1, catalog.Contents{
		Zones: []catalog.Zone{
			{Name: "kakkanad", Region: "kochi"}, {Name: "vyttila", Region: "kochi"}, {Name: "hsinchu", Region: "taiwan"},
		},
		Services: []catalog.Service{{Name: "logbook", Replicas: replicas}},
		Routes:   []catalog.Route{{Name: "ticks", Service: "logbook", Timeout: timeout}},
	}))
	t.Cleanup(services.Close)
	return services
}

func newTestReplica(t testing.TB, config fake.ServiceConfig, zone string) (*fake.Service, catalog.Replica) {
	t.Helper()
	service := fake.NewService(config)
	server := httptest.NewServer(service.Handler())
	t.Cleanup(server.Close)
	return service, catalog.Replica{Address: server.URL, Zone: zone}
}

func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return "http://" + listener.Addr().String()
}

func tick(body string) call.KeyedRequest {
	return call.KeyedRequest{
		Customer: "cragbook", Route: "ticks", Key: "k1", Method: http.MethodPost, Target: "/ticks?gym=1",
		Header: http.Header{"Idempotency-Key": {"k1"}}, Body: []byte(body),
	}
}

func TestSendOutcomes(t *testing.T) {
	for _, tc := range []struct {
		fault    fake.ServiceFault
		kind     claim.SendKind
		executed int
	}{
		{fake.FaultNone, claim.SendExecuted, 1},
		{fake.FaultCloseUnexecuted, claim.SendUnknown, 0},
		{fake.FaultCloseExecuted, claim.SendUnknown, 1},
		{fake.FaultRefuse, claim.SendNotRun, 0},
		{fake.FaultError, claim.SendExecuted, 1},
		{fake.FaultTruncateResponse, claim.SendExecuted, 1},
	} {
		for _, body := range []string{"", "tick"} {
			service, replica := newTestReplica(t, fake.ServiceConfig{
				Fault: func(*http.Request) fake.ServiceFault { return tc.fault },
			}, "kakkanad")
			services := newTestServices(t, testTimeout, replica)
			result := services.Send(context.Background(), tick(body))
			if result.Kind != tc.kind {
				t.Errorf("fault %d, body %q: kind %d, want %d (%v)", tc.fault, body, result.Kind, tc.kind, result.Failure)
			}
			if service.RequestCount() != 1 || len(service.Executions()) != tc.executed {
				t.Errorf("fault %d, body %q: %d arrived, %d executed, want 1 and %d",
					tc.fault, body, service.RequestCount(), len(service.Executions()), tc.executed)
			}
			if truncated := tc.fault == fake.FaultTruncateResponse; truncated != (result.Failure.Outcome == call.Incomplete) {
				t.Errorf("fault %d: failure %v", tc.fault, result.Failure)
			}
		}
	}
}

// The transport must not replay a call on a reused connection, even if the key
// header and an empty body make it look idempotent.
func TestNonReplayableBodyIsNotReplayed(t *testing.T) {
	for _, text := range []string{"", "tick"} {
		var closing atomic.Bool
		service, configured := newTestReplica(t, fake.ServiceConfig{Fault: func(*http.Request) fake.ServiceFault {
			if closing.Load() {
				return fake.FaultCloseExecuted
			}
			return fake.FaultNone
		}}, "kakkanad")
		r, err := newReplica(configured.Address)
		if err != nil {
			t.Fatal(err)
		}
		send := func() error {
			timer := newProgressTimer(testTimeout, func() {})
			defer timer.stop()
			body := &nonReplayableBody{reader: strings.NewReader(text), timer: timer}
			outgoing, err := newHTTPRequest(context.Background(), r, ServiceRequest{
				Method: http.MethodPost, Target: "/ticks", ContentLength: int64(len(text)),
				Header: http.Header{"Idempotency-Key": {"k1"}},
			}, body)
			if err != nil {
				t.Fatal(err)
			}
			response, err := r.pooledTransport.RoundTrip(outgoing)
			if err != nil {
				return err
			}
			_, _ = io.Copy(io.Discard, response.Body)
			return response.Body.Close()
		}
		if err := send(); err != nil {
			t.Fatal(err)
		}
		closing.Store(true)
		if err := send(); err == nil {
			t.Fatal("a closed connection gave a response")
		}
		if got := len(service.Executions()); got != 2 {
			t.Errorf("body %q: %d executions, want 2 for 2 calls", text, got)
		}
		r.pooledTransport.CloseIdleConnections()
	}
}

func TestSendTriesAnotherReplicaOnlyWhenNothingWasSent(t *testing.T) {
	service, replica := newTestReplica(t, fake.ServiceConfig{}, "hsinchu")
	services := newTestServices(t, testTimeout, catalog.Replica{Address: unusedAddress(t), Zone: "kakkanad"}, replica)
	if result := services.Send(context.Background(), tick("x")); result.Kind != claim.SendExecuted {
		t.Errorf("with one dead replica: %+v", result)
	}
	if got := len(service.Executions()); got != 1 {
		t.Errorf("%d executions, want 1", got)
	}
	services = newTestServices(t, testTimeout, catalog.Replica{Address: unusedAddress(t), Zone: "kakkanad"})
	if result := services.Send(context.Background(), tick("x")); result.Kind != claim.SendNotRun {
		t.Errorf("with no live replica: %+v", result)
	}
}

func TestLeavingReplicaIsAssignedNoCalls(t *testing.T) {
	near, nearReplica := newTestReplica(t, fake.ServiceConfig{}, "kakkanad")
	far, farReplica := newTestReplica(t, fake.ServiceConfig{}, "vyttila")
	services := newTestServices(t, testTimeout, nearReplica, farReplica)
	send := func() {
		if result := services.Send(context.Background(), tick("x")); result.Kind != claim.SendExecuted {
			t.Fatalf("%+v", result)
		}
	}
	send()
	services.ApplyVMs([]infra.VM{{Address: strings.TrimPrefix(nearReplica.Address, "http://"), State: infra.VMLeaving}})
	for range 5 {
		send()
	}
	if n, f := near.RequestCount(), far.RequestCount(); n != 1 || f != 5 {
		t.Errorf("near replica got %d calls, far one %d; want 1 and 5", n, f)
	}
	services.ApplyVMs([]infra.VM{
		{Address: strings.TrimPrefix(nearReplica.Address, "http://"), State: infra.VMLeaving},
		{Address: strings.TrimPrefix(farReplica.Address, "http://"), State: infra.VMLeaving},
	})
	if result := services.Send(context.Background(), tick("x")); result.Kind != claim.SendNotRun {
		t.Errorf("with all replicas leaving: %+v", result)
	}
}

func TestStalledConnectionIsReplaced(t *testing.T) {
	service, replica := newTestReplica(t, fake.ServiceConfig{}, "kakkanad")
	services := newTestServices(t, testTimeout, replica)
	get := func(timeout time.Duration) error {
		response, err := services.Attempt(context.Background(), ServiceRequest{
			Service: "logbook", Method: http.MethodGet, Target: "/status", Timeout: timeout, Repeatable: true,
		})
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, response.Body)
		return response.Body.Close()
	}
	if err := get(testTimeout); err != nil {
		t.Fatal(err)
	}
	service.StallConnections()
	var failure *ServiceError
	if err := get(50 * time.Millisecond); !errors.As(err, &failure) || failure.Code != call.CodeTimeout || !failure.Sent {
		t.Fatalf("on the stalled connection: %v", err)
	}
	if err := get(testTimeout); err != nil {
		t.Errorf("after the stalled connection: %v", err)
	}
	service.StallConnections()
	if result := services.Send(context.Background(), tick("x")); result.Kind != claim.SendExecuted {
		t.Errorf("a call that may not be repeated used the stalled connection: %+v", result)
	}
}

// The first chunk is echoed before the second one is sent.
func TestAttemptStreamsBothWays(t *testing.T) {
	_, replica := newTestReplica(t, fake.ServiceConfig{}, "kakkanad")
	services := newTestServices(t, testTimeout, replica)
	reader, writer := io.Pipe()
	response, err := services.Attempt(context.Background(), ServiceRequest{
		Service: "logbook", Method: http.MethodPost, Target: "/echo", Body: reader, ContentLength: -1,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	for _, chunk := range []string{"first", "second"} {
		if _, err := io.WriteString(writer, chunk); err != nil {
			t.Fatal(err)
		}
		got := make([]byte, len(chunk))
		if _, err := io.ReadFull(response.Body, got); err != nil || string(got) != chunk {
			t.Fatalf("echo %q: %v", got, err)
		}
	}
	writer.Close()
	if rest, err := io.ReadAll(response.Body); err != nil || len(rest) != 0 {
		t.Errorf("after the end: %q, %v", rest, err)
	}
}

func TestRequestHeader(t *testing.T) {
	from := http.Header{
		"Authorization": {"Bearer x"}, "Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"},
		"Barleylift-Customer": {"another"}, "Barleylift-Profile": {"p"}, "Accept": {"*/*"}, "Upgrade": {"websocket"},
	}
	var got, want bytes.Buffer
	_ = RequestHeader(from, "cragbook").Write(&got)
	_ = http.Header{"Accept": {"*/*"}, "Barleylift-Customer": {"cragbook"}}.Write(&want)
	if got.String() != want.String() {
		t.Errorf("got %q, want %q", got.String(), want.String())
	}
	if from.Get("Authorization") == "" {
		t.Error("the caller's header was changed")
	}
}
