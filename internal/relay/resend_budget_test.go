package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/hop"
	"github.com/barleylift/barleylift/internal/limit"
	"github.com/barleylift/barleylift/internal/topology"
)

// secondDialWaits opens a new connection for each send, the second one only once release is
// closed.
type secondDialWaits struct {
	dials            atomic.Int64
	waiting, release chan struct{}
}

func (p *secondDialWaits) RequestPool(upstream topology.Upstream) *hop.Pool {
	return hop.NewPool(upstream.Address, p.dial, nil, 0)
}

func (p *secondDialWaits) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if p.dials.Add(1) == 2 {
		close(p.waiting)
		<-p.release
	}
	return hop.Dial(ctx, address)
}

// Repeated sends that wait, and those that are decided when they have waited for a window, don't
// arrive in one window.
func TestRepeatThatWaitsCountsForTheBudgetWhenItIsSent(t *testing.T) {
	var arrivals atomic.Int64
	u := startRawUpstream(t, func(_ *rawUpstream, w io.Writer, _, _ int, id string) {
		arrivals.Add(1)
		refuse(w, http.StatusServiceUnavailable, id)
	})
	r := newResendRelay(t, u)
	pools := &secondDialWaits{waiting: make(chan struct{}), release: make(chan struct{})}
	r.config.Pools = pools
	const window = 10 * time.Second
	budget, err := limit.NewRetryBudget(limit.RetryBudgetConfig{Window: window, MinRetries: 1})
	if err != nil {
		t.Fatal(err)
	}
	r.config.Budget = func(string) *limit.RetryBudget { return budget }
	var passed atomic.Int64
	r.config.Now = func() time.Time { return time.Unix(1000, passed.Load()) }
	send := func(id string) {
		request := httptest.NewRequest(http.MethodPost, "/p/", strings.NewReader("tick"))
		request.Header.Set("Id", id)
		r.ServeHTTP(httptest.NewRecorder(), request)
	}
	var early sync.WaitGroup
	early.Go(func() { send("early") })
	<-pools.waiting
	passed.Store(int64(window + window/5))
	send("late")
	close(pools.release)
	early.Wait()
	if repeats := arrivals.Load() - 2; repeats > 1 {
		t.Errorf("%d repeated sends arrived at once, 1 allowed in %v", repeats, window)
	}
}
