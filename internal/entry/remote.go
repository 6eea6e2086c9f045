package entry

import (
	"context"
	"errors"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/peer"
)

// connectTimeout limits connecting to an engine's owner, so that a call moves
// on to another engine if the owner is unreachable.
const connectTimeout = 300 * time.Millisecond

// modelReply is one message of an owner's response: a part, or the result that
// ends the response.
type modelReply struct {
	Part   *call.Part   `cbor:"1,keyasint,omitempty"`
	Result *call.Result `cbor:"2,keyasint,omitempty"`
}

// runAtPeer executes a call at the daemon that owns the engine. It returns
// false if that daemon certainly received nothing.
func (h *Handler) runAtPeer(ctx context.Context, owner ownership.Owner, m call.ModelRequest, writer *responseSink) (call.Result, bool) {
	connecting, cancel := context.WithTimeout(ctx, connectTimeout)
	stream, err := h.cfg.Caller.Open(connecting, owner.PeerAddress, peer.MethodModelCall)
	cancel()
	if err != nil {
		h.suspects.add(owner.Member, time.Now())
		h.log.Debug("connecting to the engine's owner failed; trying the next engine", "owner", owner.Member, "error", err)
		return call.Result{}, false
	}
	defer stream.Cancel()
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	if err := stream.Send(m); err != nil {
		return h.ownerLostResult(ctx, owner, err), true
	}
	return h.receive(ctx, owner, stream, m, writer), true
}

// receive delivers the parts of a response to the writer until the result
// arrives.
func (h *Handler) receive(ctx context.Context, owner ownership.Owner, stream peer.Stream, m call.ModelRequest, writer *responseSink) call.Result {
	for {
		var reply modelReply
		if err := stream.Recv(&reply); err != nil {
			return h.ownerLostResult(ctx, owner, err)
		}
		if reply.Result != nil {
			return *reply.Result
		}
		if reply.Part == nil {
			return h.ownerLostResult(ctx, owner, errors.New("empty reply"))
		}
		if reply.Part.Attempt != m.Attempt {
			h.cfg.Metrics.DroppedResponse("attempt")
			continue
		}
		if err := writer.Deliver(*reply.Part); err != nil {
			return call.Failed(call.Incomplete, call.CodeCancelled, "the caller is gone")
		}
	}
}

// ownerLostResult returns the result of a call whose owner was lost after it
// may have received the call: the call may have run.
func (h *Handler) ownerLostResult(ctx context.Context, owner ownership.Owner, err error) call.Result {
	if ctx.Err() != nil {
		return call.Failed(call.Unknown, call.CodeCancelled, "the caller is gone")
	}
	h.suspects.add(owner.Member, time.Now())
	h.log.Warn("exchange with the engine's owner failed; the call may have run", "owner", owner.Member, "error", err)
	return call.Failed(call.Unknown, call.CodeConnectionLost, "the engine's owner was lost")
}

// ServePeer serves peer.MethodModelCall: it runs calls of other daemons on
// engines that this daemon owns.
func (h *Handler) ServePeer(ctx context.Context, _ peer.Identity, stream peer.Stream) {
	var m call.ModelRequest
	if stream.Recv(&m) != nil {
		return
	}
	result := h.cfg.Runner.Run(ctx, m, peerSink{stream: stream})
	_ = stream.Send(modelReply{Result: &result})
}

// peerSink sends parts to the daemon that the caller is connected to.
type peerSink struct {
	stream peer.Stream
}

// Deliver sends one part.
func (s peerSink) Deliver(part call.Part) error {
	return s.stream.Send(modelReply{Part: &part})
}
