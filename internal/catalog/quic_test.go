package catalog

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"

	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/metrics"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/peer"
	"github.com/prometheus/client_golang/prometheus"
)

// udpHeader is the size of the IPv4 and UDP headers of a packet, in bytes.
const udpHeader = 28

// relay forwards UDP packets between one client and a server and counts bytes.
type relay struct {
	clientSide *net.UDPConn
	serverSide *net.UDPConn
	client     atomic.Pointer[net.UDPAddr]
	bytes      atomic.Int64
}

func newRelay(t testing.TB, server string) *relay {
	t.Helper()
	to, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		t.Fatal(err)
	}
	clientSide, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	serverSide, err := net.DialUDP("udp", nil, to)
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{clientSide: clientSide, serverSide: serverSide}
	t.Cleanup(func() { clientSide.Close(); serverSide.Close() })
	go r.forward()
	go r.backward()
	return r
}

func (r *relay) forward() {
	buffer := make([]byte, 1<<16)
	for {
		n, from, err := r.clientSide.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		r.client.Store(from)
		r.bytes.Add(int64(n + udpHeader))
		_, _ = r.serverSide.Write(buffer[:n])
	}
}

func (r *relay) backward() {
	buffer := make([]byte, 1<<16)
	for {
		n, err := r.serverSide.Read(buffer)
		if err != nil {
			return
		}
		r.bytes.Add(int64(n + udpHeader))
		_, _ = r.clientSide.WriteToUDP(buffer[:n], r.client.Load())
	}
}

// quicStore returns a store and its own started transport.
func quicStore(t testing.TB, authority *fake.Authority, name string, kv infra.KV, members func() []ownership.Member) (*Store, *peer.Transport) {
	t.Helper()
	certificate, err := authority.Issue(name, peer.ServerName)
	if err != nil {
		t.Fatal(err)
	}
	transport, err := peer.New(peer.Config{Listen: "127.0.0.1:0", TLS: peer.NewTLS(certificate, authority.Pool())})
	if err != nil {
		t.Fatal(err)
	}
	store, err := NewStore(StoreConfig{
		KV: kv, Caller: transport, Self: name, StaleBound: testStaleBound, Members: members,
		Metrics: metrics.New(prometheus.NewRegistry()), Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	transport.Handle(peer.MethodConfiguration, store.Handler())
	if err := transport.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(transport.Stop)
	return store, transport
}

// quicPair returns two started stores, of which only the first can reach the
// service, and the relay between the second and the first.
func quicPair(t testing.TB, contents Contents) (kv *fake.KV, first, second *Store, between *relay) {
	t.Helper()
	authority, err := fake.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	kv = fake.NewKV()
	mustApply(t, kv, contents)
	var members atomic.Pointer[[]ownership.Member]
	members.Store(&[]ownership.Member{})
	memberList := func() []ownership.Member { return append([]ownership.Member(nil), *members.Load()...) }
	down := fake.NewKV()
	down.SetDown(true)
	first, firstTransport := quicStore(t, authority, "first", kv, memberList)
	second, secondTransport := quicStore(t, authority, "second", down, memberList)
	between = newRelay(t, firstTransport.Address())
	members.Store(&[]ownership.Member{
		{Name: "first", PeerAddress: between.clientSide.LocalAddr().String()},
		{Name: "second", PeerAddress: secondTransport.Address()},
	})
	ctx, cancel := context.WithCancel(context.Background())
	first.Start(ctx)
	<-first.Ready()
	second.Start(ctx)
	<-second.Ready()
	t.Cleanup(func() { cancel(); first.Stop(); second.Stop() })
	return kv, first, second, between
}

func TestGenerationsAreTransferredOverQUIC(t *testing.T) {
	kv, _, second, _ := quicPair(t, sampleContents(targetAdapters))
	if n := len(second.Current().Adapters); n != targetAdapters {
		t.Fatalf("%d adapters were transferred", n)
	}
	adopted := make(chan uint64, 4)
	second.Subscribe(func(s *Snapshot) { adopted <- s.Generation })
	mustApply(t, kv, sampleContents(10))
	for generation := range adopted {
		if generation == 2 {
			break
		}
	}
}

// BenchmarkExchangeOverQUIC measures the bytes on the wire, including packet
// headers, of an exchange on an open connection, and of the join before it: a
// connection and two exchanges that transfer a small configuration.
func BenchmarkExchangeOverQUIC(b *testing.B) {
	_, first, second, between := quicPair(b, sampleContents(10))
	join := between.bytes.Load()
	member := ownership.Member{Name: "first", PeerAddress: between.clientSide.LocalAddr().String()}
	ctx := context.Background()
	if !second.exchangeWith(ctx, member) || first.Generation() != second.Generation() {
		b.Fatal("no exchange")
	}
	before, rounds := between.bytes.Load(), 0
	b.ReportAllocs()
	for b.Loop() {
		if !second.exchangeWith(ctx, member) {
			b.Fatal("no exchange")
		}
		rounds++
	}
	b.ReportMetric(float64(between.bytes.Load()-before)/float64(rounds), "wire-bytes/exchange")
	b.ReportMetric(float64(join), "wire-bytes/join")
}
