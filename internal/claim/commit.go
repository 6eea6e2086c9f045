package claim

import (
	"context"
	"errors"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/clock"
)

// Pauses between two tries of a call to the key-value service.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// maxBatchBytes bounds the estimated bytes of the records in one commit.
const maxBatchBytes = maxSegmentBytes

// run loads the shard and commits until ctx ends or the shard is fenced off.
func (s *shard) run(ctx context.Context) {
	defer s.markReady()
	for ctx.Err() == nil {
		if !s.load(ctx) {
			return
		}
		s.markReady()
		if s.serve(ctx) == commitFenced {
			s.log.Warn("shard is fenced off")
			s.stop()
			return
		}
	}
}

func (s *shard) markReady() {
	select {
	case <-s.ready:
	default:
		close(s.ready)
	}
}

// load reads the shard until it succeeds. A shard that cannot be decoded is
// not served: to serve it without some claims could run a call twice.
func (s *shard) load(ctx context.Context) bool {
	backoff := minBackoff
	for {
		found, err := s.store.load(ctx)
		if err == nil {
			s.install(found)
			return true
		}
		var storage *StorageError
		if errors.As(err, &storage) {
			s.log.Error("shard not loaded", "error", err)
		}
		if !clock.Sleep(ctx, backoff) {
			return false
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// install merges what was stored into the ledger. A shard that is loaded again
// keeps what this daemon committed and knows better.
func (s *shard) install(found stored) {
	now := s.pool.config.Now()
	s.segments = segmentList{}
	s.seq = max(s.seq, found.head.Seq)
	s.headRevision = found.headRevision
	for _, segment := range found.segments {
		s.segments.add(segment.seq, segment.bytes, segment.records)
	}
	s.pool.takeOrphans(s.number, func(orphans []Settlement) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endUnsent()
		for _, segment := range found.segments {
			s.restore(segment.records, now)
		}
		s.loaded = true
		for _, outcome := range orphans {
			s.record(outcome)
		}
		s.log.Info("shard loaded", "claims", s.ledger.Len(), "segments", len(found.segments), "token", int64(s.token))
	})
}

// restore merges stored records. The caller holds mu.
func (s *shard) restore(records []Record, now time.Time) {
	for _, record := range records {
		s.ledger.Restore(record, now)
	}
}

// endUnsent ends the flights whose claims are not known to be committed. The
// caller holds mu.
func (s *shard) endUnsent() {
	for _, f := range s.flights {
		if f.stage < stageSending {
			s.ledger.Withdraw(f.id)
			s.end(f, call.Answer{}, notOwner())
		}
	}
	s.queue = nil
}

// serve commits what is queued until ctx ends or a commit finds the shard
// changed by another hand; it returns the status that ended it.
func (s *shard) serve(ctx context.Context) commitStatus {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return commitUntouched
		case <-sweep.C:
			s.forget()
		case <-s.wake:
		}
		if !s.pace(ctx) {
			return commitUntouched
		}
		status := s.commitQueued(ctx)
		if status == commitDone {
			status = s.compact(ctx)
		}
		if status == commitFenced || status == commitOvertaken {
			return status
		}
		if status != commitDone && !clock.Sleep(ctx, minBackoff) {
			return status
		}
	}
}

// pace waits until the next commit may be made. Outcomes alone wait for one
// interval, so that they share the commit of claims that come meanwhile. It
// returns false if ctx ended.
func (s *shard) pace(ctx context.Context) bool {
	linger := time.NewTimer(s.pool.config.CommitInterval)
	defer linger.Stop()
	for {
		claims, outcomes := s.waiting()
		if claims {
			return s.limiter.Wait(ctx) == nil
		}
		if !outcomes {
			return ctx.Err() == nil
		}
		select {
		case <-linger.C:
			return s.limiter.Wait(ctx) == nil
		case <-s.wake:
		case <-ctx.Done():
			return false
		}
	}
}

// waiting reports whether claims and outcomes are to be committed.
func (s *shard) waiting() (claims, outcomes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) > 0, len(s.records) > 0
}

// batch is the content of one commit.
type batch struct {
	flights []*flight
	records []Record
	started time.Time
}

