package plain

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/claim"
	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/metrics"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/peer"
	"github.com/barleylift/barleylift/internal/profile"
	"github.com/barleylift/barleylift/internal/upstream"
	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
)

var errLost = errors.New("connection lost")

// network connects the daemons of a test in memory. It implements peer.Caller.
type network struct {
	handlers map[peer.Method]map[string]peer.Handler
	// loseReplies is the number of replies to lose; negative for all.
	loseReplies atomic.Int64
	unreachable atomic.Bool
	// disconnectOnLoss makes all daemons unreachable once a reply is lost.
	disconnectOnLoss atomic.Bool
}

func (n *network) Open(ctx context.Context, address string, method peer.Method) (peer.Stream, error) {
	handler := n.handlers[method][address]
	if handler == nil || n.unreachable.Load() {
		return nil, errLost
	}
	ctx, cancel := context.WithCancel(ctx)
	request, reply := make(chan []byte, 1), make(chan []byte, 1)
	client := &memoryStream{out: request, in: reply, cancel: cancel, ctx: ctx, network: n}
	server := &memoryStream{out: reply, in: request, cancel: cancel, ctx: ctx}
	go handler(ctx, peer.Identity{Name: "entry"}, server)
	return client, nil
}

// memoryStream is one side of a stream with one message each way.
type memoryStream struct {
	out, in chan []byte
	ctx     context.Context
	cancel  context.CancelFunc
	// network is set on the client's side and selects the replies to lose.
	network *network
}

func (s *memoryStream) Send(message any) error {
	data, err := cbor.Marshal(message)
	if err != nil {
		return err
	}
	s.out <- data
	return nil
}

func (s *memoryStream) Recv(message any) error {
	select {
	case data := <-s.in:
		if s.network != nil && s.network.loseReplies.Load() != 0 {
			s.network.loseReplies.Add(-1)
			s.network.unreachable.Store(s.network.disconnectOnLoss.Load())
			return errLost
		}
		return cbor.Unmarshal(data, message)
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

func (s *memoryStream) CloseSend() error { return nil }
func (s *memoryStream) Cancel()          { s.cancel() }

// view is one daemon's view of the ownership table that all daemons of a test
// share.
type view struct {
	ownership.View
	self  string
	table *ownerTable
}

type ownerTable struct {
	mu     sync.Mutex
	owners map[string]ownership.Owner
}

func (o *ownerTable) all() map[string]ownership.Owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.owners)
}

func (v *view) Self() ownership.Member {
	return ownership.Member{Name: v.self, PeerAddress: v.self}
}

func (v *view) Owner(_ ownership.Kind, id string) (ownership.Owner, bool) {
	v.table.mu.Lock()
	defer v.table.mu.Unlock()
	owner, ok := v.table.owners[id]
	return owner, ok
}

func (v *view) Holds(kind ownership.Kind, id string) (ownership.Token, bool) {
	owner, ok := v.Owner(kind, id)
	return owner.Token, ok && owner.Member == v.self
}

// testDaemon is one daemon and the URL at which it serves callers.
type testDaemon struct {
	handler *Handler
	claims  *claim.Pool
	url     string
}

// testSetup consists of an entry and another daemon, which owns all claim
// shards.
type testSetup struct {
	kv       *fake.KV
	network  *network
	owners   *ownerTable
	snapshot *catalog.Snapshot
	entry    *testDaemon
	owner    *testDaemon
}

const (
	testToken   = "secret"
	testTimeout = 10 * time.Second
)

func testContents(replicas ...catalog.Replica) catalog.Contents {
	return catalog.Contents{
		Services: []catalog.Service{{Name: "logbook", Replicas: replicas}},
		Routes: []catalog.Route{
			{Name: "ticks", Pattern: "POST /ticks", Service: "logbook", IdempotencyHeader: "Idempotency-Key", Retention: time.Hour, Timeout: testTimeout, MaxBody: 100},
			{Name: "once", Pattern: "POST /once", Service: "logbook", Timeout: testTimeout, MaxBody: 100},
			{Name: "echo", Pattern: "POST /echo", Service: "logbook", Repeatable: true, Timeout: testTimeout},
			{Name: "artifacts", Pattern: "/artifacts/{name}", Service: "logbook", Repeatable: true, Timeout: testTimeout, MaxBody: 1 << 20},
		},
		Customers: []catalog.Customer{{Name: "cragbook"}},
	}
}

