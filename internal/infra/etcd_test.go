package infra_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/infra/etcdjson"
)

const noError infra.ErrorKind = -1

func kindOf(err error) infra.ErrorKind {
	var e *infra.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return noError
}

func newEtcdKV(t *testing.T, config infra.EtcdConfig) *infra.EtcdKV {
	t.Helper()
	if config.Timeout == 0 {
		config.Timeout = time.Minute
	}
	kv, err := infra.NewEtcdKV(config)
	if err != nil {
		t.Fatal(err)
	}
	return kv
}

func create(key, value string, lease infra.LeaseID) infra.Txn {
	return infra.Txn{
		If:   []infra.Compare{infra.Absent(key)},
		Then: []infra.Op{{Kind: infra.OpPut, Key: key, Value: []byte(value), Lease: lease}},
		Else: []infra.Op{infra.Read(key)},
	}
}

// TestEtcdKVOverGateway makes every call over HTTP and compares the results
// with the state of the service.
func TestEtcdKVOverGateway(t *testing.T) {
	service := fake.NewKV()
	server := httptest.NewServer(service.Handler())
	defer server.Close()
	kv := newEtcdKV(t, infra.EtcdConfig{Endpoints: []string{server.URL + "/"}})
	ctx := t.Context()

	lease, err := kv.Grant(ctx, 1500*time.Millisecond)
	if err != nil || lease == 0 {
		t.Fatalf("grant: %v, %v", lease, err)
	}
	if ttl, err := kv.KeepAlive(ctx, lease); err != nil || ttl != 2*time.Second {
		t.Fatalf("renewal: %v, %v", ttl, err)
	}
	created, err := kv.Txn(ctx, create("a/1", "x\x00\xff", 0))
	if err != nil || !created.Succeeded || created.Revision != 2 {
		t.Fatalf("create: %+v, %v", created, err)
	}
	conflicted, err := kv.Txn(ctx, create("a/1", "y", lease))
	if err != nil || conflicted.Succeeded || string(conflicted.Reads[0][0].Value) != "x\x00\xff" {
		t.Fatalf("second create: %+v, %v", conflicted, err)
	}
	if _, err := kv.Txn(ctx, create("a/2", "", lease)); err != nil {
		t.Fatal(err)
	}
	read, err := kv.Range(ctx, "a/")
	if err != nil || read.Revision != 3 || len(read.Entries) != 2 || read.Entries[1].Lease != lease {
		t.Fatalf("range: %+v, %v", read, err)
	}
	if e, err := kv.Get(ctx, "absent"); err != nil || e.Exists() {
		t.Fatalf("absent key: %+v, %v", e, err)
	}
	checkWatch(t, kv, lease)
	if _, err := kv.KeepAlive(ctx, lease); kindOf(err) != infra.LeaseNotFound {
		t.Fatalf("renewal of a revoked lease: %v", err)
	}
	if _, err := kv.Txn(ctx, create("a/3", "z", lease)); kindOf(err) != infra.LeaseNotFound {
		t.Fatalf("put with a revoked lease: %v", err)
	}
	service.Compact()
	batches, err := kv.Watch(ctx, "a/", 2)
	if err != nil {
		t.Fatal(err)
	}
	if b := <-batches; kindOf(b.Err) != infra.Compacted {
		t.Fatalf("watch of compacted revisions: %+v", b)
	}
	if _, open := <-batches; open {
		t.Fatal("the channel of a broken watch must be closed")
	}
}

// checkWatch checks that a watch from revision 2 delivers the history and then
// the deletion of the lease's key by its revocation.
func checkWatch(t *testing.T, kv infra.KV, lease infra.LeaseID) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	batches, err := kv.Watch(ctx, "a/", 2)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"a/1", "a/2"} {
		if b := <-batches; b.Err != nil || b.Events[0].Entry.Key != want || b.Events[0].Deleted {
			t.Fatalf("history: got %+v, want %s", b, want)
		}
	}
	if err := kv.Revoke(ctx, lease); err != nil {
		t.Fatal(err)
	}
	if b := <-batches; b.Err != nil || !b.Events[0].Deleted || b.Events[0].Entry.Key != "a/2" {
		t.Fatalf("revocation: %+v", b)
	}
	cancel()
	for range batches {
	}
}

// afterReading returns a handler that reads the whole request before it calls next.
func afterReading(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		next(w, r)
	}
}

func respondError(status, code int, message string) http.HandlerFunc {
	return afterReading(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(etcdjson.Error{Code: code, Message: message})
	})
}

func respondText(body string) http.HandlerFunc {
	return afterReading(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
}

func closeConnection(w http.ResponseWriter, _ *http.Request) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		conn.Close()
	}
}

