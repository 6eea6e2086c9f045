package claim

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/ownership"
	"golang.org/x/time/rate"
)

// stage is the progress of an in-flight call.
type stage int

// The stages of an in-flight call, in order.
const (
	stageQueued stage = iota
	stageCommitting
	stageSending
	stageEnded
)

// inflightCall is one call in flight, shared by all callers that wait for it.
type inflightCall struct {
	id    ID
	seq   uint64
	keyed call.KeyedRequest
	stage stage
	// waiters counts the callers that still wait.
	waiters int
	// done is closed at stageEnded. response and result are set before.
	done     chan struct{}
	response call.KeyedResponse
	result   call.Result
}

// shard is one claim shard while this daemon owns it.
type shard struct {
	pool   *Pool
	log    *slog.Logger
	store  store
	number string
	token  ownership.Token
	cancel context.CancelFunc
	// ready is closed when the claims are loaded or the shard is stopped.
	ready chan struct{}
	// work counts the in-flight calls and the outcomes to be written.
	work workCounter
	// wake signals the committer that there is something to write.
	wake chan struct{}

	// mu guards the fields below. It is locked after Pool.mu and never held
	// during I/O.
	mu             sync.Mutex
	loaded         bool
	stopped        bool
	commitsFailing bool // commits fail, are ambiguous or wait for the lease
	ledger         *Ledger
	inflight       map[ID]*inflightCall
	inflightBytes  int
	queue          []*inflightCall
	// records holds settled claims to be written, writing those in the current
	// commit.
	records []Record
	writing []Record

	// The fields below are used only by the committer goroutine.
	seq          uint64
	headRevision int64
	segments     segmentList
	limiter      *rate.Limiter
}

func newShard(p *Pool, holding ownership.Holding, cancel context.CancelFunc) *shard {
	number := holding.Resource.ID
	return &shard{
		pool:     p,
		log:      p.log.With("shard", number),
		store:    store{kv: p.config.KV, shard: number, token: holding.Token},
		number:   number,
		token:    holding.Token,
		cancel:   cancel,
		ready:    make(chan struct{}),
		wake:     make(chan struct{}, 1),
		ledger:   NewLedger(holding.Token, p.config.MaxShardBytes),
		inflight: make(map[ID]*inflightCall),
		limiter:  rate.NewLimiter(rate.Every(p.config.CommitInterval), commitBurst),
	}
}

// execute starts the call, joins an in-flight call with the same ID, or returns
// the result that the ledger decides on. It waits for the call that it started
// or joined.
func (s *shard) execute(ctx context.Context, id ID, keyed call.KeyedRequest, tolerance <-chan time.Time) (call.KeyedResponse, call.Result) {
	draining := s.pool.isDraining()
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		return call.KeyedResponse{}, notOwner()
	}
	verdict, record := s.ledger.Decide(id, keyed.Customer, NewDigest(keyed), s.pool.config.Now())
	var f *inflightCall
	result := call.Result{}
	switch verdict {
	case Join:
		f = s.inflight[id]
		f.waiters++
	case Admit:
		f, result = s.admit(id, keyed, draining)
	}
	s.mu.Unlock()
	if f != nil {
		return s.wait(ctx, f, verdict == Join, tolerance)
	}
	return refused(verdict, record, result)
}

// refused returns the response to a call that neither starts nor joins an
// in-flight call.
func refused(verdict Verdict, record Record, admission call.Result) (call.KeyedResponse, call.Result) {
	switch verdict {
	case Replay:
		return record.replay()
	case Conflict:
		return call.KeyedResponse{}, call.Failed(call.Rejected, call.CodeKeyReused, "the idempotency key was used for another request")
	case InDoubt:
		return call.KeyedResponse{}, call.Failed(call.Unknown, call.CodeClaimUnknown, "an earlier call with this key may have run; it is not sent again")
	case Full:
		return call.KeyedResponse{}, notRun(call.CodeLimit, "the shard retains as many claims as it may", retryAfterFull)
	default:
		return call.KeyedResponse{}, admission
	}
}

// admit starts a call with a free key, or returns why it is refused. The caller
// holds mu from the ledger's decision on, because the decision and the pending
// claim must be one atomic step.
func (s *shard) admit(id ID, keyed call.KeyedRequest, draining bool) (*inflightCall, call.Result) {
	retention, configured := s.pool.config.retention(keyed.Route)
	token, valid := s.holding()
	switch {
	case draining:
		return nil, notRun(call.CodeDraining, "this daemon is draining", retryAfterOwner)
	case !configured:
		return nil, notRun(call.CodeStale, "the owner does not know the route yet", retryAfterOwner)
	case token != s.token:
		// The shard is about to be stopped; another daemon owns it or soon will.
		return nil, notOwner()
	case !valid:
		return nil, notRun(call.CodePlatformDown, "the owner's lease is not known to be valid", retryAfterPlatform)
	case s.inflightBytes+len(keyed.Body) > maxInflightBytes || len(s.inflight) >= maxInflightCalls:
		return nil, notRun(call.CodeLimit, "too many calls are under way at the shard", retryAfterOwner)
	}
	now := s.pool.config.Now()
	s.ledger.Begin(id, keyed.Customer, NewDigest(keyed), now.Add(retention))
	f := &inflightCall{id: id, keyed: keyed, waiters: 1, done: make(chan struct{})}
	s.inflight[id] = f
	s.inflightBytes += len(keyed.Body)
	s.queue = append(s.queue, f)
	s.addWork(1)
	s.notify()
	return f, call.Result{}
}

// holds reports whether this daemon owns the shard with this shard's token under
// a valid lease.
func (s *shard) holds() bool {
	token, valid := s.holding()
	return valid && token == s.token
}

