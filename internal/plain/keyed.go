package plain

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/claim"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/barleylift/barleylift/internal/peer"
	"github.com/barleylift/barleylift/internal/upstream"
)

// maxKeyedBody bounds the body of a keyed call in bytes, below what one message
// between daemons may hold.
const maxKeyedBody = 8 << 20

// keyedReply is the owner's answer to a call.Keyed.
type keyedReply struct {
	Answer call.KeyedResponse `cbor:"1,keyasint"`
	Result call.Result        `cbor:"2,keyasint"`
}

// serveKeyed has the call run by the owner of its claim.
func (e *exchange) serveKeyed(key string) {
	if len(key) > claim.MaxKeyBytes {
		message := fmt.Sprintf("the idempotency key exceeds %d bytes", claim.MaxKeyBytes)
		e.fail(call.Failed(call.Rejected, call.CodeBadRequest, message))
		return
	}
	limited := http.MaxBytesReader(e.w, e.r.Body, min(e.route.maxBody(), maxKeyedBody))
	body, err := io.ReadAll(limited)
	if err != nil {
		e.fail(e.bodyFailed(err, false))
		return
	}
	keyed := call.KeyedRequest{
		ID:         call.NewID(),
		Customer:   e.customer.Name,
		Route:      e.route.Name,
		Key:        key,
		Method:     e.r.Method,
		Target:     e.r.URL.RequestURI(),
		Header:     upstream.RequestHeader(e.r.Header, e.customer.Name),
		Body:       body,
		Generation: e.route.generation,
	}
	answer, result := e.route.handler.execute(e.r.Context(), keyed, e.deadline)
	if result.Outcome != call.Done {
		e.fail(result)
		return
	}
	e.route.observe(e.customer.Name, e.profile.Name, result)
	writeAnswer(e.w, answer, e.r.Method == http.MethodHead)
}

// execute asks the owner of the call's claim, and asks again while the owner
// changes or a connection to it is lost: the claim keeps the call from running
// twice. After a loss the call may run although a later answer says that it
// did not, so the result is unknown then.
func (h *Handler) execute(ctx context.Context, keyed call.KeyedRequest, deadline time.Time) (call.KeyedResponse, call.Result) {
	shard := h.config.Claims.Shard(keyed.Customer, keyed.Route, keyed.Key)
	lost := false
	for {
		keyed.Tolerance = time.Until(deadline)
		if keyed.Tolerance <= 0 {
			return call.KeyedResponse{}, afterLoss(lost, notRun(call.CodeDeadline, "the call was not sent within the delay tolerance"))
		}
		answer, result, lostNow := h.ask(ctx, shard, keyed)
		lost = lost || lostNow
		if !lostNow && !askAgain(result) {
			return answer, afterLoss(lost, result)
		}
		if !pause(ctx, deadline) {
			return call.KeyedResponse{}, afterLoss(lost, result)
		}
		h.config.Metrics.Retry(string(result.Code))
	}
}

// askAgain reports whether a result comes from a daemon that cannot run the
// call while another soon can.
func askAgain(result call.Result) bool {
	if result.Outcome != call.NotRun {
		return false
	}
	switch result.Code {
	case call.CodeNotOwner, call.CodeDraining, call.CodeStale:
		return true
	default:
		return false
	}
}

func afterLoss(lost bool, result call.Result) call.Result {
	if lost && result.Outcome == call.NotRun {
		return call.Failed(call.Unknown, call.CodeConnectionLost, "the call was handed to its owner, which was lost; ask again with the same key")
	}
	return result
}

// ask runs the call here or at the daemon that owns its shard. The call may be
// under way at the peer if lost is set.
func (h *Handler) ask(ctx context.Context, shard string, keyed call.KeyedRequest) (answer call.KeyedResponse, result call.Result, lost bool) {
	owner, ok := h.config.View.Owner(ownership.KindClaim, shard)
	if !ok {
		return call.KeyedResponse{}, notRun(call.CodeNotOwner, "no daemon owns the key's claims"), false
	}
	if owner.Member == h.config.View.Self().Name {
		answer, result = h.config.Claims.Execute(ctx, keyed)
		return answer, result, false
	}
	return h.askPeer(ctx, owner.PeerAddress, keyed)
}

func (h *Handler) askPeer(ctx context.Context, address string, keyed call.KeyedRequest) (answer call.KeyedResponse, result call.Result, lost bool) {
	stream, err := h.config.Caller.Open(ctx, address, peer.MethodKeyedCall)
	if err != nil {
		h.log.Debug("owner not reached", "address", address, "error", err)
		return call.KeyedResponse{}, notRun(call.CodeNotOwner, "the owner of the key's claims cannot be reached"), false
	}
	defer stream.Cancel()
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	var reply keyedReply
	if err := exchangeMessages(stream, keyed, &reply); err != nil {
		h.log.Debug("owner lost", "address", address, "error", err)
		return call.KeyedResponse{}, call.Failed(call.Unknown, call.CodeConnectionLost, "the owner was lost; ask again with the same key"), true
	}
	return reply.Answer, reply.Result, false
}

// exchangeMessages sends the only request of a stream and receives its reply.
func exchangeMessages(stream peer.Stream, request, reply any) error {
	if err := stream.Send(request); err != nil {
		return err
	}
	if err := stream.CloseSend(); err != nil {
		return err
	}
	return stream.Recv(reply)
}

// PeerHandler serves peer.MethodKeyedCall: it runs keyed calls whose shard this
// daemon owns. The call ends at the loss of the peer only if it was not sent.
func (h *Handler) PeerHandler() peer.Handler {
	return func(ctx context.Context, from peer.Identity, stream peer.Stream) {
		var keyed call.KeyedRequest
		if err := stream.Recv(&keyed); err != nil {
			h.log.Debug("keyed call not received", "from", from.Name, "error", err)
			return
		}
		answer, result := h.config.Claims.Execute(ctx, keyed)
		if err := stream.Send(keyedReply{Answer: answer, Result: result}); err != nil {
			h.log.Debug("keyed reply not sent", "to", from.Name, "error", err)
		}
	}
}