func newTestSetup(t testing.TB, replicas ...catalog.Replica) *testSetup {
	t.Helper()
	setup := &testSetup{
		kv: fake.NewKV(),
		network: &network{handlers: map[peer.Method]map[string]peer.Handler{
			peer.MethodKeyedCall: make(map[string]peer.Handler), MethodSettle: make(map[string]peer.Handler),
		}},
		owners:   &ownerTable{owners: make(map[string]ownership.Owner)},
		snapshot: catalog.NewSnapshot(1, testContents(replicas...)),
	}
	setup.entry = setup.newDaemon(t, "entry")
	setup.owner = setup.newDaemon(t, "owner")
	for _, resource := range claim.Resources() {
		setup.assignShard(t, setup.owner, "owner", resource)
	}
	return setup
}

func (setup *testSetup) newDaemon(t testing.TB, name string) *testDaemon {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	set := metrics.New(prometheus.NewRegistry())
	services, err := upstream.NewServiceClient(upstream.ServiceClientConfig{Log: log})
	if err != nil {
		t.Fatal(err)
	}
	services.Apply(setup.snapshot)
	v := &view{self: name, table: setup.owners}
	claims, err := claim.NewPool(claim.Config{
		KV: setup.kv, View: v, Sender: services, Snapshot: func() *catalog.Snapshot { return setup.snapshot }, Metrics: set, Log: log,
		Forward: NewForwarder(setup.network, v),
	})
	if err != nil {
		t.Fatal(err)
	}
	handler, err := NewHandler(Config{
		Caller: setup.network, View: v, Claims: claims, Services: services, Metrics: set, Log: log, Authenticate: authenticate,
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := handler.Apply(setup.snapshot); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.Close()
		claims.Stop()
		services.Close()
	})
	setup.network.handlers[peer.MethodKeyedCall][name] = handler.PeerHandler()
	setup.network.handlers[MethodSettle][name] = handler.SettleHandler()
	return &testDaemon{handler: handler, claims: claims, url: server.URL}
}

func (setup *testSetup) assignShard(t testing.TB, d *testDaemon, name string, resource ownership.Resource) {
	t.Helper()
	key := "owners/claim/" + resource.ID
	_, _ = setup.kv.Txn(context.Background(), infra.Txn{Then: []infra.Op{infra.Delete(key)}})
	result, err := setup.kv.Txn(context.Background(), infra.Txn{Then: []infra.Op{infra.Put(key, nil)}})
	if err != nil {
		t.Fatal(err)
	}
	token := ownership.Token(result.Revision)
	setup.owners.mu.Lock()
	setup.owners.owners[resource.ID] = ownership.Owner{Member: name, PeerAddress: name, Token: token}
	setup.owners.mu.Unlock()
	d.claims.Gained(ownership.Holding{Resource: resource, Token: token})
}

func authenticate(r *http.Request) (catalog.Customer, profile.Profile, call.Result) {
	if r.Header.Get("Authorization") != "Bearer "+testToken {
		return catalog.Customer{}, profile.Profile{}, call.Failed(call.Rejected, call.CodeUnauthorized, "")
	}
	prof := profile.Profile{Name: "desk", DelayTolerance: 2 * time.Second}
	if r.URL.Path == "/echo" {
		prof = profile.Profile{Name: "single", MaxInFlight: 1}
	}
	return catalog.Customer{Name: "cragbook"}, prof, call.Result{}
}

func newReplica(t testing.TB, config fake.ServiceConfig) (*fake.Service, catalog.Replica) {
	t.Helper()
	config.KeyHeader = "Idempotency-Key"
	service := fake.NewService(config)
	server := httptest.NewServer(service.Handler())
	t.Cleanup(server.Close)
	return service, catalog.Replica{Address: server.URL}
}

// response is a complete HTTP response and the error of reading its body.
type response struct {
	*http.Response
	body string
	err  error
}

func (setup *testSetup) do(t testing.TB, method, path, key, body string) response {
	t.Helper()
	request, err := http.NewRequest(method, setup.entry.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testToken)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	got, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer got.Body.Close()
	data, err := io.ReadAll(got.Body)
	return response{Response: got, body: string(data), err: err}
}

func (r response) expect(t testing.TB, status int, outcome call.Outcome) {
	t.Helper()
	got := r.Header.Get(call.OutcomeHeader) + r.Trailer.Get(call.OutcomeHeader)
	if r.StatusCode != status || got != string(outcome) || r.err != nil {
		t.Errorf("status %d, outcome %q, %v, body %q; want %d, %q", r.StatusCode, got, r.err, r.body, status, outcome)
	}
}

func serve(t testing.TB, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

func replicaAt(address string) catalog.Replica {
	return catalog.Replica{Address: address}
}
