package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/hop"
	"github.com/barleylift/barleylift/internal/quarantine"
	"github.com/barleylift/barleylift/internal/topology"
)

// gatedPools opens connections only once release is closed.
type gatedPools struct {
	dialing, release chan struct{}
}

func (p *gatedPools) RequestPool(upstream topology.Upstream) *hop.Pool {
	return hop.NewPool(upstream.Address, p.dial, nil, 0)
}

func (p *gatedPools) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	p.dialing <- struct{}{}
	<-p.release
	return hop.Dial(ctx, address)
}

// blockable blocks all requests once isBlocked is set. It cancels none.
type blockable struct {
	noQuarantine
	isBlocked atomic.Bool
}

func (b *blockable) Recheck(request quarantine.Request, _ quarantine.Verdict) quarantine.Verdict {
	return quarantine.Verdict{Blocked: b.isBlocked.Load(), Key: quarantine.RequestKey(request.Fingerprint)}
}

// A request that waits for a connection is not sent to an upstream that has asked for a
// pause or leaves meanwhile, nor to any if it is blocked.
func TestRequestThatWaitsForAConnectionKeepsToWhatTheUpstreamSays(t *testing.T) {
	said := map[string]func(r *Relay, u topology.Upstream){
		"pause": func(r *Relay, u topology.Upstream) { r.config.Locator.RecordPause(u.ID, u.Incarnation, time.Hour) },
		"leaves": func(r *Relay, u topology.Upstream) {
			u.Leaving = true
			r.config.Locator.SetUpstream(u)
		},
		"block": func(r *Relay, _ topology.Upstream) { r.config.Quarantine.(*blockable).isBlocked.Store(true) },
	}
	for name, say := range said {
		for path, service := range map[string]string{"/p/": "api", "/s/": "lm"} {
			t.Run(name+" "+service, func(t *testing.T) {
				u := startRawUpstream(t, func(u *rawUpstream, w io.Writer, _, _ int, id string) { u.run(w, id) })
				r := newResendRelay(t, u)
				pools := &gatedPools{dialing: make(chan struct{}), release: make(chan struct{})}
				r.config.Pools, r.config.Quarantine = pools, &blockable{}
				request := httptest.NewRequest(http.MethodPost, path, strings.NewReader("body"))
				request.Header.Set("Id", "r1")
				w := httptest.NewRecorder()
				ended := make(chan struct{})
				go func() {
					r.ServeHTTP(w, request)
					close(ended)
				}()
				<-pools.dialing
				upstream := u.upstream(service)
				if service == "lm" {
					upstream.ID = "e"
				}
				say(r, upstream)
				close(pools.release)
				<-ended
				if n := u.runs.Load(); n != 0 || w.Code != http.StatusServiceUnavailable {
					t.Errorf("%d requests reached the upstream, status %d", n, w.Code)
				}
			})
		}
	}
}
