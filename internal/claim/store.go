package claim

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/fxamacker/cbor/v2"
)

// Keys of the key-value service.
const (
	keyPrefix   = "claims/"
	headName    = "head"
	ownerPrefix = "owners/" + string(ownership.KindClaim) + "/"
)

// callTimeout bounds one call to the key-value service, and one forwarding of
// outcomes to another daemon.
const callTimeout = 2 * time.Second

// maxSegmentBytes bounds the value of a segment. It leaves room below the 1 MB
// that the key-value service accepts in one transaction.
const maxSegmentBytes = 512 << 10

var errMissing = errors.New("the segment is missing")

// store reads and writes one shard's keys in the key-value service.
type store struct {
	kv    infra.KV
	shard string
	token ownership.Token
}

func (s *store) prefix() string {
	return keyPrefix + s.shard + "/"
}

func (s *store) headKey() string {
	return s.prefix() + headName
}

func (s *store) segmentKey(seq uint64) string {
	return fmt.Sprintf("%s%016x", s.prefix(), seq)
}

// storedShard is the stored content of a shard.
type storedShard struct {
	head         head
	headRevision int64
	segments     []storedSegment
}

type storedSegment struct {
	seq     uint64
	bytes   int
	records []Record
}

// load reads the whole shard, one key at a time, because a shard may exceed the
// size limit of one response of the key-value service. Earlier owners cannot
// commit in between, because this owner has created the shard's owner key anew.
func (s *store) load(ctx context.Context) (storedShard, error) {
	var found storedShard
	entry, err := s.get(ctx, s.headKey())
	if err != nil || !entry.Exists() {
		return found, err
	}
	found.headRevision = entry.ModRevision
	if found.head, err = decodeHead(entry.Key, entry.Value); err != nil {
		return storedShard{}, err
	}
	for _, seq := range found.head.Segments {
		segment, err := s.loadSegment(ctx, seq)
		if err != nil {
			return storedShard{}, err
		}
		found.segments = append(found.segments, segment)
	}
	return found, nil
}

func (s *store) loadSegment(ctx context.Context, seq uint64) (storedSegment, error) {
	entry, err := s.get(ctx, s.segmentKey(seq))
	if err != nil {
		return storedSegment{}, err
	}
	if !entry.Exists() {
		return storedSegment{}, &StorageError{Key: s.segmentKey(seq), Err: errMissing}
	}
	decoded, err := decodeSegment(entry.Key, entry.Value)
	if err != nil {
		return storedSegment{}, err
	}
	return storedSegment{seq: seq, bytes: len(entry.Value), records: decoded.Records}, nil
}

func (s *store) get(ctx context.Context, key string) (infra.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.kv.Get(ctx, key)
}

// write is one commit: a new segment, the deletion of old ones, or both.
type write struct {
	seq   uint64
	nonce string
	// headRevision is the head key's revision that the commit must follow.
	headRevision int64
	head         []byte
	segmentKey   string
	segment      []byte
	deletes      []string
}

// newWrite encodes a commit. Without records it only deletes segments. The
// argument segments lists those that are live after the commit, including its
// own.
func (s *store) newWrite(seq uint64, headRevision int64, records []Record, deletes, segments []uint64) (*write, error) {
	w := &write{seq: seq, nonce: rand.Text(), headRevision: headRevision}
	for _, old := range deletes {
		w.deletes = append(w.deletes, s.segmentKey(old))
	}
	var err error
	next := head{Seq: seq, Nonce: w.nonce, Token: int64(s.token), Segments: segments}
	if w.head, err = cbor.Marshal(next); err != nil {
		return nil, err
	}
	if len(records) == 0 {
		return w, nil
	}
	w.segmentKey = s.segmentKey(seq)
	w.segment, err = cbor.Marshal(segment{Records: records})
	return w, err
}

// commitStatus is the result of a commit attempt.
type commitStatus int

// The statuses of a commit.
const (
	// commitDone means that the commit took effect.
	commitDone commitStatus = iota
	// commitNoEffect means that this attempt took no effect.
	commitNoEffect
	// commitAmbiguous means that the commit may have taken effect or still may.
	commitAmbiguous
	// commitFenced means that the shard has another owner or none.
	commitFenced
	// commitHeadChanged means that the head key has changed since it was read.
	commitHeadChanged
)

// commit attempts a write once. The same write may be attempted again after any
// status: it compares the head's revision, so at most one attempt takes effect,
// and an attempt that finds its own nonce in the head reports that an earlier
// one did. After commitDone, the returned revision is that of the head.
func (s *store) commit(ctx context.Context, w *write) (commitStatus, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := s.kv.Txn(ctx, s.txn(w))
	if err != nil {
		return statusOfError(err), 0, err
	}
	if result.Succeeded {
		return commitDone, result.Revision, nil
	}
	return s.resolveFailedCompare(w, result)
}

func (s *store) txn(w *write) infra.Txn {
	owner := ownerPrefix + s.shard
	txn := infra.Txn{
		If:   []infra.Compare{infra.CreatedAt(owner, int64(s.token)), infra.ModifiedAt(s.headKey(), w.headRevision)},
		Then: []infra.Op{infra.Put(s.headKey(), w.head)},
		Else: []infra.Op{infra.Read(owner), infra.Read(s.headKey())},
	}
	if w.segmentKey != "" {
		txn.Then = append(txn.Then, infra.Put(w.segmentKey, w.segment))
	}
	for _, key := range w.deletes {
		txn.Then = append(txn.Then, infra.Delete(key))
	}
	return txn
}

// resolveFailedCompare returns the status of a transaction whose comparison
// failed, based on the owner and head keys that it read.
func (s *store) resolveFailedCompare(w *write, result infra.TxnResult) (commitStatus, int64, error) {
	if len(result.Reads) != 2 {
		return commitAmbiguous, 0, &StorageError{Key: s.headKey(), Err: errors.New("reads are missing in the reply")}
	}
	if len(result.Reads[1]) == 1 {
		entry := result.Reads[1][0]
		found, err := decodeHead(entry.Key, entry.Value)
		if err != nil {
			return commitAmbiguous, 0, err
		}
		if found.Nonce == w.nonce {
			return commitDone, entry.ModRevision, nil
		}
	}
	owner := result.Reads[0]
	if len(owner) != 1 || owner[0].CreateRevision != int64(s.token) {
		return commitFenced, 0, nil
	}
	return commitHeadChanged, 0, nil
}

// statusOfError returns the status of a commit that failed with an error of the
// key-value service.
func statusOfError(err error) commitStatus {
	var failure *infra.Error
	if errors.As(err, &failure) && failure.Kind != infra.Ambiguous {
		return commitNoEffect
	}
	return commitAmbiguous
}
