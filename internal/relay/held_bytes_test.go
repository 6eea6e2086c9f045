package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/barleylift/barleylift/internal/hop"
	"github.com/barleylift/barleylift/internal/topology"
	"golang.org/x/sync/semaphore"
)

// pipePools connects to an upstream by pipes, whose writes end when they are read.
type pipePools struct {
	upstream *rawUpstream
	dials    atomic.Int64
}

func (p *pipePools) RequestPool(upstream topology.Upstream) *hop.Pool {
	return hop.NewPool(upstream.Address, p.dial, nil, 0)
}

func (p *pipePools) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	near, far := net.Pipe()
	go p.upstream.serve(far, int(p.dials.Add(1)))
	return near, nil
}

// Answers that begin with many bytes and never end took memory for each request, and the process with all of them.
func TestUnfinishedAnswersTogetherTakeBoundedMemory(t *testing.T) {
	const (
		requests      = 300
		begun         = 200 << 10 // bytes of each answer
		maxHeld       = 8 << 20
		maxHeapGrowth = 40 << 20
	)
	for path, begin := range map[string]string{"/s/": "data: ", "/p/": ""} {
		t.Run(path, func(t *testing.T) {
			var sent sync.WaitGroup
			sent.Add(requests)
			var over atomic.Bool
			u := startRawUpstream(t, func(_ *rawUpstream, w io.Writer, _, _ int, id string) {
				if over.Load() {
					return
				}
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, 1<<20, begin)
				// An error means that the relay has given the answer up.
				_, _ = io.WriteString(w, strings.Repeat("x", begun))
				sent.Done()
			})
			r := newResendRelay(t, u)
			r.config.Pools = &pipePools{upstream: u}
			r.held = semaphore.NewWeighted(maxHeld)
			runtime.GC()
			before := heapInUse()
			ctx, cancel := context.WithCancel(t.Context())
			var group sync.WaitGroup
			for n := range requests {
				group.Go(func() {
					defer func() { _ = recover() }() // the connection to the caller is closed
					request := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader("tick"))
					request.Header.Set("Id", fmt.Sprint("r", n))
					r.ServeHTTP(&discardingWriter{ResponseRecorder: httptest.NewRecorder()}, request)
				})
			}
			sent.Wait()
			runtime.GC()
			grown := heapInUse() - before
			over.Store(true)
			cancel()
			group.Wait()
			if grown > maxHeapGrowth {
				t.Errorf("the heap has grown by %d MB, want %d at most", grown>>20, maxHeapGrowth>>20)
			}
		})
	}
}

// An answer that is longer than what may be held is forwarded as it arrives, and gives its room back.
func TestLongAnswerNeedsNoRoom(t *testing.T) {
	const length = 100 << 10
	u := startRawUpstream(t, func(_ *rawUpstream, w io.Writer, _, _ int, id string) {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, length, strings.Repeat("x", length))
	})
	r := newResendRelay(t, u)
	for name, room := range map[string]int64{"room for all of it": length, "room for a part": length / 10, "no room": 0} {
		r.held = semaphore.NewWeighted(room)
		request := httptest.NewRequest(http.MethodPost, "/p/", strings.NewReader("tick"))
		request.Header.Set("Id", "r1")
		recorder := httptest.NewRecorder()
		r.ServeHTTP(recorder, request)
		if recorder.Code != http.StatusOK || recorder.Body.Len() != length {
			t.Errorf("%s: status %d, %d bytes, want 200 and %d", name, recorder.Code, recorder.Body.Len(), length)
		}
		if !r.held.TryAcquire(room) {
			t.Errorf("%s: room is not given back", name)
		}
	}
}
