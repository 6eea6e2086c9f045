package plain

import (
	"context"
	"errors"

	"github.com/barleylift/barleylift/internal/claim"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/peer"
)

// MethodSettle sends a settleRequest to the owner of a claim shard and
// receives a settleReply.
const MethodSettle peer.Method = "settle"

// settleRequest carries outcomes that the sender learned after it lost the shard.
type settleRequest struct {
	Shard    string             `cbor:"1,keyasint"`
	Outcomes []claim.Settlement `cbor:"2,keyasint"`
}

// settleReply tells whether the receiver has taken the outcomes over.
type settleReply struct {
	Adopted bool `cbor:"1,keyasint"`
}

var errNotAdopted = errors.New("plain: no other daemon takes the outcomes over")

// maxSettleBytes bounds the recorded answers in one settleRequest, below what
// one message between daemons may hold.
const maxSettleBytes = 8 << 20

// NewForwarder returns the Forward function of a claim.Config: it hands
// outcomes to the daemon that owns the shard now.
func NewForwarder(caller peer.Caller, view ownership.View) func(context.Context, string, []claim.Settlement) error {
	return func(ctx context.Context, shard string, outcomes []claim.Settlement) error {
		owner, ok := view.Owner(ownership.KindClaim, shard)
		if !ok || owner.Member == view.Self().Name {
			return errNotAdopted
		}
		for len(outcomes) > 0 {
			n := settleBatch(outcomes)
			if err := settleAt(ctx, caller, owner.PeerAddress, settleRequest{Shard: shard, Outcomes: outcomes[:n]}); err != nil {
				return err
			}
			outcomes = outcomes[n:]
		}
		return nil
	}
}

// settleBatch returns how many of the outcomes fit into one request, at least one.
func settleBatch(outcomes []claim.Settlement) int {
	bytes := 0
	for i, outcome := range outcomes {
		bytes += len(outcome.Answer)
		if bytes > maxSettleBytes {
			return max(i, 1)
		}
	}
	return len(outcomes)
}

func settleAt(ctx context.Context, caller peer.Caller, address string, request settleRequest) error {
	stream, err := caller.Open(ctx, address, MethodSettle)
	if err != nil {
		return err
	}
	defer stream.Cancel()
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	var reply settleReply
	if err := exchangeMessages(stream, request, &reply); err != nil {
		return err
	}
	if !reply.Adopted {
		return errNotAdopted
	}
	return nil
}

// SettleHandler serves MethodSettle.
func (h *Handler) SettleHandler() peer.Handler {
	return func(_ context.Context, from peer.Identity, stream peer.Stream) {
		var request settleRequest
		if err := stream.Recv(&request); err != nil {
			h.log.Debug("outcomes not received", "from", from.Name, "error", err)
			return
		}
		adopted := h.config.Claims.RecordSettlements(request.Shard, request.Outcomes)
		if err := stream.Send(settleReply{Adopted: adopted}); err != nil {
			h.log.Debug("settle reply not sent", "to", from.Name, "error", err)
		}
	}
}
