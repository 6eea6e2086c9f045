package claim

import (
	"context"
	"fmt"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
)

const (
	// drainGrace is how long a draining shard waits for its in-flight calls
	// before it is released. Outcomes that arrive later are forwarded.
	drainGrace = 2 * time.Second
	// forwardRetryInterval is the time between two attempts to forward outcomes.
	forwardRetryInterval = 500 * time.Millisecond
)

// Settlement is the outcome of one committed claim.
type Settlement struct {
	ID ID `cbor:"1,keyasint"`
	// Seq is the commit sequence number of the claim.
	Seq   uint64 `cbor:"2,keyasint"`
	State State  `cbor:"3,keyasint"`
	// Response is the encoded recordedResponse of a claim that is Executed.
	Response []byte `cbor:"4,keyasint,omitempty"`
}

// Drain refuses new claims and releases each shard as soon as its calls have
// ended and their outcomes are written, or after a short grace period. It
// returns when every in-flight call has ended and its outcome is written or
// forwarded, or with an error when ctx ends first.
func (p *Pool) Drain(ctx context.Context) error {
	p.mu.Lock()
	p.draining = true
	shards := make([]*shard, 0, len(p.shards))
	for _, s := range p.shards {
		shards = append(shards, s)
	}
	p.mu.Unlock()
	for _, s := range shards {
		p.running.Go(func() { s.drain(ctx) })
	}
	counters := []*workCounter{&p.work}
	if p.config.Forward != nil {
		counters = append(counters, &p.orphanWork)
	}
	for _, counter := range counters {
		select {
		case <-counter.idle():
		case <-ctx.Done():
			return fmt.Errorf("claim: drain: %w", ctx.Err())
		}
	}
	return nil
}

// drain waits for the shard's work to end, for at most drainGrace, and releases
// the shard. If commits fail when the grace period ends, it keeps waiting for
// the work: no other daemon could take over the shard meanwhile.
func (s *shard) drain(ctx context.Context) {
	if s.pool.config.Release == nil {
		return
	}
	timer := time.NewTimer(drainGrace)
	defer timer.Stop()
	grace := timer.C
	for waiting := true; waiting; {
		select {
		case <-s.work.idle():
			waiting = false
		case <-grace:
			waiting = s.areCommitsFailing()
			grace = nil
		case <-ctx.Done():
			return
		}
	}
	if err := s.pool.config.Release(ctx, s.number); err != nil {
		s.log.Warn("releasing a drained shard failed", "error", err)
	}
}

func (s *shard) areCommitsFailing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commitsFailing
}

// RecordSettlements records outcomes that another daemon received after it had
// lost the shard. It returns false if this daemon does not own the shard or has
// not loaded it.
func (p *Pool) RecordSettlements(number string, settlements []Settlement) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.recordSettlementsLocked(number, settlements)
}

// recordSettlementsLocked implements RecordSettlements. The caller holds mu.
func (p *Pool) recordSettlementsLocked(number string, settlements []Settlement) bool {
	s := p.shards[number]
	return s != nil && s.recordSettlements(settlements)
}

// recordOrKeep records outcomes of a lost shard if this daemon owns the shard
// again. Otherwise it keeps them, up to maxOrphans, until they are forwarded or
// this daemon gains the shard.
func (p *Pool) recordOrKeep(number string, settlements []Settlement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(settlements) == 0 || p.recordSettlementsLocked(number, settlements) {
		return
	}
	room := max(maxOrphans-p.orphanCount, 0)
	if dropped := len(settlements) - room; dropped > 0 {
		p.log.Warn("too many outcomes kept for lost shards; dropping some", "shard", number, "count", dropped)
		settlements = settlements[:room]
	}
	p.orphans[number] = append(p.orphans[number], settlements...)
	p.countOrphans(len(settlements))
	if p.config.Forward != nil && !p.forwarding {
		p.forwarding = true
		p.running.Go(p.forwardOrphans)
	}
}

// countOrphans adds n to the number of kept outcomes. The caller holds mu.
func (p *Pool) countOrphans(n int) {
	p.orphanCount += n
	p.orphanWork.add(n)
}

// popOrphans removes the outcomes kept for a shard and passes them to apply. It
// holds mu during that call: an outcome that arrives later finds the shard
// loaded and is recorded there.
func (p *Pool) popOrphans(number string, apply func([]Settlement)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	settlements := p.orphans[number]
	delete(p.orphans, number)
	apply(settlements)
	p.countOrphans(-len(settlements))
}

// forwardOrphans forwards the kept outcomes to the current owners of their
// shards until none is left or the pool is stopped.
func (p *Pool) forwardOrphans() {
	for p.forwardAll() {
		if !clock.Sleep(p.ctx, forwardRetryInterval) {
			return
		}
	}
}

// forwardAll makes one forwarding attempt for each shard. It returns false if no
// outcome is left.
func (p *Pool) forwardAll() bool {
	for number, settlements := range p.copyOrphans() {
		ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
		err := p.config.Forward(ctx, number, settlements)
		cancel()
		if err != nil {
			p.log.Debug("forwarding outcomes to the shard's owner failed; retrying later", "shard", number, "error", err)
			continue
		}
		p.removeOrphans(number, settlements)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forwarding = p.orphanCount > 0
	return p.forwarding
}

func (p *Pool) copyOrphans() map[string][]Settlement {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := make(map[string][]Settlement, len(p.orphans))
	for number, settlements := range p.orphans {
		left[number] = settlements[:len(settlements):len(settlements)]
	}
	return left
}

// removeOrphans removes forwarded outcomes from those kept for a shard.
func (p *Pool) removeOrphans(number string, forwarded []Settlement) {
	type claimCommit struct {
		id  ID
		seq uint64
	}
	done := make(map[claimCommit]bool, len(forwarded))
	for _, outcome := range forwarded {
		done[claimCommit{outcome.ID, outcome.Seq}] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var left []Settlement
	for _, outcome := range p.orphans[number] {
		if !done[claimCommit{outcome.ID, outcome.Seq}] {
			left = append(left, outcome)
		}
	}
	dropped := len(p.orphans[number]) - len(left)
	p.orphans[number] = left
	if len(left) == 0 {
		delete(p.orphans, number)
	}
	p.countOrphans(-dropped)
}
