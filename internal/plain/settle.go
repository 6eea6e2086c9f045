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

// settleRequest carries outcomes that the sender received after it lost the
// shard.
type settleRequest struct {
	Shard    string             `cbor:"1,keyasint"`
	Outcomes []claim.Settlement `cbor:"2,keyasint"`
}

// settleReply reports whether the receiver has recorded the outcomes.
type settleReply struct {
	Recorded bool `cbor:"1,keyasint"`
}

var errNotRecorded = errors.New("plain: no other daemon has recorded the outcomes")

// maxSettleBytes limits the recorded responses in one settleRequest, below the
// size limit of a message between daemons.
const maxSettleBytes = 8 << 20

// NewForwarder returns the Forward function of a claim.Config: it sends
// outcomes to the daemon that currently owns the shard.
func NewForwarder(caller peer.Caller, view ownership.View) func(context.Context, string, []claim.Settlement) error {
	return func(ctx context.Context, shard string, outcomes []claim.Settlement) error {
		owner, ok := view.Owner(ownership.KindClaim, shard)
		if !ok || owner.Member == view.Self().Name {
			return errNotRecorded
		}
		for len(outcomes) > 0 {
			n := settleBatch(outcomes)
			if err := sendSettlements(ctx, caller, owner.PeerAddress, settleRequest{Shard: shard, Outcomes: outcomes[:n]}); err != nil {
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
		bytes += len(outcome.Response)
		if bytes > maxSettleBytes {
			return max(i, 1)
		}
	}
	return len(outcomes)
}

func sendSettlements(ctx context.Context, caller peer.Caller, address string, request settleRequest) error {
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
	if !reply.Recorded {
		return errNotRecorded
	}
	return nil
}

// SettleHandler serves MethodSettle.
func (h *Handler) SettleHandler() peer.Handler {
	return func(_ context.Context, from peer.Identity, stream peer.Stream) {
		var request settleRequest
		if err := stream.Recv(&request); err != nil {
			h.log.Debug("receiving settled outcomes failed", "from", from.Name, "error", err)
			return
		}
		recorded := h.config.Claims.RecordSettlements(request.Shard, request.Outcomes)
		if err := stream.Send(settleReply{Recorded: recorded}); err != nil {
			h.log.Debug("sending a settle reply failed", "to", from.Name, "error", err)
		}
	}
}
