package relay

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/barleylift/barleylift/internal/hop"
	"github.com/barleylift/barleylift/internal/quarantine"
)

// otherVMs are VMs, in the order in which they are chosen, of a fleet whose own VM reaches no
// upstream.
type otherVMs struct {
	vms    []*rawUpstream
	cutOff atomic.Bool
}

func (o *otherVMs) CutOff() bool { return o.cutOff.Load() }

func (o *otherVMs) ChooseVM(except []string) (string, *hop.Pool, bool) {
	if len(except) >= len(o.vms) {
		return "", nil, false
	}
	u := o.vms[len(except)]
	return fmt.Sprint("vm-", len(except)), hop.NewPool(netip.MustParseAddrPort(u.listener.Addr().String()), hop.Dial, nil, 0), true
}

// passOnProtocol tells upstreams' answers from those of VMs.
type passOnProtocol struct{ resumeProtocol }

func (passOnProtocol) PassOnHeader(call *Call, params PassOnParams) http.Header {
	return http.Header{"Id": {call.ID}, "After": {params.LastEventID}, "First-Try": {params.FirstTry}}
}

func (passOnProtocol) DecodeResponseHead(status int, header http.Header) ResponseHead {
	head := headerProtocol{}.DecodeResponseHead(status, header)
	head.Signed = header.Get("Signed") != ""
	head.StatusImpliesNotRun = status == http.StatusServiceUnavailable
	return head
}

// A VM that reaches no upstream passes a request on to others, until one has it or may have
// run it.
func TestRequestIsPassedOnWhileNoUpstreamIsReachable(t *testing.T) {
	answer := func(status, header, body string) func(*rawUpstream, io.Writer, int, int, string) {
		return func(u *rawUpstream, w io.Writer, _, _ int, id string) {
			u.runs.Add(1)
			fmt.Fprintf(w, "HTTP/1.1 %s\r\nId: %s\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, id, header, len(body), body)
		}
	}
	hangUp := func(u *rawUpstream, w io.Writer, _, _ int, _ string) {
		u.runs.Add(1)
		if c, ok := w.(io.Closer); ok {
			c.Close()
		}
	}
	type vm = func(*rawUpstream, io.Writer, int, int, string)
	served := answer("200 OK", "Signed: 1\r\n", "ok")
	unreachable := answer("503 Busy", headerUnreachable+": 1\r\n", "")
	tests := []struct {
		name   string
		vms    []vm
		status int
		body   string
		// sends is the number of requests to each VM.
		sends []int64
	}{
		{"served", []vm{served, served}, http.StatusOK, "ok", []int64{1, 0}},
		{"the first is cut off too", []vm{unreachable, served}, http.StatusOK, "ok", []int64{1, 1}},
		{"refused", []vm{answer("503 Busy", "", ""), served}, http.StatusServiceUnavailable, "", []int64{1, 0}},
		{"may have run", []vm{hangUp, served}, http.StatusBadGateway, "", []int64{1, 0}},
		{"outcome unknown to the VM", []vm{answer("502 Bad Gateway", "", "unknown"), served}, http.StatusBadGateway, "unknown", []int64{1, 0}},
		{"failure of the upstream", []vm{answer("500 Failed", "Signed: 1\r\n", "sorry")}, http.StatusInternalServerError, "sorry", []int64{1}},
		{"answer without a signature", []vm{answer("200 OK", "", "ok")}, http.StatusBadGateway, "", []int64{1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			own := startRawUpstream(t, func(u *rawUpstream, w io.Writer, _, _ int, id string) { u.run(w, id) })
			r := newResendRelay(t, own)
			peers := &otherVMs{}
			peers.cutOff.Store(true)
			for _, respond := range test.vms {
				peers.vms = append(peers.vms, startRawUpstream(t, respond))
			}
			r.config.Peers, r.config.Protocol = peers, passOnProtocol{}
			request := httptest.NewRequest(http.MethodPost, "/p/", strings.NewReader("tick"))
			request.Header.Set("Id", "r1")
			w := httptest.NewRecorder()
			r.ServeHTTP(w, request)
			if w.Code != test.status || test.body != "" && w.Body.String() != test.body {
				t.Errorf("status %d, %q; want %d, %q", w.Code, w.Body, test.status, test.body)
			}
			for i, want := range test.sends {
				if got := peers.vms[i].runs.Load(); got != want {
					t.Errorf("VM %d got %d requests, want %d", i, got, want)
				}
			}
			if own.runs.Load() > 0 {
				t.Error("the request was sent to an upstream too")
			}
		})
	}
}

// A request is passed on once: the VM that gets it and is cut off too refuses it.
func TestPassedOnRequestIsNotPassedOnAgain(t *testing.T) {
	r := newResendRelay(t, startRawUpstream(t, func(u *rawUpstream, w io.Writer, _, _ int, id string) { u.run(w, id) }))
	third := startRawUpstream(t, func(u *rawUpstream, w io.Writer, _, _ int, id string) { u.run(w, id) })
	peers := &otherVMs{vms: []*rawUpstream{third}}
	r.config.Peers, r.config.Protocol = peers, passOnProtocol{}
	for _, cutOff := range []bool{true, false} {
		peers.cutOff.Store(cutOff)
		request := httptest.NewRequest(http.MethodPost, "/p/", strings.NewReader("tick"))
		request.Header.Set("Id", "r1")
		w := httptest.NewRecorder()
		r.ServePassedOn(w, request)
		if refused := w.Code == http.StatusServiceUnavailable && w.Header().Get(headerUnreachable) != ""; refused != cutOff {
			t.Errorf("cut off %t: status %d, header %q", cutOff, w.Code, w.Header())
		}
	}
	if third.runs.Load() > 0 {
		t.Error("the request was passed on a second time")
	}
}

// A request counts once for the retry budget, at the VM that sends it, however many VMs are
// asked for it.
func TestPassedOnRequestCountsOnceForTheRetryBudget(t *testing.T) {
	tests := []struct {
		name             string
		passedOn, cutOff bool
		want             int
	}{
		{"own caller's", false, false, 1},
		{"own caller's, passed on", false, true, 0},
		{"another VM's, sent", true, false, 1},
		{"another VM's, refused", true, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newResendRelay(t, startRawUpstream(t, serveUpstream))
			peers := &otherVMs{vms: []*rawUpstream{startRawUpstream(t, serveUpstream)}}
			peers.cutOff.Store(test.cutOff)
			r.config.Peers, r.config.Protocol = peers, passOnProtocol{}
			r.serve(httptest.NewRecorder(), keyedRequest("/p/", strings.NewReader("tick")), test.passedOn)
			if got := r.config.Budget("api").Usage(r.config.Now()).Deposits; got != test.want {
				t.Errorf("counted %d times, want %d", got, test.want)
			}
		})
	}
}

