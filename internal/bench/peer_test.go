package bench

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/peer"
)

type echoMessage struct {
	Text string `cbor:"1,keyasint"`
}

func newTransport(b *testing.B, authority *fake.Authority, name string) *peer.Transport {
	b.Helper()
	certificate, err := authority.Issue(name, peer.ServerName)
	if err != nil {
		b.Fatal(err)
	}
	transport, err := peer.New(peer.Config{Listen: "127.0.0.1:0", TLS: peer.NewTLS(certificate, authority.Pool()), IdleTimeout: time.Minute})
	if err != nil {
		b.Fatal(err)
	}
	transport.Handle(peer.MethodStatus, func(_ context.Context, _ peer.Identity, s peer.Stream) {
		var m echoMessage
		if s.Recv(&m) == nil {
			_ = s.Send(m)
		}
	})
	if err := transport.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(transport.Stop)
	return transport
}

func exchange(ctx context.Context, from *peer.Transport, address string) error {
	s, err := from.Open(ctx, address, peer.MethodStatus)
	if err != nil {
		return err
	}
	defer s.Cancel()
	if err := s.Send(echoMessage{Text: "load"}); err != nil {
		return err
	}
	var m echoMessage
	return s.Recv(&m)
}

// BenchmarkConnections opens connections from one transport to many others. It
// reports the memory and the CPU time of a new connection, and the CPU time of a
// further exchange over it, each for both ends together.
func BenchmarkConnections(b *testing.B) {
	for _, peers := range []int{16, 32, 64, 128} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			for b.Loop() {
				measureConnections(b, peers)
			}
		})
	}
}

func measureConnections(b *testing.B, peers int) {
	authority, err := fake.NewAuthority()
	if err != nil {
		b.Fatal(err)
	}
	from := newTransport(b, authority, "from")
	others := make([]*peer.Transport, peers)
	for i := range others {
		others[i] = newTransport(b, authority, fmt.Sprintf("daemon-%03d", i))
	}
	exchangeWithAll := func() time.Duration {
		before := cpuTime(b)
		for _, o := range others {
			if err := exchange(b.Context(), from, o.Address()); err != nil {
				b.Fatal(err)
			}
		}
		return cpuTime(b) - before
	}
	memory := memoryInUse()
	handshakeCPU := exchangeWithAll()
	memory = memoryInUse() - memory
	const rounds = 10
	var exchangeCPU time.Duration
	for range rounds {
		exchangeCPU += exchangeWithAll()
	}
	b.ReportMetric(memory/float64(peers), "B/connection")
	b.ReportMetric(float64(handshakeCPU.Microseconds())/float64(peers), "cpu-µs/handshake")
	b.ReportMetric(float64(exchangeCPU.Microseconds())/float64(peers*rounds), "cpu-µs/exchange")
}
