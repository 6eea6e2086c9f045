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

// maxKeyedBodyBytes limits the body of a keyed call in bytes, below the size limit
// of a message between daemons.
const maxKeyedBodyBytes = 8 << 20

// keyedReply is the owner's reply to a call.KeyedRequest.
type keyedReply struct {
	Response call.KeyedResponse `cbor:"1,keyasint"`
	Result   call.Result        `cbor:"2,keyasint"`
}

// serveKeyed has the owner of the call's claim execute the call.
func (e *exchange) serveKeyed(key string) {
	if len(key) > claim.MaxKeyBytes {
		message := fmt.Sprintf("the idempotency key exceeds %d bytes", claim.MaxKeyBytes)
		e.fail(call.Failed(call.Rejected, call.CodeBadRequest, message))
		return
	}
	limited := http.MaxBytesReader(e.w, e.r.Body, min(e.route.maxBody(), maxKeyedBodyBytes))
	body, err := io.ReadAll(limited)
	if err != nil {
		e.fail(e.bodyErrorResult(err, false))
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
	response, result := e.route.handler.execute(e.r.Context(), keyed, e.deadline)
	if result.Outcome != call.Done {
		e.fail(result)
		return
	}
	e.route.observe(e.customer.Name, e.profile.Name, result)
	writeKeyedResponse(e.w, response, e.r.Method == http.MethodHead)
}

// execute sends the call to the owner of its claim, and retries while the owner
// changes or the connection to it is lost: the claim prevents the call from
// running twice. After a lost connection the call may run even if a later reply
// reports that it did not, so the result is then unknown.
func (h *Handler) execute(ctx context.Context, keyed call.KeyedRequest, deadline time.Time) (call.KeyedResponse, call.Result) {
	shard := h.config.Claims.Shard(keyed.Customer, keyed.Route, keyed.Key)
	lost := false
	for {
		keyed.Tolerance = time.Until(deadline)
		if keyed.Tolerance <= 0 {
			return call.KeyedResponse{}, resultAfterLoss(lost, notRun(call.CodeDeadline, "the call was not sent within the delay tolerance"))
		}
		response, result, lostNow := h.executeOnce(ctx, shard, keyed)
		lost = lost || lostNow
		if !lostNow && !isRetryable(result) {
			return response, resultAfterLoss(lost, result)
		}
		if !waitBeforeRetry(ctx, deadline) {
			return call.KeyedResponse{}, resultAfterLoss(lost, result)
		}
		h.config.Metrics.Retry(string(result.Code))
	}
}

// isRetryable reports whether a result comes from a daemon that cannot run the
// call although another daemon soon can.
func isRetryable(result call.Result) bool {
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

func resultAfterLoss(lost bool, result call.Result) call.Result {
	if lost && result.Outcome == call.NotRun {
		return call.Failed(call.Unknown, call.CodeConnectionLost, "the call was handed to its owner, which was lost; ask again with the same key")
	}
	return result
}

// executeOnce executes the call at this daemon if it owns the call's shard, or
// else at the owner. The call may still be running at the peer if lost is set.
func (h *Handler) executeOnce(ctx context.Context, shard string, keyed call.KeyedRequest) (response call.KeyedResponse, result call.Result, lost bool) {
	owner, ok := h.config.View.Owner(ownership.KindClaim, shard)
	if !ok {
		return call.KeyedResponse{}, notRun(call.CodeNotOwner, "no daemon owns the key's claims"), false
	}
	if owner.Member == h.config.View.Self().Name {
		response, result = h.config.Claims.Execute(ctx, keyed)
		return response, result, false
	}
	return h.executeAtPeer(ctx, owner.PeerAddress, keyed)
}

func (h *Handler) executeAtPeer(ctx context.Context, address string, keyed call.KeyedRequest) (response call.KeyedResponse, result call.Result, lost bool) {
	stream, err := h.config.Caller.Open(ctx, address, peer.MethodKeyedCall)
	if err != nil {
		h.log.Debug("connecting to the claim's owner failed", "address", address, "error", err)
		return call.KeyedResponse{}, notRun(call.CodeNotOwner, "the owner of the key's claims cannot be reached"), false
	}
	defer stream.Cancel()
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	var reply keyedReply
	if err := exchangeMessages(stream, keyed, &reply); err != nil {
		h.log.Debug("exchange with the claim's owner failed; the call may have run", "address", address, "error", err)
		return call.KeyedResponse{}, call.Failed(call.Unknown, call.CodeConnectionLost, "the owner was lost; ask again with the same key"), true
	}
	return reply.Response, reply.Result, false
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
// daemon owns. If the connection to the peer is lost, the call ends only if it
// was not sent yet.
func (h *Handler) PeerHandler() peer.Handler {
	return func(ctx context.Context, from peer.Identity, stream peer.Stream) {
		var keyed call.KeyedRequest
		if err := stream.Recv(&keyed); err != nil {
			h.log.Debug("receiving a keyed call failed", "from", from.Name, "error", err)
			return
		}
		response, result := h.config.Claims.Execute(ctx, keyed)
		if err := stream.Send(keyedReply{Response: response, Result: result}); err != nil {
			h.log.Debug("sending a keyed reply failed", "to", from.Name, "error", err)
		}
	}
}
