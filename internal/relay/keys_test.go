package relay

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/locator"
	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/routing"
)

// keyProtocol reads API keys and keeps what is sent.
type keyProtocol struct {
	passOnProtocol
	mu   sync.Mutex // guards sent
	sent []SendParams
}

func (*keyProtocol) DecodeRequest(r *http.Request) (*Call, error) {
	call, err := headerProtocol{}.DecodeRequest(r)
	call.Key = Secret(r.Header.Get("Key"))
	return call, err
}

func (p *keyProtocol) RequestHeader(call *Call, params SendParams) http.Header {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = append(p.sent, params)
	return http.Header{"Id": {call.ID}}
}

func (p *keyProtocol) DecodeResponseHead(status int, header http.Header) ResponseHead {
	head := headerProtocol{}.DecodeResponseHead(status, header)
	if status >= 400 {
		head.Signed = false
	}
	head.StatusImpliesNotRun = status == http.StatusServiceUnavailable
	return head
}

// lastSent returns what was added to the request when it was sent last.
func (p *keyProtocol) lastSent() SendParams {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.sent) == 0 {
		return SendParams{}
	}
	return p.sent[len(p.sent)-1]
}

// keyTable returns a table that requires API keys, with the customer acme and its key k1.
func keyTable(t *testing.T, version int64, change func(*routing.Config)) *routing.Table {
	t.Helper()
	config := routing.Config{
		Version: version, RequiresKeys: true,
		Customers: []routing.Customer{{Name: "acme", Keys: []string{"k1"}}},
		Services:  []routing.Service{{Name: "lm", Engines: &routing.EngineSpec{}}, {Name: "api"}},
	}
	add := func(name string, kind routing.Kind, service string) {
		config.Routes = append(config.Routes, routing.Route{
			Name: name, Host: "gym.example", Prefix: "/" + name + "/", Kind: kind, Timeout: time.Minute, Priority: 5,
			LatencyObjective: 200 * time.Millisecond, Shares: []routing.Share{{Service: service, Weight: 1}}, MaxAttempts: 3,
		})
	}
	add("s", routing.Streaming, "lm")
	add("p", routing.Unsafe, "api")
	add("safe", routing.Safe, "api")
	if change != nil {
		change(&config)
	}
	table, err := routing.NewTable(config)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func noKeys(c *routing.Config)        { c.Customers[0].Keys = nil }
func keysUnchecked(c *routing.Config) { c.RequiresKeys, c.Customers = false, nil }
func allPublic(c *routing.Config) {
	for i := range c.Routes {
		c.Routes[i].Public = true
	}
}
func otherHolder(c *routing.Config) {
	noKeys(c)
	c.Customers = append(c.Customers, routing.Customer{Name: "b", Keys: []string{"k1"}})
}
func both(changes ...func(*routing.Config)) func(*routing.Config) {
	return func(c *routing.Config) {
		for _, change := range changes {
			change(c)
		}
	}
}

func requestWithKey(path, key string) *http.Request {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader("tick"))
	request.Header.Set("Id", "r1")
	request.Header.Set("Key", key)
	return request
}