// losingProof is lost when an upstream has answered.
type losingProof struct{ upstream *rawUpstream }

func (p *losingProof) KeysUsable() bool { return p.upstream.runs.Load() == 0 }

// A VM that has sent another VM's request to an upstream must not leave it to a third one:
// nobody would count the third one's send as a repeated one.
func TestPassedOnRequestThatWasSentIsNotLeftToAThirdVM(t *testing.T) {
	upstream := startRawUpstream(t, func(u *rawUpstream, w io.Writer, _, _ int, id string) {
		u.runs.Add(1)
		refuse(w, http.StatusServiceUnavailable, id)
	})
	r := newResendRelay(t, upstream)
	r.SetTable(keyedTable(t))
	r.config.Protocol, r.config.Freshness = passOnProtocol{}, &losingProof{upstream}
	w := httptest.NewRecorder()
	r.serve(w, keyedRequest("/p/", strings.NewReader("tick")), true)
	if upstream.runs.Load() != 1 || w.Code != http.StatusServiceUnavailable {
		t.Fatalf("status %d after %d sends, want a refusal after one", w.Code, upstream.runs.Load())
	}
	if w.Header().Get(headerUnreachable) != "" {
		t.Error("the refusal says that another VM may serve the request")
	}
}

// answerCounter counts the answers that are reported as engines'.
type answerCounter struct {
	noQuarantine
	answers atomic.Int64
}

func (c *answerCounter) EngineAnswered(string, quarantine.Request) {
	c.answers.Add(1)
}

// What another VM answers shows nothing of an engine to this one: it may say that engines
// have ended under the request.
func TestAnswersOfOtherVMsClearNoPromptPart(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 502 Bad Gateway\r\nId: r1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: r1\r\nSigned: 1\r\nContent-Length: 15\r\n\r\nid: 1\ndata: x\n\n",
	} {
		r := newResendRelay(t, startRawUpstream(t, func(u *rawUpstream, w io.Writer, _, _ int, id string) { u.run(w, id) }))
		peers := &otherVMs{vms: []*rawUpstream{startRawUpstream(t, func(_ *rawUpstream, w io.Writer, _, _ int, _ string) { fmt.Fprint(w, answer) })}}
		peers.cutOff.Store(true)
		counter := &answerCounter{}
		r.config.Peers, r.config.Protocol, r.config.Quarantine = peers, passOnProtocol{}, counter
		request := httptest.NewRequest(http.MethodPost, "/s/", strings.NewReader("notes"))
		request.Header.Set("Id", "r1")
		r.ServeHTTP(httptest.NewRecorder(), request)
		if n := counter.answers.Load(); n > 0 {
			t.Errorf("%d answers of engines for %.20q", n, answer)
		}
	}
}