// TestEtcdKVErrorKinds checks the kind that is reported for each failure. A write
// is Unavailable only if it certainly had no effect, and reaches the service once.
func TestEtcdKVErrorKinds(t *testing.T) {
	for _, tc := range []struct {
		name    string
		handler http.HandlerFunc
		write   infra.ErrorKind
		read    infra.ErrorKind
	}{
		{"request read, connection closed", afterReading(closeConnection), infra.Ambiguous, infra.Unavailable},
		{"response truncated", respondText(`{"header":{"revision":"7"},"succ`), infra.Ambiguous, infra.Unavailable},
		{"response without operations", respondText(`{"header":{}}`), infra.Ambiguous, noError},
		{"no leader", respondError(503, 14, "etcdserver: no leader"), infra.Unavailable, infra.Unavailable},
		{"timed out after proposing", respondError(503, 14, "etcdserver: request timed out"), infra.Ambiguous, infra.Unavailable},
		{"leader changed", respondError(503, 14, "etcdserver: leader changed"), infra.Ambiguous, infra.Unavailable},
		{"gateway without a body", respondError(502, 0, ""), infra.Ambiguous, infra.Unavailable},
		{"too many requests", respondError(429, 8, "etcdserver: too many requests"), infra.Unavailable, infra.Unavailable},
		{"no space", respondError(429, 8, "etcdserver: mvcc: database space exceeded"), infra.Unavailable, infra.Unavailable},
		{"invalid", respondError(400, 3, "etcdserver: duplicate key given in txn request"), infra.Refused, infra.Refused},
		{"lease not found", respondError(404, 5, "etcdserver: requested lease not found"), infra.LeaseNotFound, infra.LeaseNotFound},
		{"redirect", afterReading(func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
		}),
			infra.Ambiguous, infra.Unavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var received atomic.Int64
			server := httptest.NewServer(countRequests(&received, tc.handler))
			defer server.Close()
			kv := newEtcdKV(t, infra.EtcdConfig{Endpoints: []string{server.URL}})
			_, err := kv.Txn(t.Context(), create("k", "v", 0))
			if kindOf(err) != tc.write {
				t.Errorf("txn: got %v, want %v", err, tc.write)
			}
			if n := received.Load(); n != 1 {
				t.Errorf("txn reached the service %d times", n)
			}
			if _, err := kv.Get(t.Context(), "k"); kindOf(err) != tc.read {
				t.Errorf("get: got %v, want %v", err, tc.read)
			}
		})
	}
}

func countRequests(received *atomic.Int64, next http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		next.ServeHTTP(w, r)
	}
}

// TestEtcdKVNeverReplaysOnReusedConnection guards against the transport sending
// a transaction a second time: the service reads it on a reused connection and
// closes the connection without a response.
func TestEtcdKVNeverReplaysOnReusedConnection(t *testing.T) {
	service := fake.NewKV()
	var transactions atomic.Int64
	var connections atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == etcdjson.PathTxn {
			transactions.Add(1)
			afterReading(closeConnection)(w, r)
			return
		}
		service.Handler().ServeHTTP(w, r)
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	kv := newEtcdKV(t, infra.EtcdConfig{Endpoints: []string{server.URL}})
	if _, err := kv.Get(t.Context(), "k"); err != nil {
		t.Fatal(err)
	}
	_, err := kv.Txn(t.Context(), create("k", "v", 0))
	if kindOf(err) != infra.Ambiguous || transactions.Load() != 1 || connections.Load() != 1 {
		t.Errorf("got %v after %d transactions on %d connections, want ambiguous after 1 on 1",
			err, transactions.Load(), connections.Load())
	}
}

// TestEtcdKVEndpoints checks that reads are retried at the next endpoint after
// any failure, writes only after one that certainly had no effect.
func TestEtcdKVEndpoints(t *testing.T) {
	service := fake.NewKV()
	healthy := httptest.NewServer(service.Handler())
	defer healthy.Close()
	closing := httptest.NewServer(afterReading(closeConnection))
	defer closing.Close()
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	lease, err := service.Grant(t.Context(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name  string
		first string
		write infra.ErrorKind
	}{
		{"dial refused", closed.URL, noError},
		{"connection closed", closing.URL, infra.Ambiguous},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var observed []string
			config := infra.EtcdConfig{Endpoints: []string{tc.first, healthy.URL}}
			config.Observe = func(kind, result string) { observed = append(observed, kind+" "+result) }
			kv := newEtcdKV(t, config)
			_, err := kv.Txn(t.Context(), create("k", "v", 0))
			if kindOf(err) != tc.write {
				t.Errorf("txn: got %v, want %v", err, tc.write)
			}
			if _, err := kv.Txn(t.Context(), create("k", "v", 0)); err != nil {
				t.Errorf("the next txn must go to the next endpoint: %v", err)
			}
			if _, err := newEtcdKV(t, config).KeepAlive(t.Context(), lease); err != nil {
				t.Errorf("a renewal may be repeated at the next endpoint: %v", err)
			}
			observed = nil
			if _, err := newEtcdKV(t, config).Get(t.Context(), "k"); err != nil {
				t.Errorf("get: %v", err)
			}
			if want := []string{"get unavailable", "get ok"}; !slices.Equal(observed, want) {
				t.Errorf("observed %q, want %q", observed, want)
			}
		})
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	kv := newEtcdKV(t, infra.EtcdConfig{Endpoints: []string{healthy.URL}})
	if _, err := kv.Txn(canceled, create("k", "v", 0)); kindOf(err) != infra.Unavailable {
		t.Errorf("context ended before dialing: %v", err)
	}
}

