package catalog

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/metrics"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/peer"
	"github.com/prometheus/client_golang/prometheus"
)

// network connects stores by in-memory streams. Messages are encoded, so the
// counted bytes are those that a real stream would carry.
type network struct {
	mu      sync.Mutex
	stores  map[string]*Store
	members []ownership.Member
	blocked func(from, to string) bool
	bytes   atomic.Int64
	metrics map[string]*prometheus.Registry
}

// regressions returns the value of a daemon's regression counter.
func (net *network) regressions(t testing.TB, name string) float64 {
	t.Helper()
	families, err := net.metrics[name].Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == "barleylift_configuration_regressions_total" {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	t.Fatal("no counter of regressions")
	return 0
}

var errUnreachable = errors.New("unreachable")

// caller is the peer.Caller of one daemon.
type caller struct {
	net  *network
	self string
}

func (c caller) Open(ctx context.Context, address string, method peer.Method) (peer.Stream, error) {
	c.net.mu.Lock()
	to, blocked := c.net.stores[address], c.net.blocked
	c.net.mu.Unlock()
	if to == nil || method != peer.MethodConfiguration || (blocked != nil && blocked(c.self, address)) {
		return nil, errUnreachable
	}
	toFar, toNear := make(chan []byte, 512), make(chan []byte, 512)
	ctx, cancel := context.WithCancel(ctx)
	near := &stream{ctx: ctx, cancel: cancel, in: toNear, out: toFar, bytes: &c.net.bytes}
	far := &stream{ctx: ctx, cancel: cancel, in: toFar, out: toNear, bytes: &c.net.bytes}
	go to.Handler()(ctx, peer.Identity{Name: c.self}, far)
	return near, nil
}

type stream struct {
	ctx     context.Context
	cancel  context.CancelFunc
	in, out chan []byte
	bytes   *atomic.Int64
	closing sync.Once
}

func (s *stream) Send(message any) error {
	data, err := encMode.Marshal(message)
	if err != nil {
		return err
	}
	s.bytes.Add(int64(len(data)))
	select {
	case s.out <- data:
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

func (s *stream) Recv(message any) error {
	select {
	case data, open := <-s.in:
		if !open {
			return io.EOF
		}
		return decMode.Unmarshal(data, message)
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

func (s *stream) CloseSend() error {
	s.closing.Do(func() { close(s.out) })
	return nil
}

func (s *stream) Cancel() { s.cancel() }

// regionOf distributes daemons over the target's four regions.
func regionOf(i int) string { return fmt.Sprintf("r%d", i%4) }

// newNetwork returns n stores that are members of one fleet. kv returns the
// key-value service of the daemon with the given index.
func newNetwork(t testing.TB, n int, kv func(i int) infra.KV) *network {
	t.Helper()
	net := &network{stores: make(map[string]*Store), metrics: make(map[string]*prometheus.Registry)}
	for i := range n {
		name := fmt.Sprintf("d%03d", i)
		net.members = append(net.members, ownership.Member{Name: name, PeerAddress: name, Region: regionOf(i)})
	}
	for i, m := range net.members {
		net.stores[m.Name] = net.newStore(t, m.Name, kv(i))
	}
	return net
}

func (net *network) newStore(t testing.TB, name string, kv infra.KV) *Store {
	t.Helper()
	net.metrics[name] = prometheus.NewRegistry()
	store, err := NewStore(StoreConfig{
		KV: kv, Caller: caller{net, name}, Self: name, StaleBound: testStaleBound,
		Members: func() []ownership.Member { return append([]ownership.Member(nil), net.members...) },
		Metrics: metrics.New(net.metrics[name]), Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	return store
}

func (net *network) start(ctx context.Context) {
	for _, s := range net.stores {
		s.Start(ctx)
	}
}

func (net *network) stop() {
	for _, s := range net.stores {
		s.Stop()
	}
}

// countNotAt returns the number of stores with another generation in force.
func (net *network) countNotAt(generation uint64) int {
	n := 0
	for _, s := range net.stores {
		if s.Generation() != generation {
			n++
		}
	}
	return n
}

// isolateRegions blocks streams between daemons of different regions.
func (net *network) isolateRegions() {
	regions := make(map[string]string)
	for _, m := range net.members {
		regions[m.Name] = m.Region
	}
	net.mu.Lock()
	defer net.mu.Unlock()
	net.blocked = func(from, to string) bool { return regions[from] != regions[to] }
}
