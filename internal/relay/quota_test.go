package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/quota"
)

// fixedQuotas gives all requests one decision, and counts.
type fixedQuotas struct {
	decision           quota.Decision
	acquired, returned atomic.Int64
}

func (q *fixedQuotas) Acquire(context.Context, string, int64, int) quota.Decision {
	q.acquired.Add(1)
	return q.decision
}

func (q *fixedQuotas) Return(string, int64, quota.Decision) { q.returned.Add(1) }

// refuseAsNotRun answers as an upstream that does not run requests.
func refuseAsNotRun(_ *rawUpstream, w io.Writer, _, _ int, id string) {
	fmt.Fprintf(w, "HTTP/1.1 503 Unavailable\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
}

// refuseOverQuota answers as a VM at which the customer is over its quota.
func refuseOverQuota(_ *rawUpstream, w io.Writer, _, _ int, id string) {
	fmt.Fprintf(w, "HTTP/1.1 429 Too Many Requests\r\nId: %s\r\n%s: 700\r\nContent-Length: 0\r\n\r\n", id, headerOverQuota)
}

// quotaProtocol takes 429 as a promise that the request has not run, as callers do.
type quotaProtocol struct{ passOnProtocol }

func (quotaProtocol) DecodeResponseHead(status int, header http.Header) ResponseHead {
	head := passOnProtocol{}.DecodeResponseHead(status, header)
	head.Signed = status != http.StatusTooManyRequests
	head.StatusImpliesNotRun = head.StatusImpliesNotRun || status == http.StatusTooManyRequests
	return head
}

// A request must take its tokens once, on the VM that sends it to upstreams, and give them back
// only if it has certainly not run. One without tokens must reach no upstream.
func TestRequestsTakeTheirTokensOnce(t *testing.T) {
	admitted := quota.Decision{Outcome: quota.Admitted}
	tests := []struct {
		name               string
		decision           quota.Decision
		serve              func(*rawUpstream, io.Writer, int, int, string)
		cutOff             bool
		passedOn           bool
		path               string
		status             int
		retryAfter         time.Duration
		acquired, returned int64
		runs               int64
	}{
		{name: "served", decision: admitted, serve: serveUpstream, path: "/p/", status: 200, acquired: 1, runs: 1},
		{name: "model request served", decision: admitted, serve: serveUpstream, path: "/s/", status: 200, acquired: 1, runs: 1},
		{name: "not run", decision: admitted, serve: refuseAsNotRun, path: "/p/", status: 503, retryAfter: retryAfterBusy, acquired: 1, returned: 1},
		{name: "over the quota", decision: quota.Decision{Outcome: quota.OverQuota, RetryAfter: time.Second}, serve: serveUpstream, path: "/p/", status: 429, retryAfter: time.Second, acquired: 1},
		{name: "model request over the quota", decision: quota.Decision{Outcome: quota.OverQuota, RetryAfter: time.Second}, serve: serveUpstream, path: "/s/", status: 429, retryAfter: time.Second, acquired: 1},
		{name: "undecided", decision: quota.Decision{Outcome: quota.Undecided, RetryAfter: 300 * time.Millisecond}, serve: serveUpstream, path: "/p/", status: 503, retryAfter: 300 * time.Millisecond, acquired: 1},
		{name: "passed on and served there", decision: admitted, serve: serveUpstream, cutOff: true, path: "/p/", status: 200, runs: 1},
		{name: "passed on and over the quota there", decision: admitted, serve: refuseOverQuota, cutOff: true, path: "/p/", status: 429, retryAfter: 700 * time.Millisecond},
		{name: "another VM's request", decision: admitted, serve: serveUpstream, passedOn: true, path: "/p/", status: 200, acquired: 1, runs: 1},
		{name: "public route without a key", decision: quota.Decision{Outcome: quota.OverQuota}, serve: serveUpstream, path: "/open/", status: 200, runs: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			u := startRawUpstream(t, test.serve)
			r := newResendRelay(t, u)
			r.SetTable(keyedTable(t))
			quotas, peers := &fixedQuotas{decision: test.decision}, &otherVMs{}
			r.config.Quotas, r.config.Peers, r.config.Protocol = quotas, peers, quotaProtocol{}
			if test.cutOff {
				peers.cutOff.Store(true)
				peers.vms = []*rawUpstream{u}
			}
			request := keyedRequest(test.path, strings.NewReader("body"))
			if test.path == "/open/" {
				request.Header.Del("Authorization")
			}
			w := httptest.NewRecorder()
			r.serve(w, request, test.passedOn)
			if w.Code != test.status || u.runs.Load() != test.runs {
				t.Errorf("status %d with %d runs, want %d with %d", w.Code, u.runs.Load(), test.status, test.runs)
			}
			if quotas.acquired.Load() != test.acquired || quotas.returned.Load() != test.returned {
				t.Errorf("tokens taken %d times and returned %d times, want %d and %d", quotas.acquired.Load(), quotas.returned.Load(), test.acquired, test.returned)
			}
			if after := w.Header().Get("Retry-After"); test.retryAfter > 0 && after != test.retryAfter.String() {
				t.Errorf("Retry-After %q, want %v", after, test.retryAfter)
			}
		})
	}
}

// A request whose tokens were taken long ago, before its VM was frozen, must not be sent on them:
// the customer may have used the limit of this window elsewhere.
func TestOldTokensAreTakenAnew(t *testing.T) {
	u := startRawUpstream(t, serveUpstream)
	r := newResendRelay(t, u)
	r.SetTable(keyedTable(t))
	quotas := &fixedQuotas{decision: quota.Decision{Outcome: quota.Admitted}}
	r.config.Quotas = quotas
	e := &exchange{relay: r, tokens: &takenTokens{"c", quotas.decision, clock.Boot() - maxTokensAge - time.Second}}
	if !e.tokensAreOld() {
		t.Error("tokens of before a freeze count")
	}
	e.possibleRuns = 1
	if e.tokensAreOld() {
		t.Error("a request that may have run takes its tokens again")
	}
}
