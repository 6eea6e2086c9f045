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

// stage is how far a call under way has come.
type stage int

// The stages of a flight in order.
const (
	stageQueued stage = iota
	stageCommitting
	stageSending
	stageEnded
)

// flight is one call under way with all callers that wait for it.
type flight struct {
	id    ID
	seq   uint64
	keyed call.Keyed
	stage stage
	// waiters counts the callers that have not left.
	waiters int
	// done is closed at stageEnded; answer and result are fixed by then.
	done   chan struct{}
	answer call.Answer
	result call.Result
}

// shard is one claim shard while this daemon owns it.
type shard struct {
	pool   *Pool
	log    *slog.Logger
	store  store
	number string
	token  ownership.Token
	cancel context.CancelFunc
	// ready is closed when the claims are loaded, or never will be.
	ready chan struct{}
	// work counts the calls under way and the outcomes to be written.
	work workCounter
	// wake tells the committer that there is something to write.
	wake chan struct{}

	// mu guards the fields below. It is taken after Pool.mu and never held
	// during I/O.
	mu          sync.Mutex
	loaded      bool
	lost        bool
	down        bool // the last try to commit took no effect
	ledger      *Ledger
	flights     map[ID]*flight
	flightBytes int
	queue       []*flight
	// records are settled claims to be written; writing are those in the
	// commit that is being tried.
	records []Record
	writing []Record

	// The committer goroutine alone uses the fields below.
	seq          uint64
	headRevision int64
	segments     segmentList
	limiter      *rate.Limiter
}

func newShard(p *Pool, holding ownership.Holding, cancel context.CancelFunc) *shard {
	number := holding.Resource.ID
	return &shard{
		pool:    p,
		log:     p.log.With("shard", number),
		store:   store{kv: p.config.KV, shard: number, token: holding.Token},
		number:  number,
		token:   holding.Token,
		cancel:  cancel,
		ready:   make(chan struct{}),
		wake:    make(chan struct{}, 1),
		ledger:  NewLedger(holding.Token, p.config.MaxShardBytes),
		flights: make(map[ID]*flight),
		limiter: rate.NewLimiter(rate.Every(p.config.CommitInterval), commitBurst),
	}
}