// holding returns the token under which this daemon owns the shard, 0 if it
// does not, and whether its lease is valid.
func (s *shard) holding() (token ownership.Token, valid bool) {
	return s.pool.config.View.Holds(ownership.KindClaim, s.number)
}

// addWork adds n to the number of in-flight calls and outcomes to be written.
func (s *shard) addWork(n int) {
	s.work.add(n)
	s.pool.work.add(n)
}

func (s *shard) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// wait returns the result of the in-flight call, or that of a caller whose
// tolerance or context ends before.
func (s *shard) wait(ctx context.Context, f *inflightCall, joined bool, tolerance <-chan time.Time) (call.KeyedResponse, call.Result) {
	for {
		select {
		case <-f.done:
			response := f.response
			response.Replayed = joined
			return response, f.result
		case <-tolerance:
			if result, left := s.leave(f, call.CodeDeadline, false); left {
				return call.KeyedResponse{}, result
			}
			// The call was sent: the Sender bounds the remaining wait.
			tolerance = nil
		case <-ctx.Done():
			if result, left := s.leave(f, call.CodeCancelled, true); left {
				return call.KeyedResponse{}, result
			}
			<-f.done
		}
	}
}

// leave removes one caller from an in-flight call. It returns false if the call
// has ended, or if it was sent and the caller was not cancelled.
func (s *shard) leave(f *inflightCall, code call.Code, cancelled bool) (call.Result, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.stage == stageEnded || f.stage == stageSending && !cancelled {
		return call.Result{}, false
	}
	f.waiters--
	if f.stage == stageSending {
		return call.Failed(call.Unknown, code, "the call was sent; ask again with the same key"), true
	}
	if f.waiters > 0 {
		return call.Failed(call.Unknown, code, "another call with this key still waits"), true
	}
	result := s.notCommittedResult(code)
	if f.stage == stageQueued {
		s.ledger.Withdraw(f.id)
		s.finish(f, call.KeyedResponse{}, result)
	}
	return result, true
}

// notCommittedResult returns the result of a call whose claim was not committed
// in time. The caller holds mu.
func (s *shard) notCommittedResult(code call.Code) call.Result {
	if s.commitsFailing && code == call.CodeDeadline {
		return notRun(call.CodePlatformDown, "the claim could not be recorded within the delay tolerance", retryAfterPlatform)
	}
	return notRun(code, "the call was not sent within the delay tolerance", retryAfterOwner)
}

// finish ends an in-flight call with a response and a result. The caller holds
// mu, because the call's ID becomes free for another call.
func (s *shard) finish(f *inflightCall, response call.KeyedResponse, result call.Result) {
	if f.stage == stageEnded {
		return
	}
	f.stage = stageEnded
	f.response = response
	f.result = result
	close(f.done)
	if s.inflight[f.id] == f {
		delete(s.inflight, f.id)
	}
	s.inflightBytes -= len(f.keyed.Body)
	s.addWork(-1)
}

// send sends a call whose claim is committed and records its outcome.
func (s *shard) send(f *inflightCall) {
	// The outcome must be recorded even if all callers have left.
	sent := s.pool.config.Sender.Send(context.Background(), f.keyed)
	outcome := Settlement{ID: f.id, Seq: f.seq}
	result := sent.Failure
	var response call.KeyedResponse
	switch sent.Kind {
	case SendExecuted:
		outcome.State = Executed
		whole := result.Outcome == ""
		var err error
		if outcome.Response, err = encodeResponse(sent.Response, whole); err != nil {
			s.log.Error("encoding a response failed; recording the outcome without it", "claim", f.id, "error", err)
		}
		if whole {
			response = sent.Response
			result = call.Result{Outcome: call.Done}
		}
	case SendNotRun:
		outcome.State = Released
	default:
		outcome.State = Uncertain
	}
	s.settle(f, outcome, response, result)
}

// settle records an outcome before its callers receive it, so a repeated call at
// this owner always finds it.
func (s *shard) settle(f *inflightCall, outcome Settlement, response call.KeyedResponse, result call.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.recordSettlement(outcome)
		s.finish(f, response, result)
		return
	}
	// Pool.mu must be locked before s.mu.
	s.mu.Unlock()
	s.pool.recordOrKeep(s.number, []Settlement{outcome})
	s.mu.Lock()
	s.finish(f, response, result)
}

// recordSettlement settles a claim in the ledger and queues its record. The
// caller holds mu.
func (s *shard) recordSettlement(outcome Settlement) {
	record, ok := s.ledger.Settle(outcome.ID, outcome.Seq, outcome.State, outcome.Response)
	if !ok {
		return
	}
	s.records = append(s.records, record)
	s.addWork(1)
	s.notify()
}

// recordSettlements records outcomes that arrived after the shard's ownership
// changed. It returns false before the shard is loaded and after it is stopped.
func (s *shard) recordSettlements(settlements []Settlement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loaded || s.stopped {
		return false
	}
	for _, outcome := range settlements {
		s.recordSettlement(outcome)
	}
	return true
}

// stop ends the shard: no more commits are made. Calls that were not sent end as
// not run; outcomes not known to be written are handed to the pool.
func (s *shard) stop() {
	s.cancel()
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		return
	}
	s.stopped = true
	s.failUnsent()
	unwritten := append(s.writing, s.records...)
	s.writing = nil
	s.records = nil
	s.addWork(-len(unwritten))
	s.mu.Unlock()
	kept := make([]Settlement, len(unwritten))
	for i, r := range unwritten {
		kept[i] = Settlement{ID: r.ID, Seq: r.Seq, State: r.State, Response: r.Response}
	}
	s.pool.recordOrKeep(s.number, kept)
}