// commitQueued commits the queued claims and outcomes, as many as fit.
func (s *shard) commitQueued(ctx context.Context) commitStatus {
	if !s.holds() {
		return s.waitForLease()
	}
	b, records := s.takeBatch()
	if len(records) == 0 {
		return commitDone
	}
	w, err := s.store.newWrite(s.seq+1, s.headRevision, records, nil, append(s.segments.seqs(), s.seq+1))
	if err != nil {
		s.log.Error("commit not encoded", "error", err)
		s.putBack(b)
		return commitUntouched
	}
	status := s.try(ctx, w)
	if status == commitDone {
		s.pool.config.Metrics.ClaimBatch(len(records))
		s.segments.add(w.seq, len(w.segment), records)
		s.committed(b)
		return status
	}
	s.putBack(b)
	return status
}

// waitForLease leaves the queue as it is while the lease is not known valid.
func (s *shard) waitForLease() commitStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 && len(s.records) == 0 {
		return commitDone
	}
	s.markDown(true)
	s.notify()
	return commitUntouched
}

// takeBatch takes queued outcomes and claims, up to maxBatchBytes.
func (s *shard) takeBatch() (batch, []Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := batch{started: s.pool.config.Now()}
	var bytes int64
	n := 0
	for n < len(s.records) && bytes < maxBatchBytes-MaxRecordedAnswerBytes {
		bytes += s.records[n].size()
		n++
	}
	b.records = append(b.records, s.records[:n]...)
	s.records = append([]Record(nil), s.records[n:]...)
	s.writing = b.records
	records := append([]Record(nil), b.records...)
	m := 0
	for m < len(s.queue) && bytes < maxBatchBytes-MaxRecordedAnswerBytes {
		f := s.queue[m]
		m++
		record, ok := s.ledger.Prepare(f.id, s.seq+1)
		if f.stage != stageQueued || !ok {
			continue
		}
		f.stage = stageCommitting
		f.seq = record.Seq
		b.flights = append(b.flights, f)
		records = append(records, record)
		bytes += record.size()
	}
	s.queue = append([]*flight(nil), s.queue[m:]...)
	if len(s.queue) > 0 || len(s.records) > 0 {
		s.notify()
	}
	return b, records
}

// try tries a write until it is settled, or surely took no effect.
func (s *shard) try(ctx context.Context, w *write) commitStatus {
	ambiguous := false
	backoff := minBackoff
	for {
		status, revision, err := s.store.commit(ctx, w)
		switch {
		case status == commitDone:
			s.seq = w.seq
			s.headRevision = revision
			return status
		case status == commitFenced || status == commitOvertaken:
			return status
		case status == commitUntouched && !ambiguous:
			s.log.Debug("commit took no effect", "error", err)
			return status
		}
		ambiguous = true
		s.setDown(true)
		if !clock.Sleep(ctx, backoff) {
			return commitAmbiguous
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (s *shard) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markDown(down)
}

// markDown notes whether commits take effect. The caller holds mu.
func (s *shard) markDown(down bool) {
	if down != s.down {
		s.log.Info("commits changed", "failing", down)
	}
	s.down = down
}

// committed sends the calls of a commit that took effect, and releases those
// whose callers have all left.
func (s *shard) committed(b batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markDown(false)
	if s.lost {
		// stop has ended the flights and kept the records.
		return
	}
	s.writing = nil
	s.count(-len(b.records))
	late := clock.Elapsed(b.started, s.pool.config.Now()) > maxSendDelay
	for _, f := range b.flights {
		if !s.ledger.Commit(f.id) {
			panic("claim: a prepared claim was not pending at its commit")
		}
		if f.waiters == 0 || late {
			s.record(Settlement{ID: f.id, Seq: f.seq, State: Released})
			s.end(f, call.Answer{}, s.notInTime(call.CodeDeadline))
			continue
		}
		f.stage = stageSending
		s.pool.running.Go(func() { s.send(f) })
	}
}

// putBack queues the content of a commit that surely took no effect again.
func (s *shard) putBack(b batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markDown(true)
	if s.lost {
		return
	}
	s.writing = nil
	s.records = append(b.records, s.records...)
	var queue []*flight
	for _, f := range b.flights {
		if f.waiters == 0 {
			s.ledger.Withdraw(f.id)
			s.end(f, call.Answer{}, s.notInTime(call.CodeDeadline))
			continue
		}
		f.stage = stageQueued
		queue = append(queue, f)
	}
	s.queue = append(queue, s.queue...)
	if len(s.queue) > 0 || len(s.records) > 0 {
		s.notify()
	}
}

// forget drops expired claims from memory.
func (s *shard) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.RemoveExpired(s.pool.config.Now())
}
