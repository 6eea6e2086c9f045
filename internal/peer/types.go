package peer

import "context"

// Method is the kind of call that a stream between two daemons carries.
type Method string

// The methods that daemons offer each other.
const (
	// MethodModelCall sends a call.ModelRequest and receives call.Part messages,
	// then a call.Result.
	MethodModelCall Method = "model"
	// MethodLocate requests the engines that hold an adapter from its home.
	MethodLocate Method = "locate"
	// MethodLoad requests the load of an engine from its owner.
	MethodLoad Method = "load"
	// MethodPermit requests a load permit from the granter of a weight store.
	MethodPermit Method = "permit"
	// MethodKeyedCall sends a call.KeyedRequest to the owner of its claim shard.
	MethodKeyedCall Method = "keyed"
	// MethodConfiguration requests the generation in force and its chunks.
	MethodConfiguration Method = "configuration"
	// MethodStatus requests a daemon's status.
	MethodStatus Method = "status"
)

// Identity identifies a peer by its verified certificate.
type Identity struct {
	Name string
}

// Stream is one call between two daemons: CBOR messages in both directions. One
// goroutine may call Send while another calls Recv.
type Stream interface {
	// Send writes one message.
	Send(message any) error
	// Recv decodes one message into message, or returns io.EOF after the peer's
	// CloseSend.
	Recv(message any) error
	// CloseSend signals the peer that no more messages follow.
	CloseSend() error
	// Cancel closes both directions immediately. A client always calls it at the
	// end, since it confirms to the peer that the response was received.
	Cancel()
}

// Caller opens streams to other daemons.
type Caller interface {
	// Open connects if needed and opens a stream for the method. An error means
	// that the peer received no part of the call.
	Open(ctx context.Context, address string, method Method) (Stream, error)
}

// Handler serves one stream. The context ends when the peer cancels the stream or
// the connection is lost.
type Handler func(ctx context.Context, from Identity, stream Stream)

// Registrar registers handlers for methods before the server starts.
type Registrar interface {
	Handle(method Method, handler Handler)
}