// execute decides what a call with the identity may do and waits for its end.
func (s *shard) execute(ctx context.Context, id ID, keyed call.Keyed, tolerance <-chan time.Time) (call.Answer, call.Result) {
	draining := s.pool.isDraining()
	s.mu.Lock()
	if s.lost {
		s.mu.Unlock()
		return call.Answer{}, notOwner()
	}
	verdict, record := s.ledger.Decide(id, keyed.Customer, NewDigest(keyed), s.pool.config.Now())
	var f *flight
	result := call.Result{}
	switch verdict {
	case Join:
		f = s.flights[id]
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

// refused returns the answer to a call that neither joins nor begins a flight.
func refused(verdict Verdict, record Record, admission call.Result) (call.Answer, call.Result) {
	switch verdict {
	case Replay:
		return record.replay()
	case Conflict:
		return call.Answer{}, call.Failed(call.Rejected, call.CodeKeyReused, "the idempotency key was used for another request")
	case InDoubt:
		return call.Answer{}, call.Failed(call.Unknown, call.CodeClaimUnknown, "an earlier call with this key may have run; it is not sent again")
	case Full:
		return call.Answer{}, notRun(call.CodeLimit, "the shard retains as many claims as it may", retryAfterFull)
	default:
		return call.Answer{}, admission
	}
}

// admit begins a flight for a call with a free key. The caller holds mu,
// because the decision and the pending claim must be one step.
func (s *shard) admit(id ID, keyed call.Keyed, draining bool) (*flight, call.Result) {
	retention, known := s.pool.config.retention(keyed.Route)
	token, valid := s.holding()
	switch {
	case draining:
		return nil, notRun(call.CodeDraining, "this daemon is draining", retryAfterOwner)
	case !known:
		return nil, notRun(call.CodeStale, "the owner does not know the route yet", retryAfterOwner)
	case token != s.token:
		// The shard is about to be stopped; another daemon owns it or soon will.
		return nil, notOwner()
	case !valid:
		return nil, notRun(call.CodePlatformDown, "the owner's lease is not known to be valid", retryAfterPlatform)
	case s.flightBytes+len(keyed.Body) > maxFlightBytes || len(s.flights) >= maxFlights:
		return nil, notRun(call.CodeLimit, "too many calls are under way at the shard", retryAfterOwner)
	}
	now := s.pool.config.Now()
	s.ledger.Begin(id, keyed.Customer, NewDigest(keyed), now.Add(retention))
	f := &flight{id: id, keyed: keyed, waiters: 1, done: make(chan struct{})}
	s.flights[id] = f
	s.flightBytes += len(keyed.Body)
	s.queue = append(s.queue, f)
	s.count(1)
	s.notify()
	return f, call.Result{}
}

// holds reports whether this daemon owns the shard under a valid lease.
func (s *shard) holds() bool {
	token, valid := s.holding()
	return valid && token == s.token
}

// holding returns the token under which this daemon owns the shard, 0 if it
// does not, and whether its lease is valid.
func (s *shard) holding() (token ownership.Token, valid bool) {
	return s.pool.config.View.Holds(ownership.KindClaim, s.number)
}

// count changes the number of calls under way and outcomes to be written.
func (s *shard) count(n int) {
	s.work.add(n)
	s.pool.work.add(n)
}

func (s *shard) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// wait returns the flight's end, or what is true for a caller that leaves before.
func (s *shard) wait(ctx context.Context, f *flight, joined bool, tolerance <-chan time.Time) (call.Answer, call.Result) {
	for {
		select {
		case <-f.done:
			answer := f.answer
			answer.Replayed = joined
			return answer, f.result
		case <-tolerance:
			if result, left := s.leave(f, call.CodeDeadline, false); left {
				return call.Answer{}, result
			}
			// The call was sent: its end is bounded by the Sender.
			tolerance = nil
		case <-ctx.Done():
			if result, left := s.leave(f, call.CodeCancelled, true); left {
				return call.Answer{}, result
			}
			<-f.done
		}
	}
}

// leave takes one caller off a flight. It returns false if the flight has
// ended, or if it was sent and the caller need not leave.
func (s *shard) leave(f *flight, code call.Code, gone bool) (call.Result, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.stage == stageEnded || f.stage == stageSending && !gone {
		return call.Result{}, false
	}
	f.waiters--
	if f.stage == stageSending {
		return call.Failed(call.Unknown, code, "the call was sent; ask again with the same key"), true
	}
	if f.waiters > 0 {
		return call.Failed(call.Unknown, code, "another call with this key still waits"), true
	}
	result := s.notInTime(code)
	if f.stage == stageQueued {
		s.ledger.Withdraw(f.id)
		s.end(f, call.Answer{}, result)
	}
	return result, true
}

// notInTime is the result of a call whose claim was not committed in time. The
// caller holds mu.
func (s *shard) notInTime(code call.Code) call.Result {
	if s.down && code == call.CodeDeadline {
		return notRun(call.CodePlatformDown, "the claim could not be recorded within the delay tolerance", retryAfterPlatform)
	}
	return notRun(code, "the call was not sent within the delay tolerance", retryAfterOwner)
}

// end gives a flight its end. The caller holds mu, because the flight's
// identity becomes free for another one.
func (s *shard) end(f *flight, answer call.Answer, result call.Result) {
	if f.stage == stageEnded {
		return
	}
	f.stage = stageEnded
	f.answer = answer
	f.result = result
	close(f.done)
	if s.flights[f.id] == f {
		delete(s.flights, f.id)
	}
	s.flightBytes -= len(f.keyed.Body)
	s.count(-1)
}

// send sends a flight whose claim is committed and records its outcome.
func (s *shard) send(f *flight) {
	// The outcome is needed also if all callers have gone.
	sent := s.pool.config.Sender.Send(context.Background(), f.keyed)
	outcome := Settlement{ID: f.id, Seq: f.seq}
	result := sent.Failure
	var answer call.Answer
	switch sent.Kind {
	case SendAnswered:
		outcome.State = Answered
		whole := result.Outcome == ""
		var err error
		if outcome.Answer, err = encodeAnswer(sent.Answer, whole); err != nil {
			s.log.Error("answer not encoded", "claim", f.id, "error", err)
		}
		if whole {
			answer = sent.Answer
			result = call.Result{Outcome: call.Done}
		}
	case SendNotRun:
		outcome.State = Released
	default:
		outcome.State = Uncertain
	}
	s.settle(f, outcome, answer, result)
}

// settle records an outcome before its callers learn it, so that a repeated
// call cannot find the key without it.
func (s *shard) settle(f *flight, outcome Settlement, answer call.Answer, result call.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lost {
		s.record(outcome)
		s.end(f, answer, result)
		return
	}
	// Pool.mu comes first in the lock order.
	s.mu.Unlock()
	s.pool.adopt(s.number, []Settlement{outcome})
	s.mu.Lock()
	s.end(f, answer, result)
}

// record settles a claim in the ledger and queues its record. The caller holds mu.
func (s *shard) record(outcome Settlement) {
	record, ok := s.ledger.Settle(outcome.ID, outcome.Seq, outcome.State, outcome.Answer)
	if !ok {
		return
	}
	s.records = append(s.records, record)
	s.count(1)
	s.notify()
}

// adopt records outcomes of an earlier run of the shard. It returns false
// before the shard is loaded and after it is lost.
func (s *shard) adopt(settlements []Settlement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loaded || s.lost {
		return false
	}
	for _, outcome := range settlements {
		s.record(outcome)
	}
	return true
}

// stop ends the shard: nothing more is committed. Flights that were not sent
// end as not run; outcomes not known to be written are kept by the pool.
func (s *shard) stop() {
	s.cancel()
	s.mu.Lock()
	if s.lost {
		s.mu.Unlock()
		return
	}
	s.lost = true
	s.endUnsent()
	unwritten := append(s.writing, s.records...)
	s.writing = nil
	s.records = nil
	s.count(-len(unwritten))
	s.mu.Unlock()
	kept := make([]Settlement, len(unwritten))
	for i, r := range unwritten {
		kept[i] = Settlement{ID: r.ID, Seq: r.Seq, State: r.State, Answer: r.Answer}
	}
	s.pool.adopt(s.number, kept)
}
