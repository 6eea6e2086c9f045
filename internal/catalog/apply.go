package catalog

import (
	"context"
	"fmt"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/infra"
)

const (
	// maxApplyAttempts bounds how often one apply starts over because unused
	// chunks were deleted meanwhile.
	maxApplyAttempts = 4
	// DefaultRestoreWait is how long an apply waits for the daemons to restore
	// a newer generation into the key-value service.
	DefaultRestoreWait = 20 * time.Second
	// restorePollInterval is the time between two looks at the head meanwhile.
	restorePollInterval = time.Second
)

// ApplyResult tells what an apply did.
type ApplyResult struct {
	// Generation is the generation in force that holds the contents.
	Generation uint64 `json:"generation"`
	// Unchanged tells that the contents were in force already; no generation was made.
	Unchanged bool `json:"unchanged"`
	// Uploaded is the number of chunks that were written.
	Uploaded int `json:"uploaded"`
	// Bytes is the size of the chunks that differ from the generation before.
	Bytes int `json:"bytes"`
}

// ConflictError means that another operator's generation is in force.
type ConflictError struct {
	// Base is the generation that the apply was meant to follow.
	Base uint64
	// InForce is the generation that the key-value service holds.
	InForce uint64
}

// Error names both generations.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: the change was made on generation %d, but generation %d is in force", e.Base, e.InForce)
}

// RegressionError means that daemons hold a newer generation than the
// key-value service, which was restored from an old state.
type RegressionError struct {
	Stored  uint64
	InForce uint64
}

// Error names both generations.
func (e *RegressionError) Error() string {
	return fmt.Sprintf("the key-value service shows generation %d, but daemons hold generation %d: it was restored from an old state and the daemons have not restored the newer one yet; apply again", e.Stored, e.InForce)
}

// UnknownOutcomeError means that it could not be learnt whether the apply took
// effect. Applying the same contents again is safe.
type UnknownOutcomeError struct {
	Generation uint64
	Err        error
}

// Error tells what to do.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("not known whether generation %d was accepted: %v; apply the same directory again", e.Generation, e.Err)
}

// Unwrap returns the last failure.
func (e *UnknownOutcomeError) Unwrap() error {
	return e.Err
}

// Applier makes configurations the accepted one.
type Applier struct {
	KV infra.KV
	// HighestInForce returns the highest generation that daemons have in force, or 0
	// when there is no daemon. It guards against a key-value service that was
	// restored from an old state. Nil means no witness.
	HighestInForce func(ctx context.Context) (uint64, error)
	// RestoreWait is how long to wait for daemons to restore a newer
	// generation into the key-value service; 0 means not at all.
	RestoreWait time.Duration
}

// Apply makes contents the accepted configuration without a witness. See
// Applier.Apply.
func Apply(ctx context.Context, kv infra.KV, contents Contents, base *uint64) (ApplyResult, error) {
	return Applier{KV: kv}.Apply(ctx, contents, base)
}

// Apply uploads the chunks that changed and swaps the head by
// compare-and-swap. The contents must have passed Check. With a base, the
// generation in force must be that one. Errors are *ConflictError,
// *RegressionError, *UnsettledError, *TooLargeError or *infra.Error.
func (a Applier) Apply(ctx context.Context, contents Contents, base *uint64) (ApplyResult, error) {
	chunks, err := split(contents)
	if err != nil {
		return ApplyResult{}, err
	}
	before, err := a.readCurrent(ctx)
	if err != nil {
		return ApplyResult{}, err
	}
	if base != nil && *base != before.head.Generation {
		return ApplyResult{}, &ConflictError{Base: *base, InForce: before.head.Generation}
	}
	return a.commit(ctx, before, chunks)
}

// readCurrent reads the head and makes sure that no daemon holds a newer one. The
// head is read before the daemons are asked: a restore in between changes the
// head's revision, so that the swap fails.
func (a Applier) readCurrent(ctx context.Context) (storedHead, error) {
	deadline := time.Now().Add(a.RestoreWait)
	for {
		read, err := retry(ctx, func() (storedHead, error) { return readHead(ctx, a.KV) })
		if err != nil || a.HighestInForce == nil {
			return read, err
		}
		inForce, err := a.HighestInForce(ctx)
		if err != nil {
			return storedHead{}, err
		}
		if inForce <= read.head.Generation {
			return read, nil
		}
		if !time.Now().Before(deadline) || !clock.Sleep(ctx, restorePollInterval) {
			return storedHead{}, &RegressionError{Stored: read.head.Generation, InForce: inForce}
		}
	}
}

// commit makes the chunks the generation after before.
func (a Applier) commit(ctx context.Context, before storedHead, chunks []chunk) (ApplyResult, error) {
	next := before.head.next(chunks)
	if before.exists() && next.contentID() == before.head.contentID() {
		return ApplyResult{Generation: before.head.Generation, Unchanged: true}, nil
	}
	raw, err := next.encode()
	if err != nil {
		return ApplyResult{}, err
	}
	added, size := before.head.newChunks(chunks)
	accepted := ApplyResult{Bytes: size}
	for range maxApplyAttempts {
		gcMarker, err := retry(ctx, func() (infra.Entry, error) { return a.KV.Get(ctx, GarbageCollectionKey) })
		if err != nil {
			return ApplyResult{}, err
		}
		uploaded, err := uploadChunks(ctx, a.KV, added)
		if err != nil {
			return ApplyResult{}, err
		}
		accepted.Uploaded += uploaded
		swap := swap{kv: a.KV, before: before, gcMarker: gcMarker, next: next, raw: raw}
		result, err := swap.run(ctx)
		if err != nil {
			return ApplyResult{}, err
		}
		if result.accepted {
			accepted.Generation = next.Generation
			a.collectGarbage(ctx, next)
			return accepted, nil
		}
		if !result.chunksDeleted {
			break
		}
	}
	return ApplyResult{}, a.conflictError(ctx, before)
}

func (a Applier) conflictError(ctx context.Context, before storedHead) error {
	read, err := retry(ctx, func() (storedHead, error) { return readHead(ctx, a.KV) })
	if err != nil {
		return err
	}
	return &ConflictError{Base: before.head.Generation, InForce: read.head.Generation}
}
