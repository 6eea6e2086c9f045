package permit

import (
	"context"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/owner"
	"github.com/barleylift/barleylift/internal/peer"
)

// registration is a request that is registered at a granter.
type registration interface {
	// granted is closed when the permit is granted.
	granted() <-chan struct{}
	// lost is closed when the granter no longer has the request.
	lost() <-chan struct{}
	// renew updates the pressure or renews the lease.
	renew(pressure float64)
	// end releases the request or the permit. It is called once.
	end()
}

// localRegistration is registered at a granter in this daemon.
type localRegistration struct {
	granter       *storeGranter
	request       Request
	permitGranted <-chan struct{}
}

func registerLocally(g *storeGranter, member string, r owner.PermitRequest, held bool) *localRegistration {
	request := requestMessage{ID: call.NewID(), Engine: r.Engine, Adapter: r.Adapter, Pressure: r.Pressure}.request(member)
	return &localRegistration{granter: g, request: request, permitGranted: g.register(request, held)}
}

func (r *localRegistration) granted() <-chan struct{} { return r.permitGranted }

func (r *localRegistration) lost() <-chan struct{} { return r.granter.done }

func (r *localRegistration) renew(pressure float64) {
	r.request.Pressure = pressure
	r.granter.update(r.request)
}

func (r *localRegistration) end() { r.granter.release(r.request.ID) }

// remoteRegistration is registered at another daemon's granter for as long as
// its stream is open.
type remoteRegistration struct {
	stream        peer.Stream
	message       requestMessage
	permitGranted chan struct{}
	streamEnded   chan struct{}
}

// registerRemotely opens a stream to the owner and sends the request.
func registerRemotely(ctx context.Context, caller peer.Caller, address string, r owner.PermitRequest, held bool) (*remoteRegistration, error) {
	stream, err := caller.Open(ctx, address, peer.MethodPermit)
	if err != nil {
		return nil, err
	}
	message := requestMessage{
		Store: r.Store, ID: call.NewID(), Engine: r.Engine, Adapter: r.Adapter, Pressure: r.Pressure, Held: held,
	}
	if err := stream.Send(message); err != nil {
		stream.Cancel()
		return nil, err
	}
	reg := &remoteRegistration{
		stream:        stream,
		message:       message,
		permitGranted: make(chan struct{}),
		streamEnded:   make(chan struct{}),
	}
	go reg.receive()
	return reg, nil
}

// receive reads verdicts until the stream ends.
func (r *remoteRegistration) receive() {
	defer close(r.streamEnded)
	for granted := false; ; {
		var message verdictMessage
		if err := r.stream.Recv(&message); err != nil || message.Verdict != verdictGranted {
			return
		}
		if !granted {
			granted = true
			close(r.permitGranted)
		}
	}
}

func (r *remoteRegistration) granted() <-chan struct{} { return r.permitGranted }

func (r *remoteRegistration) lost() <-chan struct{} { return r.streamEnded }

func (r *remoteRegistration) renew(pressure float64) {
	r.message.Pressure = pressure
	if err := r.stream.Send(r.message); err != nil {
		r.stream.Cancel()
	}
}

// end cancels the stream, which the granter treats as the release.
func (r *remoteRegistration) end() {
	r.stream.Cancel()
}