// A request whose API key is revoked while it waits for a connection must not be sent. One
// that may run still must be sent with what the newest configuration says of its caller.
func TestKeyIsCheckedJustBeforeTheFirstByte(t *testing.T) {
	tests := []struct {
		name          string
		before, after func(*routing.Config)
		key           string
		status        int
		customer      string
		keysRequired  bool
	}{
		{"key kept", nil, func(c *routing.Config) { c.Customers[0].Keys = []string{"k2", "k1"} }, "k1", 200, "acme", true},
		{"key revoked", nil, noKeys, "k1", 401, "", true},
		{"customer removed", nil, func(c *routing.Config) { c.Customers = nil }, "k1", 401, "", true},
		{"key given to another customer", nil, otherHolder, "k1", 401, "", true},
		{"key of a public route revoked", allPublic, both(allPublic, noKeys), "k1", 200, "", true},
		{"keys not required any more", nil, keysUnchecked, "k1", 200, "acme", true},
		{"public route without a key", allPublic, noKeys, "", 200, "", true},
		{"keys required meanwhile, known", keysUnchecked, nil, "k1", 200, "acme", true},
		{"keys required meanwhile, unknown", keysUnchecked, nil, "k9", 401, "", true},
		{"keys required meanwhile, public", keysUnchecked, allPublic, "k9", 200, "", true},
	}
	for _, test := range tests {
		for _, path := range []string{"/p/", "/s/"} {
			t.Run(test.name+path, func(t *testing.T) {
				u := startRawUpstream(t, func(u *rawUpstream, w io.Writer, _, _ int, id string) { u.run(w, id) })
				r := newResendRelay(t, u)
				protocol := &keyProtocol{}
				pools := &gatedPools{dialing: make(chan struct{}), release: make(chan struct{})}
				r.config.Pools, r.config.Protocol = pools, protocol
				r.SetTable(keyTable(t, 2, test.before))
				w := httptest.NewRecorder()
				ended := make(chan struct{})
				go func() {
					r.ServeHTTP(w, requestWithKey(path, test.key))
					close(ended)
				}()
				<-pools.dialing
				r.SetTable(keyTable(t, 3, test.after))
				close(pools.release)
				go func() {
					for range pools.dialing { // of a second send
					}
				}()
				<-ended
				runs := int64(0)
				if test.status == 200 {
					runs = 1
				}
				if u.runs.Load() != runs || w.Code != test.status {
					t.Errorf("%d runs, status %d; want %d, %d", u.runs.Load(), w.Code, runs, test.status)
				}
				if sent := protocol.lastSent(); runs > 0 && (sent.Customer != test.customer || sent.KeysRequired != test.keysRequired) {
					t.Errorf("sent as %q, keys required %t; want %q, %t", sent.Customer, sent.KeysRequired, test.customer, test.keysRequired)
				}
			})
		}
	}
}

// Guards against a request that waits for admission in vain, or is sent, after its key was
// revoked.
func TestKeyRevokedDuringAdmissionEndsTheRequest(t *testing.T) {
	u := startRawUpstream(t, func(u *rawUpstream, w io.Writer, _, _ int, id string) { u.run(w, id) })
	var r *Relay
	asked := 0
	r, engines := newTestRelay(t, func(l *locator.Locator, engine string, request locator.AdmissionRequest) bool {
		asked++
		r.SetTable(keyTable(t, 3, noKeys))
		l.HandleStatus(orders.AdmissionStatus{Engine: engine, Ticket: request.Ticket, Status: residency.Declined})
		return true
	})
	r.config.Protocol = &keyProtocol{}
	engines.SetUpstream(u.upstream("lm"))
	r.SetTable(keyTable(t, 2, nil))
	w := httptest.NewRecorder()
	r.ServeHTTP(w, requestWithKey("/s/", "k1"))
	if w.Code != http.StatusUnauthorized || asked != 1 || u.runs.Load() != 0 {
		t.Errorf("status %d after %d requests for admission and %d runs, want 401 after one and none", w.Code, asked, u.runs.Load())
	}
}

// A key that is revoked between two attempts ends the request: with 401 if nothing has run,
// and otherwise with a status that does not say so.
func TestKeyRevokedBetweenAttempts(t *testing.T) {
	tests := []struct {
		name    string
		respond func(w io.Writer, id string)
		status  int
	}{
		{"refused as not run", func(w io.Writer, id string) { refuse(w, http.StatusServiceUnavailable, id) }, http.StatusUnauthorized},
		{"may have run", func(w io.Writer, _ string) { _ = w.(io.Closer).Close() }, http.StatusBadGateway},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var r *Relay
			u := startRawUpstream(t, func(u *rawUpstream, w io.Writer, _, _ int, id string) {
				u.runs.Add(1)
				r.SetTable(keyTable(t, 3, noKeys))
				test.respond(w, id)
			})
			r = newResendRelay(t, u)
			r.config.Protocol = &keyProtocol{}
			r.SetTable(keyTable(t, 2, nil))
			w := httptest.NewRecorder()
			r.ServeHTTP(w, requestWithKey("/safe/", "k1"))
			if w.Code != test.status || u.runs.Load() != 1 {
				t.Errorf("status %d after %d sends, want %d after one", w.Code, u.runs.Load(), test.status)
			}
		})
	}
}

