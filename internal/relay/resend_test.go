package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/hop"
	"github.com/barleylift/barleylift/internal/locator"
	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
)

// headerProtocol names the fields that tests of resends need.
type headerProtocol struct{ minimalProtocol }

func (headerProtocol) DecodeRequest(r *http.Request) (*Call, error) {
	call := &Call{ID: r.Header.Get("Id"), Method: r.Method, Host: "gym.example", Target: r.URL.Path, Path: r.URL.Path, Header: http.Header{},
		Key: Secret(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "))}
	if strings.HasPrefix(r.URL.Path, "/s/") {
		call.Adapter = climb
	}
	return call, nil
}
func (headerProtocol) RequestHeader(call *Call, _ SendParams) http.Header {
	return http.Header{"Id": {call.ID}}
}
func (headerProtocol) DecodeResponseHead(status int, header http.Header) ResponseHead {
	return ResponseHead{
		RequestID: header.Get("Id"), Signed: true, NotRun: header.Get("Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest,
	}
}

// testPools holds one pool an upstream.
type testPools struct{ byID sync.Map }

func (p *testPools) RequestPool(upstream topology.Upstream) *hop.Pool {
	pool, _ := p.byID.LoadOrStore(upstream.ID, hop.NewPool(upstream.Address, hop.Dial, nil, 0))
	return pool.(*hop.Pool)
}

// rawUpstream is an upstream whose responses are written by a function. conn and
// nth count connections, and requests on one connection, from 1.
type rawUpstream struct {
	listener net.Listener
	respond  func(w io.Writer, conn, nth int, id string)
	runs     atomic.Int64
}

func startRawUpstream(t *testing.T, respond func(u *rawUpstream, w io.Writer, conn, nth int, id string)) *rawUpstream {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	u := &rawUpstream{listener: listener}
	u.respond = func(w io.Writer, conn, nth int, id string) { respond(u, w, conn, nth, id) }
	go func() {
		for n := 1; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn, n)
		}
	}()
	return u
}

func (u *rawUpstream) serve(conn net.Conn, n int) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for nth := 1; ; nth++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		u.respond(conn, n, nth, request.Header.Get("Id"))
	}
}

func (u *rawUpstream) upstream(service string) topology.Upstream {
	return topology.Upstream{
		ID: "a", Incarnation: 1, Service: service, Slots: 8, Address: netip.MustParseAddrPort(u.listener.Addr().String()),
		Models: []topology.HeldModel{{Name: climb.Model, Version: 1, Adapters: []topology.HeldAdapter{{Name: climb.Name, Version: 1}}}},
	}
}

// run runs a request.
func (u *rawUpstream) run(w io.Writer, id string) {
	u.runs.Add(1)
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", id)
}

// refuse states that a request has not run. Without an id, the response does not
// name the request.
func refuse(w io.Writer, status int, id string) {
	text := "HTTP/1.1 " + strconv.Itoa(status) + " Refused\r\nNot-Run: 1\r\nContent-Length: 0\r\n"
	if id != "" {
		text += "Id: " + id + "\r\n"
	}
	fmt.Fprint(w, text+"\r\n")
}

// sendOnce serves one request that must run at most once, and checks its status
// and that it ran at most once, and not at all if it was refused.
func sendOnce(t *testing.T, r *Relay, u *rawUpstream, path, id string, wantStatus int) {
	t.Helper()
	before := u.runs.Load()
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader("tick"))
	request.Header.Set("Id", id)
	recorder := httptest.NewRecorder()
	r.ServeHTTP(recorder, request)
	runs := u.runs.Load() - before
	if runs > 1 {
		t.Errorf("request %s ran %d times", id, runs)
	}
	if recorder.Code == http.StatusServiceUnavailable && runs > 0 {
		t.Errorf("request %s was refused as not run, but ran", id)
	}
	if recorder.Code != wantStatus {
		t.Errorf("request %s: status %d, want %d", id, recorder.Code, wantStatus)
	}
}

// newResendRelay returns a relay before one upstream of each service, whose
// engine admits every request.
func newResendRelay(t *testing.T, u *rawUpstream) *Relay {
	t.Helper()
	r, upstreams := newTestRelay(t, func(l *locator.Locator, engine string, request locator.AdmissionRequest) bool {
		l.HandleStatus(orders.AdmissionStatus{Engine: engine, Ticket: request.Ticket, Status: residency.Ready})
		return true
	})
	r.config.Protocol = headerProtocol{}
	upstreams.SetUpstream(u.upstream("api"))
	engine := u.upstream("lm")
	engine.ID = "e"
	upstreams.SetUpstream(engine)
	return r
}

