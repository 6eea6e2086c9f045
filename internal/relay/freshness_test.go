package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/routing"
)

// proofOf is a VM's proof that its configuration is the newest, until it is lost.
type proofOf struct{ lost atomic.Bool }

func (p *proofOf) KeysUsable() bool { return !p.lost.Load() }

// keyedTable has the routes of newTestRelay, requires API keys, and has a public route.
func keyedTable(t *testing.T) *routing.Table {
	t.Helper()
	route := func(name, prefix, service string, kind routing.Kind, public bool) routing.Route {
		return routing.Route{
			Name: name, Host: "gym.example", Prefix: prefix, Kind: kind, Timeout: time.Minute, LatencyObjective: 200 * time.Millisecond,
			Shares: []routing.Share{{Service: service, Weight: 1}}, MaxAttempts: 1, Public: public,
		}
	}
	table, err := routing.NewTable(routing.Config{
		Version: 2, RequiresKeys: true, Customers: []routing.Customer{{Name: "c", Keys: []string{"key-1"}}},
		Routes:   []routing.Route{route("s", "/s/", "lm", routing.Streaming, false), route("p", "/p/", "api", routing.Unsafe, false), route("open", "/open/", "api", routing.Unsafe, true)},
		Services: []routing.Service{{Name: "lm", Engines: &routing.EngineSpec{}}, {Name: "api"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func keyedRequest(path string, body io.Reader) *http.Request {
	request := httptest.NewRequest(http.MethodPost, path, body)
	request.Host = "gym.example"
	request.Header.Set("Id", "r1")
	request.Header.Set("Authorization", "Bearer key-1")
	return request
}

// serveUpstream answers as an upstream that runs the request, or as a VM that passes on its
// answer.
func serveUpstream(u *rawUpstream, w io.Writer, _, _ int, id string) {
	u.runs.Add(1)
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nok", id)
}

// A VM that can't prove that its configuration is the newest must run no request with an API
// key. Others serve it; otherwise the refusal says truthfully that it has not run.
func TestKeysAreNotAcceptedWithoutAProof(t *testing.T) {
	tests := []struct {
		name, path string
		// others is the number of VMs that serve.
		others, status int
		passedOn       bool
		wantOwn        int64
		wantOthers     int64
		// wantMark is set if the refusal says that another VM may serve the request.
		wantMark bool
	}{
		{name: "another VM serves", path: "/p/", others: 1, status: http.StatusOK, wantOthers: 1},
		{name: "no other VM", path: "/p/", status: http.StatusServiceUnavailable},
		{name: "model request, no other VM", path: "/s/", status: http.StatusServiceUnavailable},
		{name: "public route", path: "/open/", others: 1, status: http.StatusOK, wantOwn: 1},
		{name: "another VM's request", path: "/p/", others: 1, passedOn: true, status: http.StatusServiceUnavailable, wantMark: true},
		{name: "another VM's request on a public route", path: "/open/", passedOn: true, status: http.StatusOK, wantOwn: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			own := startRawUpstream(t, serveUpstream)
			r := newResendRelay(t, own)
			r.SetTable(keyedTable(t))
			peers, proof := &otherVMs{}, &proofOf{}
			for range test.others {
				peers.vms = append(peers.vms, startRawUpstream(t, serveUpstream))
			}
			proof.lost.Store(true)
			r.config.Peers, r.config.Protocol, r.config.Freshness = peers, passOnProtocol{}, proof
			w := httptest.NewRecorder()
			r.serve(w, keyedRequest(test.path, strings.NewReader("body")), test.passedOn)
			if w.Code != test.status || own.runs.Load() != test.wantOwn {
				t.Errorf("status %d with %d requests at the own upstream, want %d with %d", w.Code, own.runs.Load(), test.status, test.wantOwn)
			}
			for _, vm := range peers.vms {
				if vm.runs.Load() != test.wantOthers {
					t.Errorf("another VM got %d requests, want %d", vm.runs.Load(), test.wantOthers)
				}
			}
			if marked := w.Header().Get(headerUnreachable) != ""; marked != test.wantMark {
				t.Errorf("the refusal is marked: %v", marked)
			}
			if after := w.Header().Get("Retry-After"); w.Code == http.StatusServiceUnavailable && !test.passedOn && after != retryAfterNotFresh.String() {
				t.Errorf("Retry-After %q", after)
			}
		})
	}
}

// Where the configuration requires no API keys, nothing depends on a proof.
func TestRequestsWithoutKeysNeedNoProof(t *testing.T) {
	own := startRawUpstream(t, serveUpstream)
	r := newResendRelay(t, own)
	proof := &proofOf{}
	proof.lost.Store(true)
	r.config.Protocol, r.config.Freshness = passOnProtocol{}, proof
	w := httptest.NewRecorder()
	r.ServeHTTP(w, keyedRequest("/p/", strings.NewReader("body")))
	if w.Code != http.StatusOK || own.runs.Load() != 1 {
		t.Errorf("status %d", w.Code)
	}
}

// A proof that runs out while the request waits for a connection must not be used: the key may
// have been removed meanwhile.
func TestProofIsCheckedJustBeforeTheRequestIsSent(t *testing.T) {
	for _, path := range []string{"/p/", "/s/"} {
		u := startRawUpstream(t, serveUpstream)
		r := newResendRelay(t, u)
		r.SetTable(keyedTable(t))
		pools, proof := &gatedPools{dialing: make(chan struct{}), release: make(chan struct{})}, &proofOf{}
		r.config.Pools, r.config.Freshness = pools, proof
		w := httptest.NewRecorder()
		ended := make(chan struct{})
		go func() {
			r.ServeHTTP(w, keyedRequest(path, strings.NewReader("body")))
			close(ended)
		}()
		<-pools.dialing
		proof.lost.Store(true)
		close(pools.release)
		<-ended
		if u.runs.Load() != 0 || w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") != retryAfterNotFresh.String() {
			t.Errorf("%s: %d requests reached the upstream, status %d, Retry-After %q", path, u.runs.Load(), w.Code, w.Header().Get("Retry-After"))
		}
	}
}

// endingBody calls onEnd before its end is read.
type endingBody struct {
	io.Reader
	onEnd func()
}

func (b endingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.onEnd()
	}
	return n, err
}

// The proof counts that holds once the whole request has arrived: the caller may have sent the
// end of it long after the beginning.
func TestProofIsCheckedAfterTheBodyHasArrived(t *testing.T) {
	u := startRawUpstream(t, serveUpstream)
	r := newResendRelay(t, u)
	r.SetTable(keyedTable(t))
	proof := &proofOf{}
	r.config.Freshness = proof
	w := httptest.NewRecorder()
	r.ServeHTTP(w, keyedRequest("/p/", endingBody{strings.NewReader("body"), func() { proof.lost.Store(true) }}))
	if u.runs.Load() != 0 || w.Code != http.StatusServiceUnavailable {
		t.Errorf("%d requests reached the upstream, status %d", u.runs.Load(), w.Code)
	}
}

// A request that came without a proof was not checked here, so it must not run here once
// there is one.
func TestRequestThatCameWithoutAProofDoesNotRunHere(t *testing.T) {
	u := startRawUpstream(t, serveUpstream)
	r := newResendRelay(t, u)
	r.SetTable(keyedTable(t))
	first := true
	r.config.Freshness = freshnessFunc(func() bool {
		defer func() { first = false }()
		return !first
	})
	w := httptest.NewRecorder()
	r.ServeHTTP(w, keyedRequest("/p/", strings.NewReader("body")))
	if u.runs.Load() != 0 || w.Code != http.StatusServiceUnavailable {
		t.Errorf("%d requests reached the upstream, status %d", u.runs.Load(), w.Code)
	}
}

type freshnessFunc func() bool

func (f freshnessFunc) KeysUsable() bool { return f() }
