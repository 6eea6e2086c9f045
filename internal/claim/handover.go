package claim

import (
	"context"
	"fmt"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
)

const (
	// drainGrace is how long a shard that is drained waits for the calls under
	// way before it is released; their outcomes are forwarded then.
	drainGrace = 2 * time.Second
	// forwardPause is the time between two tries to forward outcomes.
	forwardPause = 500 * time.Millisecond
)

// Settlement is the outcome of one committed claim.
type Settlement struct {
	ID ID `cbor:"1,keyasint"`
	// Seq is the commit sequence number of the claim.
	Seq   uint64 `cbor:"2,keyasint"`
	State State  `cbor:"3,keyasint"`
	// Answer is the encoded answer of a claim that is Answered.
	Answer []byte `cbor:"4,keyasint,omitempty"`
}

// Drain refuses new claims and releases each shard as soon as its calls have
// ended and their outcomes are written, or after a short grace. It waits until
// every call under way has ended and its outcome is written or forwarded, and
// returns the error of ctx if that ends before.
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

// drain waits for the shard's work and releases the shard. While commits fail
// nobody could take the shard over, so that it is kept until they succeed.
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
			waiting = s.commitsFail()
			grace = nil
		case <-ctx.Done():
			return
		}
	}
	if err := s.pool.config.Release(ctx, s.number); err != nil {
		s.log.Warn("shard not released", "error", err)
	}
}

func (s *shard) commitsFail() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// RecordSettlements takes outcomes that another daemon learned after it lost the shard. It
// returns false if this daemon does not own the shard or has not loaded it.
func (p *Pool) RecordSettlements(number string, settlements []Settlement) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.adoptHere(number, settlements)
}

// adoptHere is Adopt. The caller holds mu.
func (p *Pool) adoptHere(number string, settlements []Settlement) bool {
	s := p.shards[number]
	return s != nil && s.adopt(settlements)
}

// adopt gives outcomes of a lost shard to the shard's present run at this
// daemon, or keeps them for its next one or its next owner.
func (p *Pool) adopt(number string, settlements []Settlement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(settlements) == 0 || p.adoptHere(number, settlements) {
		return
	}
	room := max(maxOrphans-p.orphanCount, 0)
	if dropped := len(settlements) - room; dropped > 0 {
		p.log.Warn("outcomes dropped", "shard", number, "count", dropped)
		settlements = settlements[:room]
	}
	p.orphans[number] = append(p.orphans[number], settlements...)
	p.countOrphans(len(settlements))
	if p.config.Forward != nil && !p.forwarding {
		p.forwarding = true
		p.running.Go(p.forwardOrphans)
	}
}

// countOrphans changes the number of kept outcomes. The caller holds mu.
func (p *Pool) countOrphans(n int) {
	p.orphanCount += n
	p.orphanWork.add(n)
}

// takeOrphans calls loaded with the outcomes kept for a shard. It holds mu
// meanwhile, so that no outcome is kept after the shard could adopt it itself.
func (p *Pool) takeOrphans(number string, loaded func([]Settlement)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	settlements := p.orphans[number]
	delete(p.orphans, number)
	loaded(settlements)
	p.countOrphans(-len(settlements))
}

// forwardOrphans hands the kept outcomes to the present owners until none is
// left or the pool is stopped.
func (p *Pool) forwardOrphans() {
	for p.forwardAll() {
		if !clock.Sleep(p.ctx, forwardPause) {
			return
		}
	}
}

// forwardAll tries each shard once. It returns false if nothing is left.
func (p *Pool) forwardAll() bool {
	for number, settlements := range p.orphansLeft() {
		ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
		err := p.config.Forward(ctx, number, settlements)
		cancel()
		if err != nil {
			p.log.Debug("outcomes not forwarded", "shard", number, "error", err)
			continue
		}
		p.dropOrphans(number, settlements)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forwarding = p.orphanCount > 0
	return p.forwarding
}

func (p *Pool) orphansLeft() map[string][]Settlement {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := make(map[string][]Settlement, len(p.orphans))
	for number, settlements := range p.orphans {
		left[number] = settlements[:len(settlements):len(settlements)]
	}
	return left
}

// dropOrphans forgets outcomes that were forwarded.
func (p *Pool) dropOrphans(number string, forwarded []Settlement) {
	type claimed struct {
		id  ID
		seq uint64
	}
	done := make(map[claimed]bool, len(forwarded))
	for _, outcome := range forwarded {
		done[claimed{outcome.ID, outcome.Seq}] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var left []Settlement
	for _, outcome := range p.orphans[number] {
		if !done[claimed{outcome.ID, outcome.Seq}] {
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
