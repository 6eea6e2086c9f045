package permit

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/peer"
)

var errLost = errors.New("connection lost")

// network connects daemons in memory; daemons can be disconnected.
type network struct {
	mu           sync.Mutex
	daemons      map[string]*daemon
	streams      map[*memoryStream]bool
	owner        string
	disconnected map[string]bool
}

// daemon is one daemon with its permit service and client. It implements
// ownership.View and peer.Caller.
type daemon struct {
	name    string
	net     *network
	service *Service
	client  *Client
	// pressures holds the pressure of each adapter at the daemon's engines.
	pressures map[call.AdapterRef]float64
}

func (d *daemon) pressureOf(_ string, adapter call.AdapterRef) float64 {
	d.net.mu.Lock()
	defer d.net.mu.Unlock()
	return d.pressures[adapter]
}

func (d *daemon) setPressure(adapter call.AdapterRef, pressure float64) {
	d.net.mu.Lock()
	defer d.net.mu.Unlock()
	d.pressures[adapter] = pressure
}

func newNetwork(store catalog.WeightStore, names ...string) *network {
	n := &network{daemons: map[string]*daemon{}, streams: map[*memoryStream]bool{}, disconnected: map[string]bool{}}
	stores := func(name string) (catalog.WeightStore, bool) { return store, name == store.Name }
	for _, name := range names {
		d := &daemon{name: name, net: n, pressures: map[call.AdapterRef]float64{}}
		d.service = NewService(stores, slog.New(slog.DiscardHandler))
		client, err := NewClient(ClientConfig{
			View: d, Caller: d, Service: d.service, Stores: stores, Logger: slog.New(slog.DiscardHandler),
			Pressure: d.pressureOf,
		})
		if err != nil {
			panic(err)
		}
		d.client = client
		n.daemons[name] = d
	}
	return n
}

// setOwner moves the ownership of the store's permits to a daemon; an empty name
// leaves them without an owner.
func (n *network) setOwner(name, store string) {
	n.mu.Lock()
	previous := n.owner
	n.owner = name
	n.mu.Unlock()
	h := ownership.Holding{Resource: ownership.Resource{Kind: ownership.KindPermits, ID: store}}
	if previous != "" {
		n.daemons[previous].service.Lost(h)
	}
	if name != "" {
		n.daemons[name].service.Gained(h)
	}
}

// disconnect closes all connections of a daemon and rejects new ones.
func (n *network) disconnect(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disconnected[name] = true
	for s := range n.streams {
		if s.from == name || s.to == name {
			s.cancel()
		}
	}
}

func (n *network) stop() {
	for _, d := range n.daemons {
		d.client.Stop()
		d.service.Stop()
	}
}

func (d *daemon) Self() ownership.Member { return ownership.Member{Name: d.name} }

func (d *daemon) Members() []ownership.Member {
	return make([]ownership.Member, len(d.net.daemons))
}

func (d *daemon) Owner(ownership.Kind, string) (ownership.Owner, bool) {
	d.net.mu.Lock()
	defer d.net.mu.Unlock()
	return ownership.Owner{Member: d.net.owner, PeerAddress: d.net.owner}, d.net.owner != ""
}

func (d *daemon) Holds(ownership.Kind, string) (ownership.Token, bool) { return 0, false }

func (d *daemon) LeaseValid() bool { return true }

// Open implements peer.Caller.
func (d *daemon) Open(_ context.Context, address string, _ peer.Method) (peer.Stream, error) {
	d.net.mu.Lock()
	defer d.net.mu.Unlock()
	if d.net.disconnected[address] || d.net.disconnected[d.name] {
		return nil, errLost
	}
	ctx, cancel := context.WithCancel(context.Background())
	toServer, toClient := make(chan []byte, 16), make(chan []byte, 16)
	clientEnd := &memoryStream{from: d.name, to: address, ctx: ctx, cancel: cancel, out: toServer, in: toClient}
	serverEnd := &memoryStream{from: d.name, to: address, ctx: ctx, cancel: cancel, out: toClient, in: toServer}
	d.net.streams[clientEnd] = true
	go func() {
		d.net.daemons[address].service.Serve(ctx, peer.Identity{Name: d.name}, serverEnd)
		_ = serverEnd.CloseSend()
	}()
	return clientEnd, nil
}

// memoryStream is one end of a stream; cancelling either end ends both.
type memoryStream struct {
	from, to string
	ctx      context.Context
	cancel   context.CancelFunc
	out, in  chan []byte
}

func (s *memoryStream) Send(message any) error {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		return err
	}
	select {
	case s.out <- encoded:
		return nil
	case <-s.ctx.Done():
		return errLost
	}
}

func (s *memoryStream) Recv(message any) error {
	select {
	case encoded, ok := <-s.in:
		if !ok {
			return io.EOF
		}
		return cbor.Unmarshal(encoded, message)
	case <-s.ctx.Done():
		return errLost
	}
}

func (s *memoryStream) CloseSend() error {
	close(s.out)
	return nil
}

func (s *memoryStream) Cancel() { s.cancel() }
