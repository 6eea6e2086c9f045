package claim

import (
	"context"
	"errors"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/clock"
)

// Bounds of the exponential backoff between attempts of a call to the
// key-value service.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// maxBatchBytes bounds the estimated bytes of the records in one commit.
const maxBatchBytes = maxSegmentBytes

// run loads the shard and commits claims and outcomes until ctx ends or the
// shard is fenced. If the head has changed, it loads the shard again.
func (s *shard) run(ctx context.Context) {
	defer s.markReady()
	for ctx.Err() == nil {
		if !s.load(ctx) {
			return
		}
		s.markReady()
		if s.commitLoop(ctx) == commitFenced {
			s.log.Warn("commit fenced: the shard has another owner or none; stopping the shard")
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

// load reads the shard, retrying until it succeeds or ctx ends. A shard that
// cannot be decoded is not served, because a missing claim could let a call run
// twice.
func (s *shard) load(ctx context.Context) bool {
	backoff := minBackoff
	for {
		found, err := s.store.load(ctx)
		if err == nil {
			s.mergeStored(found)
			return true
		}
		var storage *StorageError
		if errors.As(err, &storage) {
			s.log.Error("stored shard is missing data or cannot be decoded; retrying the load", "error", err)
		}
		if !clock.Sleep(ctx, backoff) {
			return false
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// mergeStored merges a stored shard into the ledger. When a shard is loaded
// again, records in memory that are newer than the stored ones are kept.
func (s *shard) mergeStored(found storedShard) {
	now := s.pool.config.Now()
	s.segments = segmentList{}
	s.seq = max(s.seq, found.head.Seq)
	s.headRevision = found.headRevision
	for _, segment := range found.segments {
		s.segments.add(segment.seq, segment.bytes, segment.records)
	}
	s.pool.popOrphans(s.number, func(orphans []Settlement) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.failUnsent()
		for _, segment := range found.segments {
			s.restore(segment.records, now)
		}
		s.loaded = true
		for _, outcome := range orphans {
			s.recordSettlement(outcome)
		}
		s.log.Info("shard loaded", "claims", s.ledger.Len(), "segments", len(found.segments), "token", int64(s.token))
	})
}

// restore merges stored records into the ledger. The caller holds mu.
func (s *shard) restore(records []Record, now time.Time) {
	for _, record := range records {
		s.ledger.Restore(record, now)
	}
}

// failUnsent ends the in-flight calls whose claims are not known to be
// committed. The caller holds mu.
func (s *shard) failUnsent() {
	for _, f := range s.inflight {
		if f.stage < stageSending {
			s.ledger.Withdraw(f.id)
			s.finish(f, call.KeyedResponse{}, notOwner())
		}
	}
	s.queue = nil
}

// commitLoop commits queued claims and outcomes until ctx ends or a commit finds
// that the shard's owner or head has changed. It returns the status that ended
// it.
func (s *shard) commitLoop(ctx context.Context) commitStatus {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return commitNoEffect
		case <-sweep.C:
			s.removeExpired()
		case <-s.wake:
		}
		if !s.waitToCommit(ctx) {
			return commitNoEffect
		}
		status := s.commitQueued(ctx)
		if status == commitDone {
			status = s.compact(ctx)
		}
		if status == commitFenced || status == commitHeadChanged {
			return status
		}
		if status != commitDone && !clock.Sleep(ctx, minBackoff) {
			return status
		}
	}
}

// waitToCommit waits until the rate limit admits the next commit. If only
// outcomes are queued, it first waits up to one commit interval for claims to
// share the commit with. It returns false if ctx ended.
func (s *shard) waitToCommit(ctx context.Context) bool {
	linger := time.NewTimer(s.pool.config.CommitInterval)
	defer linger.Stop()
	for {
		claims, outcomes := s.queued()
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

// queued reports whether claims and whether outcomes wait to be committed.
func (s *shard) queued() (claims, outcomes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) > 0, len(s.records) > 0
}

// batch is the content of one commit.
type batch struct {
	calls   []*inflightCall
	records []Record
	started time.Time
}

// commitQueued commits as many queued claims and outcomes as fit in one commit.
func (s *shard) commitQueued(ctx context.Context) commitStatus {
	if !s.holds() {
		return s.deferCommit()
	}
	b, records := s.popBatch()
	if len(records) == 0 {
		return commitDone
	}
	w, err := s.store.newWrite(s.seq+1, s.headRevision, records, nil, append(s.segments.seqs(), s.seq+1))
	if err != nil {
		s.log.Error("encoding a commit failed; its claims and outcomes stay queued", "error", err)
		s.requeue(b)
		return commitNoEffect
	}
	status := s.commitWithRetry(ctx, w)
	if status == commitDone {
		s.pool.config.Metrics.ClaimBatch(len(records))
		s.segments.add(w.seq, len(w.segment), records)
		s.handleCommitted(b)
		return status
	}
	s.requeue(b)
	return status
}

// deferCommit leaves the queues unchanged while the lease is not known to be
// valid, and schedules another attempt.
func (s *shard) deferCommit() commitStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 && len(s.records) == 0 {
		return commitDone
	}
	s.setCommitsFailingLocked(true)
	s.notify()
	return commitNoEffect
}

// popBatch removes queued outcomes and claims of up to maxBatchBytes from the
// queues and returns them with the records to write.
func (s *shard) popBatch() (batch, []Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := batch{started: s.pool.config.Now()}
	var bytes int64
	n := 0
	for n < len(s.records) && bytes < maxBatchBytes-MaxRecordedResponseBytes {
		bytes += s.records[n].size()
		n++
	}
	b.records = append(b.records, s.records[:n]...)
	s.records = append([]Record(nil), s.records[n:]...)
	s.writing = b.records
	records := append([]Record(nil), b.records...)
	m := 0
	for m < len(s.queue) && bytes < maxBatchBytes-MaxRecordedResponseBytes {
		f := s.queue[m]
		m++
		record, ok := s.ledger.Prepare(f.id, s.seq+1)
		if f.stage != stageQueued || !ok {
			continue
		}
		f.stage = stageCommitting
		f.seq = record.Seq
		b.calls = append(b.calls, f)
		records = append(records, record)
		bytes += record.size()
	}
	s.queue = append([]*inflightCall(nil), s.queue[m:]...)
	if len(s.queue) > 0 || len(s.records) > 0 {
		s.notify()
	}
	return b, records
}

// commitWithRetry retries a write until its status is definite or ctx ends. It
// returns commitNoEffect only if no attempt can have taken effect.
func (s *shard) commitWithRetry(ctx context.Context, w *write) commitStatus {
	ambiguous := false
	backoff := minBackoff
	for {
		status, revision, err := s.store.commit(ctx, w)
		switch {
		case status == commitDone:
			s.seq = w.seq
			s.headRevision = revision
			return status
		case status == commitFenced || status == commitHeadChanged:
			return status
		case status == commitNoEffect && !ambiguous:
			s.log.Debug("commit took no effect", "error", err)
			return status
		}
		ambiguous = true
		s.setCommitsFailing(true)
		if !clock.Sleep(ctx, backoff) {
			return commitAmbiguous
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (s *shard) setCommitsFailing(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setCommitsFailingLocked(failing)
}

// setCommitsFailingLocked records whether commits currently fail. The caller
// holds mu.
func (s *shard) setCommitsFailingLocked(failing bool) {
	if failing != s.commitsFailing {
		s.log.Info("commit status changed", "failing", failing)
	}
	s.commitsFailing = failing
}

// handleCommitted sends the calls of a commit that took effect, and releases the
// claims whose callers have all left or that were committed too late to be sent.
func (s *shard) handleCommitted(b batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setCommitsFailingLocked(false)
	if s.stopped {
		// stop has ended the calls and handed the records to the pool.
		return
	}
	s.writing = nil
	s.addWork(-len(b.records))
	late := clock.Elapsed(b.started, s.pool.config.Now()) > maxSendDelay
	for _, f := range b.calls {
		if !s.ledger.Commit(f.id) {
			panic("claim: a prepared claim was not pending at its commit")
		}
		if f.waiters == 0 || late {
			s.recordSettlement(Settlement{ID: f.id, Seq: f.seq, State: Released})
			s.finish(f, call.KeyedResponse{}, s.notCommittedResult(call.CodeDeadline))
			continue
		}
		f.stage = stageSending
		s.pool.running.Go(func() { s.send(f) })
	}
}

// requeue puts the content of a failed commit back at the front of the queues.
// Calls that no caller waits for end instead.
func (s *shard) requeue(b batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setCommitsFailingLocked(true)
	if s.stopped {
		return
	}
	s.writing = nil
	s.records = append(b.records, s.records...)
	var queue []*inflightCall
	for _, f := range b.calls {
		if f.waiters == 0 {
			s.ledger.Withdraw(f.id)
			s.finish(f, call.KeyedResponse{}, s.notCommittedResult(call.CodeDeadline))
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

// removeExpired removes expired claims from memory.
func (s *shard) removeExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.RemoveExpired(s.pool.config.Now())
}