// An engine may repeat a refusal late, where the response to the next request
// on the connection is expected.
func TestRepeatedRefusalIsNotTakenForALaterSend(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		status int
		// serves is set if the upstream runs the request when it is sent again.
		serves     bool
		wantStatus int
	}{
		{"plain service, then served", "/p/", http.StatusServiceUnavailable, true, http.StatusOK},
		{"plain service, then refused", "/p/", http.StatusServiceUnavailable, false, http.StatusServiceUnavailable},
		{"engine without the adapter, then served", "/s/", http.StatusMisdirectedRequest, true, http.StatusOK},
		{"full engine, then served", "/s/", http.StatusServiceUnavailable, true, http.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			u := startRawUpstream(t, func(u *rawUpstream, w io.Writer, conn, nth int, id string) {
				switch {
				case conn == 1 && nth == 1:
					refuse(w, test.status, id)
				case conn == 1:
					refuse(w, test.status, id)
					u.run(w, id)
				case test.serves:
					u.run(w, id)
				default:
					refuse(w, test.status, id)
				}
			})
			sendOnce(t, newResendRelay(t, u), u, test.path, "r1", test.wantStatus)
		})
	}
}

// The end of a rate limit is learned from answers to requests that ran: a refusal need
// not name the limit.
func TestRefusalEndsNoRateLimit(t *testing.T) {
	u := startRawUpstream(t, func(u *rawUpstream, w io.Writer, conn, _ int, id string) {
		if conn == 1 {
			refuse(w, http.StatusServiceUnavailable, id)
			return
		}
		u.run(w, id)
	})
	r := newResendRelay(t, u)
	var sentAt []time.Duration
	r.config.Observe = func(_ topology.Upstream, _ topology.Statement, at time.Duration, _ string) {
		sentAt = append(sentAt, at)
	}
	sendOnce(t, r, u, "/p/", "r1", http.StatusOK)
	if len(sentAt) != 2 || sentAt[0] != 0 || sentAt[1] == 0 {
		t.Errorf("sent at %v, want an unknown time for the refusal and a known one for the answer", sentAt)
	}
}

// A refusal without an identifier belongs to any request that its connection
// has carried.
// An upstream may write an earlier refusal once more on any connection that it keeps, before it
// runs the request that is sent again there.
func TestRepeatedRefusalOnAnotherKeptConnectionIsNotBelieved(t *testing.T) {
	for _, path := range []string{"/p/", "/s/"} {
		t.Run(path, func(t *testing.T) {
			var refused atomic.Bool
			var earlier sync.WaitGroup
			earlier.Add(2)
			u := startRawUpstream(t, func(u *rawUpstream, w io.Writer, conn, nth int, id string) {
				switch {
				case nth == 1 && conn <= 2:
					earlier.Done()
					earlier.Wait() // both connections are in use at once, and kept
					u.run(w, id)
				case !refused.Swap(true):
					refuse(w, http.StatusServiceUnavailable, id)
				case conn <= 2:
					refuse(w, http.StatusServiceUnavailable, id)
					u.run(w, id)
				default:
					u.run(w, id)
				}
			})
			r := newResendRelay(t, u)
			var group sync.WaitGroup
			for i := range 2 {
				group.Go(func() {
					request := httptest.NewRequest(http.MethodPost, path, strings.NewReader("tick"))
					request.Header.Set("Id", fmt.Sprint("earlier-", i))
					r.ServeHTTP(httptest.NewRecorder(), request)
				})
			}
			group.Wait()
			u.runs.Store(0)
			sendOnce(t, r, u, path, "r1", http.StatusOK)
		})
	}
}

func TestUnidentifiedRefusalOnReusedConnectionIsNotBelieved(t *testing.T) {
	u := startRawUpstream(t, func(u *rawUpstream, w io.Writer, conn, nth int, id string) {
		if conn == 1 && nth == 2 {
			refuse(w, http.StatusServiceUnavailable, "")
		}
		u.run(w, id)
	})
	r := newResendRelay(t, u)
	sendOnce(t, r, u, "/p/", "earlier", http.StatusOK)
	sendOnce(t, r, u, "/p/", "r1", http.StatusBadGateway)
}

func TestUnidentifiedRefusalOnNewConnectionIsBelieved(t *testing.T) {
	u := startRawUpstream(t, func(u *rawUpstream, w io.Writer, conn, _ int, id string) {
		if conn == 1 {
			refuse(w, http.StatusServiceUnavailable, "")
			return
		}
		u.run(w, id)
	})
	sendOnce(t, newResendRelay(t, u), u, "/p/", "r1", http.StatusOK)
}
