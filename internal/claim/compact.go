package claim

import (
	"context"
	"time"
)

// Limits of compaction.
const (
	// defaultCompactAfter is the number of small segments that start a compaction.
	defaultCompactAfter = 64
	// smallSegmentBytes is the size below which a segment is compacted.
	smallSegmentBytes = maxSegmentBytes / 2
	// maxDeletes bounds the keys deleted by one commit; the key-value service
	// bounds the operations of a transaction.
	maxDeletes = 100
)

// segmentRef describes a stored segment without its records.
type segmentRef struct {
	seq     uint64
	bytes   int
	expires int64
	// ids lists the claims of a small segment. Large segments are never
	// compacted, only deleted once all of their claims have expired.
	ids []ID
}

// segmentList lists the stored segments of a shard in the order of their writes.
type segmentList struct {
	small []segmentRef
	large []segmentRef
}

// add appends a segment to the small or the large ones, by its size. Its records
// may be of several claims and in any state.
func (l *segmentList) add(seq uint64, bytes int, records []Record) {
	ref := segmentRef{seq: seq, bytes: bytes}
	for _, r := range records {
		ref.expires = max(ref.expires, r.Expires)
	}
	if bytes >= smallSegmentBytes {
		l.large = append(l.large, ref)
		return
	}
	ref.ids = make([]ID, len(records))
	for i, r := range records {
		ref.ids[i] = r.ID
	}
	l.small = append(l.small, ref)
}

// oldestSmall returns the oldest small segments that together fit in one
// segment.
func (l *segmentList) oldestSmall() []segmentRef {
	bytes := 0
	n := 0
	for n < len(l.small) && n < maxDeletes && bytes+l.small[n].bytes <= maxSegmentBytes {
		bytes += l.small[n].bytes
		n++
	}
	return l.small[:n]
}

// seqs returns the sequence numbers of all segments.
func (l *segmentList) seqs() []uint64 {
	seqs := make([]uint64, 0, len(l.large)+len(l.small)+1)
	for _, refs := range [][]segmentRef{l.large, l.small} {
		for _, ref := range refs {
			seqs = append(seqs, ref.seq)
		}
	}
	return seqs
}

// expired returns up to maxDeletes segments in which every claim has expired.
func (l *segmentList) expired(now time.Time) []uint64 {
	var seqs []uint64
	for _, refs := range [][]segmentRef{l.large, l.small} {
		for _, ref := range refs {
			if ref.expires <= now.Unix() && len(seqs) < maxDeletes {
				seqs = append(seqs, ref.seq)
			}
		}
	}
	return seqs
}

// excludeFromCompaction moves a small segment to the large ones.
func (l *segmentList) excludeFromCompaction(ref segmentRef) {
	l.small = withoutSeqs(l.small, map[uint64]bool{ref.seq: true})
	ref.ids = nil
	l.large = append(l.large, ref)
}

// remove removes deleted segments from the list.
func (l *segmentList) remove(seqs []uint64) {
	deleted := make(map[uint64]bool, len(seqs))
	for _, seq := range seqs {
		deleted[seq] = true
	}
	l.small = withoutSeqs(l.small, deleted)
	l.large = withoutSeqs(l.large, deleted)
}

func withoutSeqs(refs []segmentRef, deleted map[uint64]bool) []segmentRef {
	var kept []segmentRef
	for _, ref := range refs {
		if !deleted[ref.seq] {
			kept = append(kept, ref)
		}
	}
	return kept
}

// compact deletes expired segments or, if there are none, merges the oldest
// small ones into one. It makes at most one commit, to keep claims from waiting
// long.
func (s *shard) compact(ctx context.Context) commitStatus {
	var records []Record
	deletes := s.segments.expired(s.pool.config.Now())
	if len(deletes) == 0 {
		if len(s.segments.small) < s.pool.config.compactAfter {
			return commitDone
		}
		records, deletes = s.mergeSmall()
		if len(deletes) == 0 {
			return commitDone
		}
	}
	remaining := s.segments
	remaining.remove(deletes)
	liveSegments := remaining.seqs()
	if len(records) > 0 {
		liveSegments = append(liveSegments, s.seq+1)
	}
	w, err := s.store.newWrite(s.seq+1, s.headRevision, records, deletes, liveSegments)
	if err != nil {
		s.log.Error("encoding a compaction failed; segments stay as they are", "error", err)
		return commitDone
	}
	status := s.commitWithRetry(ctx, w)
	if status == commitDone {
		s.segments = remaining
		if len(records) > 0 {
			s.segments.add(w.seq, len(w.segment), records)
		}
	}
	return status
}

// mergeSmall returns the live records of the oldest small segments, as many as
// fit in one, and the sequence numbers of these segments.
func (s *shard) mergeSmall() (records []Record, seqs []uint64) {
	candidates := s.segments.oldestSmall()
	included := make(map[ID]bool)
	var bytes int64
	for _, ref := range candidates {
		live := s.liveRecords(ref, included)
		size := sizeOf(live)
		if len(seqs) == 0 && size > maxSegmentBytes {
			// The current records exceed a segment because later commits
			// added large outcomes. Keep this segment until its claims expire.
			s.segments.excludeFromCompaction(ref)
			return nil, nil
		}
		if bytes+size > maxSegmentBytes {
			break
		}
		bytes += size
		records = append(records, live...)
		seqs = append(seqs, ref.seq)
	}
	return records, seqs
}

func sizeOf(records []Record) int64 {
	var bytes int64
	for _, r := range records {
		bytes += r.size()
	}
	return bytes
}

// liveRecords returns the current record of each unexpired claim in the segment
// that is not in included yet, and adds it there. A record may contain an
// outcome that has not been written yet.
func (s *shard) liveRecords(ref segmentRef, included map[ID]bool) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.pool.config.Now()
	var records []Record
	for _, id := range ref.ids {
		record, ok := s.ledger.Record(id)
		if !ok || included[id] || record.isExpired(now) {
			continue
		}
		included[id] = true
		records = append(records, record)
	}
	return records
}
