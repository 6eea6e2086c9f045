package catalog

import (
	"context"
	"errors"

	"github.com/barleylift/barleylift/internal/infra"
)

// swap replaces the head by compare-and-swap on its revision. It also compares
// the collection key, so that it fails if unused chunks were deleted after the
// apply looked which ones it has to upload.
type swap struct {
	kv         infra.KV
	before     inService
	collection infra.Entry
	following  Head
	raw        []byte
}

// swapResult tells how a swap ended.
type swapResult struct {
	accepted bool
	// collected tells that the head is unchanged but chunks were deleted.
	collected bool
}

// txn returns the transaction; its else branch reads the head.
func (s swap) txn() infra.Txn {
	return infra.Txn{
		If: []infra.Compare{
			infra.ModifiedAt(HeadKey, s.before.modRevision),
			infra.ModifiedAt(GarbageCollectionKey, s.collection.ModRevision),
		},
		Then: []infra.Op{infra.Put(HeadKey, s.raw)},
		Else: []infra.Op{infra.Read(HeadKey)},
	}
}

// run swaps the head. After an ambiguous failure it sends the same
// transaction again: whichever of them took effect, the other finds the head
// changed, and the nonce in the head or its history tells whose change it was.
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
		return swapResult{}, &UnknownOutcomeError{Generation: s.following.Generation, Err: err}
	}
	if err != nil {
		return swapResult{}, err
	}
	if result.Succeeded {
		return swapResult{accepted: true}, nil
	}
	return s.settle(result, ambiguous)
}

// settle looks for the nonce in the head that the failed comparison read.
func (s swap) settle(result infra.TxnResult, ambiguous bool) (swapResult, error) {
	read, err := headOf(result)
	if err != nil {
		return swapResult{}, &UnknownOutcomeError{Generation: s.following.Generation, Err: err}
	}
	if _, ok := read.head.accepted(s.following.Nonce); ok {
		return swapResult{accepted: true}, nil
	}
	if ambiguous && read.head.Generation > s.following.Generation+historyLength {
		return swapResult{}, &UnknownOutcomeError{Generation: s.following.Generation, Err: &ConflictError{Base: s.before.head.Generation, InForce: read.head.Generation}}
	}
	return swapResult{collected: read.modRevision == s.before.modRevision}, nil
}

// headOf returns the head that the first operation of a transaction read.
func headOf(result infra.TxnResult) (inService, error) {
	if len(result.Reads) == 0 || len(result.Reads[0]) == 0 {
		return inService{revision: result.Revision}, nil
	}
	return parseHead(result.Reads[0][0], result.Revision)
}
