package bench

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/locate"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/peer"
	"github.com/barleylift/barleylift/internal/placement"
)

// region is a set of locators that exchange encoded messages in memory. Each
// daemon owns one engine.
type region struct {
	locators []*locate.Service
	// mu guards exchanges and messageBytes: several owners are queried at the same time.
	mu           sync.Mutex
	exchanges    map[peer.Method]int
	messageBytes int
}

func newRegion(b *testing.B, daemons, adapters int) *region {
	b.Helper()
	contents := catalog.Contents{Zones: []catalog.Zone{{Name: "z", Region: "r"}}}
	for i := range daemons {
		contents.Engines = append(contents.Engines, catalog.Engine{Name: fmt.Sprintf("engine-%04d", i), Zone: "z", BaseModel: "base"})
	}
	for i := range adapters {
		contents.Adapters = append(contents.Adapters, catalog.Adapter{Name: fmt.Sprintf("adapter-%05d", i), BaseModel: "base", Versions: []string{"v1"}})
	}
	snapshot := catalog.NewSnapshot(1, contents)
	r := &region{exchanges: make(map[peer.Method]int)}
	for i := range daemons {
		self := regionView{self: i}
		l, err := locate.New(locate.Config{
			Snapshot: func() *catalog.Snapshot { return snapshot },
			View:     self, Caller: r, Loads: self, Log: slog.New(slog.DiscardHandler),
		})
		if err != nil {
			b.Fatal(err)
		}
		r.locators = append(r.locators, l)
	}
	return r
}

// Open returns a stream to the daemon whose number is the address.
func (r *region) Open(_ context.Context, address string, method peer.Method) (peer.Stream, error) {
	var n int
	if _, err := fmt.Sscanf(address, "daemon-%d", &n); err != nil {
		return nil, err
	}
	return &memoryStream{region: r, to: r.locators[n], method: method}, nil
}

func (r *region) countExchanges(method peer.Method, exchanges, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exchanges[method] += exchanges
	r.messageBytes += bytes
}

// memoryStream is the caller's side of one exchange. The handler runs when the
// request is sent.
type memoryStream struct {
	region *region
	to     *locate.Service
	method peer.Method
	data   []byte
}

func (s *memoryStream) Send(message any) error {
	request, err := cbor.Marshal(message)
	if err != nil {
		return err
	}
	stream := &handlerStream{data: request}
	if s.method == peer.MethodLocate {
		s.to.ServeLocate(context.Background(), peer.Identity{}, stream)
	} else {
		s.to.ServeLoad(context.Background(), peer.Identity{}, stream)
	}
	s.data = stream.data
	s.region.countExchanges(s.method, 1, len(request)+len(stream.data))
	return nil
}

func (s *memoryStream) Recv(message any) error { return cbor.Unmarshal(s.data, message) }
func (s *memoryStream) CloseSend() error       { return nil }
func (s *memoryStream) Cancel()                {}

// handlerStream is the handler's side: data is the request, then the response.
type handlerStream struct{ data []byte }

func (s *handlerStream) Send(message any) (err error) {
	s.data, err = cbor.Marshal(message)
	return err
}
func (s *handlerStream) Recv(message any) error { return cbor.Unmarshal(s.data, message) }
func (s *handlerStream) CloseSend() error       { return nil }
func (s *handlerStream) Cancel()                {}

// regionView is the ownership view of one daemon of a region: daemon n owns
// engine n.
type regionView struct{ self int }

func (v regionView) Self() ownership.Member {
	return ownership.Member{Name: fmt.Sprintf("daemon-%d", v.self), Zone: "z", Region: "r"}
}
func (v regionView) Members() []ownership.Member { return nil }
func (v regionView) Owner(_ ownership.Kind, id string) (ownership.Owner, bool) {
	var n int
	_, err := fmt.Sscanf(id, "engine-%d", &n)
	name := fmt.Sprintf("daemon-%d", n)
	return ownership.Owner{Member: name, PeerAddress: name}, err == nil
}
func (v regionView) Holds(ownership.Kind, string) (ownership.Token, bool) { return 0, false }
func (v regionView) LeaseValid() bool                                     { return true }

// EngineLoad returns an idle engine's load if the daemon owns it.
func (v regionView) EngineLoad(engine string, _ call.AdapterRef) (placement.EngineLoad, bool) {
	return placement.EngineLoad{Engine: engine, MaxRunning: 8, FreeSlots: 3}, engine == fmt.Sprintf("engine-%04d", v.self)
}

// BenchmarkLocated reports exchanges and message bytes between daemons per
// located call. In case cold neither the adapter's home nor the entry has a
// cached result for the adapter, in case home only the home has one, and in case
// warm the entry has one.
func BenchmarkLocated(b *testing.B) {
	const adapters = 500
	for _, daemons := range []int{2, 4, 8, 16, 32, 128} {
		for _, cacheState := range []string{"cold", "home", "warm"} {
			b.Run(fmt.Sprintf("%s/daemons=%d", cacheState, daemons), func(b *testing.B) {
				for b.Loop() {
					measureLocated(b, cacheState, daemons, adapters)
				}
			})
		}
	}
}

func measureLocated(b *testing.B, cacheState string, daemons, adapters int) {
	r := newRegion(b, daemons, adapters)
	var located atomic.Int64
	locateAll := func(entry int) {
		for i := range adapters {
			ref := call.AdapterRef{Name: fmt.Sprintf("adapter-%05d", i), Version: "v1"}
			if len(r.locators[entry].Locate(b.Context(), ref)) > 0 {
				located.Add(1)
			}
		}
	}
	switch cacheState {
	case "home":
		locateAll(1)
	case "warm":
		locateAll(0)
	}
	locatesBefore, loadsBefore, bytesBefore := r.exchanges[peer.MethodLocate], r.exchanges[peer.MethodLoad], r.messageBytes
	locateAll(0)
	if located.Load()%int64(adapters) != 0 {
		b.Fatal("a call was not located")
	}
	n := float64(adapters)
	b.ReportMetric(float64(r.exchanges[peer.MethodLocate]-locatesBefore)/n, "home-exchanges/call")
	b.ReportMetric(float64(r.exchanges[peer.MethodLoad]-loadsBefore)/n, "load-exchanges/call")
	b.ReportMetric(float64(r.messageBytes-bytesBefore)/n, "message-B/call")
}
