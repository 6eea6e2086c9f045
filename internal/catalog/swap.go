package catalog

import (
	"context"
	"errors"

	"github.com/barleylift/barleylift/internal/infra"
)

// swap replaces the head by compare-and-swap on its revision. It also compares
// GarbageCollectionKey, so it fails if unused chunks were deleted after the apply
// determined which chunks to upload.
type swap struct {
	kv       infra.KV
	before   storedHead
	gcMarker infra.Entry
	next     Head
	raw      []byte
}

// swapResult is the outcome of a swap.
type swapResult struct {
	accepted bool
	// chunksDeleted is set if the head is unchanged but chunks were deleted.
	chunksDeleted bool
}

// txn returns the transaction; its else branch reads the head.
func (s swap) txn() infra.Txn {
	return infra.Txn{
		If: []infra.Compare{
			infra.ModifiedAt(HeadKey, s.before.modRevision),
			infra.ModifiedAt(GarbageCollectionKey, s.gcMarker.ModRevision),
		},
		Then: []infra.Op{infra.Put(HeadKey, s.raw)},
		Else: []infra.Op{infra.Read(HeadKey)},
	}
}

// run swaps the head. After an ambiguous failure it sends the same transaction
// again: if the first one took effect, the repeated one finds the head changed,
// and the nonce in the head or its history identifies the apply.
func (s swap) run(ctx context.Context) (swapResult, error) {
	ambiguous := false
	call := func() (infra.TxnResult, error) {
		result, err := s.kv.Txn(ctx, s.txn())
		var failed *infra.Error
		if errors.As(err, &failed) && failed.Kind == infra.Ambiguous {
			ambiguous = true
		}
		return result, err
	}
	result, err := retry(ctx, call)
	if err != nil && ambiguous {
		return swapResult{}, &UnknownOutcomeError{Generation: s.next.Generation, Err: err}
	}
	if err != nil {
		return swapResult{}, err
	}
	if result.Succeeded {
		return swapResult{accepted: true}, nil
	}
	return s.resolveOutcome(result, ambiguous)
}

// resolveOutcome searches for the nonce in the head that the transaction read
// when its comparison failed.
func (s swap) resolveOutcome(result infra.TxnResult, ambiguous bool) (swapResult, error) {
	read, err := headFromTxn(result)
	if err != nil {
		return swapResult{}, &UnknownOutcomeError{Generation: s.next.Generation, Err: err}
	}
	if _, ok := read.head.findNonce(s.next.Nonce); ok {
		return swapResult{accepted: true}, nil
	}
	if ambiguous && read.head.Generation > s.next.Generation+historyLength {
		return swapResult{}, &UnknownOutcomeError{Generation: s.next.Generation, Err: &ConflictError{Base: s.before.head.Generation, InForce: read.head.Generation}}
	}
	return swapResult{chunksDeleted: read.modRevision == s.before.modRevision}, nil
}

// headFromTxn returns the head that the first read of a transaction returned.
func headFromTxn(result infra.TxnResult) (storedHead, error) {
	if len(result.Reads) == 0 || len(result.Reads[0]) == 0 {
		return storedHead{revision: result.Revision}, nil
	}
	return parseHead(result.Reads[0][0], result.Revision)
}