// TestEtcdKVTxnMessage checks the encoding of a transaction against the published
// format of the gateway.
func TestEtcdKVTxnMessage(t *testing.T) {
	var got string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got = string(body)
		_, _ = io.WriteString(w, `{"header":{"cluster_id":"1","revision":"12"},"succeeded":true,"responses":[{"response_put":{"header":{"revision":"12"}}},{"response_range":{"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"6","version":"5","value":"YmFy"}],"count":"1"}}]}`)
	}))
	defer server.Close()
	kv := newEtcdKV(t, infra.EtcdConfig{Endpoints: []string{server.URL}})
	result, err := kv.Txn(t.Context(), infra.Txn{
		If:   []infra.Compare{infra.Absent("foo"), infra.ModifiedAt("foo", 9)},
		Then: []infra.Op{{Kind: infra.OpPut, Key: "foo", Value: []byte("bar"), Lease: 5}, infra.Read("foo")},
		Else: []infra.Op{{Kind: infra.OpDelete, Key: "p/", Prefix: true}},
	})
	want := `{"compare":[{"result":"EQUAL","target":"CREATE","key":"Zm9v","create_revision":"0"},{"result":"EQUAL","target":"MOD","key":"Zm9v","mod_revision":"9"}],"success":[{"request_put":{"key":"Zm9v","value":"YmFy","lease":"5"}},{"request_range":{"key":"Zm9v"}}],"failure":[{"request_delete_range":{"key":"cC8=","range_end":"cDA="}}]}`
	if got != want {
		t.Errorf("sent\n%s\nwant\n%s", got, want)
	}
	wantEntry := infra.Entry{Key: "foo", Value: []byte("bar"), CreateRevision: 2, ModRevision: 6}
	if err != nil || result.Revision != 12 || string(result.Reads[1][0].Value) != "bar" || result.Reads[1][0].ModRevision != wantEntry.ModRevision {
		t.Errorf("read %+v, %v", result, err)
	}
}

// pipeListener is a listener whose connections are in-memory pipes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.IPAddr{} }

func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	l.conns <- server
	return client, nil
}

// TestEtcdKVWatchIdleTimeout checks that progress notifications keep an idle
// watch open and that a stalled one breaks within the idle timeout.
func TestEtcdKVWatchIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := fake.NewKV()
		listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		server := &http.Server{Handler: service.Handler()}
		go func() { _ = server.Serve(listener) }()
		transport := &http.Transport{DialContext: listener.dial}
		kv := newEtcdKV(t, infra.EtcdConfig{Endpoints: []string{"http://kv"}, Client: &http.Client{Transport: transport}})
		batches, err := kv.Watch(t.Context(), "a/", 1)
		if err != nil {
			t.Fatal(err)
		}
		select {
		case b := <-batches:
			t.Fatalf("an idle watch broke: %+v", b)
		case <-time.After(10 * time.Minute):
		}
		stalledAt := time.Now()
		service.StallWatches(true)
		b := <-batches
		if kindOf(b.Err) != infra.Unavailable || !strings.Contains(b.Err.Error(), "idle timeout") {
			t.Errorf("got %+v", b)
		}
		if waited := time.Since(stalledAt); waited > infra.DefaultWatchIdleTimeout {
			t.Errorf("a stalled watch broke after %v", waited)
		}
		transport.CloseIdleConnections()
		server.Close()
	})
}

func TestVMListClient(t *testing.T) {
	list := fake.NewVMList()
	want := []infra.VM{
		{Address: "10.0.0.1:8000", Zone: "kakkanad", State: infra.VMLive},
		{Address: "10.0.0.2:8000", Zone: "vyttila", State: infra.VMLeaving},
	}
	list.Set(want...)
	server := httptest.NewServer(list.Handler())
	defer server.Close()
	client, err := infra.NewVMListClient(server.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := client.VMs(t.Context()); err != nil || !slices.Equal(got, want) {
		t.Errorf("got %v, %v", got, err)
	}
	list.Set(infra.VM{Address: "10.0.0.1:8000", State: "gone"})
	if got, err := client.VMs(t.Context()); err == nil {
		t.Errorf("an unknown state must fail, got %v", got)
	}
	list.SetError(errors.New("down"))
	if _, err := client.VMs(t.Context()); err == nil {
		t.Error("a failed read must fail")
	}
}