// The refusal of another VM ends a request unless that VM's configuration is older and may
// lack a new key.
func TestKeyRefusedByAnotherVM(t *testing.T) {
	refusal := func(version int) func(*rawUpstream, io.Writer, int, int, string) {
		return func(u *rawUpstream, w io.Writer, _, _ int, id string) {
			u.runs.Add(1)
			fmt.Fprintf(w, "HTTP/1.1 401 Unauthorized\r\nId: %s\r\n%s: %d\r\nContent-Length: 0\r\n\r\n", id, headerKeyRefused, version)
		}
	}
	serves := func(u *rawUpstream, w io.Writer, _, _ int, id string) { u.run(w, id) }
	tests := []struct {
		name   string
		first  func(*rawUpstream, io.Writer, int, int, string)
		status int
		sends  []int64
	}{
		{"older", refusal(1), http.StatusOK, []int64{1, 1}},
		{"same", refusal(2), http.StatusUnauthorized, []int64{1, 0}},
		{"newer", refusal(3), http.StatusUnauthorized, []int64{1, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newResendRelay(t, startRawUpstream(t, serves))
			peers := &otherVMs{vms: []*rawUpstream{startRawUpstream(t, test.first), startRawUpstream(t, serves)}}
			peers.cutOff.Store(true)
			r.config.Peers, r.config.Protocol = peers, &keyProtocol{}
			r.SetTable(keyTable(t, 2, nil))
			w := httptest.NewRecorder()
			r.ServeHTTP(w, requestWithKey("/p/", "k1"))
			sends := []int64{peers.vms[0].runs.Load(), peers.vms[1].runs.Load()}
			if w.Code != test.status || !slices.Equal(sends, test.sends) {
				t.Errorf("status %d after %v requests, want %d after %v", w.Code, sends, test.status, test.sends)
			}
			if shown := w.Header().Get(headerKeyRefused); shown != "" {
				t.Errorf("the caller sees the version %s of the refusal", shown)
			}
		})
	}
}

// A customer's priority must replace that of the route both in the wait for admission and at
// the engine, also if it is 0.
func TestCustomersPriorityReplacesTheRoutes(t *testing.T) {
	for _, test := range []struct {
		has  bool
		want int
	}{{false, 5}, {true, 0}} {
		u := startRawUpstream(t, func(u *rawUpstream, w io.Writer, _, _ int, id string) { u.run(w, id) })
		admission := -1
		r, engines := newTestRelay(t, func(l *locator.Locator, engine string, request locator.AdmissionRequest) bool {
			admission = request.Priority
			l.HandleStatus(orders.AdmissionStatus{Engine: engine, Ticket: request.Ticket, Status: residency.Ready})
			return true
		})
		protocol := &keyProtocol{}
		r.config.Protocol = protocol
		engines.SetUpstream(u.upstream("lm"))
		r.SetTable(keyTable(t, 2, func(c *routing.Config) { c.Customers[0].HasPriority = test.has }))
		w := httptest.NewRecorder()
		r.ServeHTTP(w, requestWithKey("/s/", "k1"))
		if sent := protocol.lastSent().Priority; w.Code != http.StatusOK || admission != test.want || sent != test.want {
			t.Errorf("status %d, priority %d for admission and %d at the engine, want %d", w.Code, admission, sent, test.want)
		}
	}
}

// Guards against requests that are counted for a quota by another number than their tokens.
func TestCost(t *testing.T) {
	tokens := routing.Quota{Tokens: true, PlainTokens: 300}
	tests := []struct {
		name  string
		usage TokenUsage
		quota routing.Quota
		want  int64
		err   error
	}{
		{"requests", TokenUsage{Stated: true, Tokens: 70}, routing.Quota{PlainTokens: 300}, 1, nil},
		{"requests, malformed usage", TokenUsage{Stated: true, Invalid: true}, routing.Quota{}, 1, nil},
		{"tokens", TokenUsage{Stated: true, Tokens: 70}, tokens, 70, nil},
		{"no tokens", TokenUsage{Stated: true}, tokens, 0, nil},
		{"not stated", TokenUsage{}, tokens, 300, nil},
		{"not stated, no default", TokenUsage{}, routing.Quota{Tokens: true}, 1, nil},
		{"malformed", TokenUsage{Stated: true, Invalid: true}, tokens, 0, errInvalidUsage},
	}
	for _, test := range tests {
		if got, err := test.usage.Cost(test.quota); got != test.want || err != test.err {
			t.Errorf("%s: %d, %v; want %d, %v", test.name, got, err, test.want, test.err)
		}
	}
}
