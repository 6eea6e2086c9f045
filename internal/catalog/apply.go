package catalog

import (
	"context"
	"fmt"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/infra"
)

const (
	// maxApplyAttempts bounds the attempts of one apply; each concurrent
	// deletion of unused chunks makes it start over.
	maxApplyAttempts = 4
	// DefaultRestoreWait is how long an apply waits for the daemons to restore
	// a newer generation into the key-value service.
	DefaultRestoreWait = 20 * time.Second
	// restorePollInterval is the time between two reads of the head during that wait.
	restorePollInterval = time.Second
)

// ApplyResult is the outcome of a successful apply.
type ApplyResult struct {
	// Generation is the generation in force that holds the contents.
	Generation uint64 `json:"generation"`
	// Unchanged is set when the contents were already in force, so no generation
	// was created.
	Unchanged bool `json:"unchanged"`
	// Uploaded is the number of chunks that were written.
	Uploaded int `json:"uploaded"`
	// Bytes is the total size of the chunks that differ from the previous generation.
	Bytes int `json:"bytes"`
}

// ConflictError means that another operator applied a generation meanwhile.
type ConflictError struct {
	// Base is the generation that the apply was based on.
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
	// Stored is the generation that the key-value service holds.
	Stored uint64
	// InForce is the highest generation that daemons have in force.
	InForce uint64
}

// Error names both generations.
func (e *RegressionError) Error() string {
	return fmt.Sprintf("the key-value service shows generation %d, but daemons hold generation %d: it was restored from an old state and the daemons have not restored the newer one yet; apply again", e.Stored, e.InForce)
}

// UnknownOutcomeError means that it could not be determined whether the apply
// took effect. Applying the same contents again is safe.
type UnknownOutcomeError struct {
	Generation uint64
	Err        error
}

// Error names the generation, the cause and the remedy.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("not known whether generation %d was accepted: %v; apply the same directory again", e.Generation, e.Err)
}

// Unwrap returns the last failure.
func (e *UnknownOutcomeError) Unwrap() error {
	return e.Err
}

// Applier applies configurations to the key-value service.
type Applier struct {
	KV infra.KV
	// HighestInForce returns the highest generation that daemons have in force,
	// or 0 when there is no daemon. It guards against a key-value service that
	// was restored from an old state. Nil disables the check.
	HighestInForce func(ctx context.Context) (uint64, error)
	// RestoreWait is how long to wait for daemons to restore a newer
	// generation into the key-value service; 0 means no wait.
	RestoreWait time.Duration
}

// Apply makes contents the accepted configuration without checking the
// generation that daemons have in force. See Applier.Apply.
func Apply(ctx context.Context, kv infra.KV, contents Contents, base *uint64) (ApplyResult, error) {
	return Applier{KV: kv}.Apply(ctx, contents, base)
}

// Apply uploads the changed chunks and replaces the head by compare-and-swap.
// The contents must have passed Check. If base is not nil, it must be the
// generation in force. Errors are *ConflictError, *RegressionError,
// *UnknownOutcomeError, *TooLargeError or *infra.Error.
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

// readCurrent reads the head and checks that no daemon holds a newer one. The
// head is read before the daemons are queried: a restore in between changes
// the head's revision, and the later swap fails.
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

// commit stores the chunks as the generation that follows before.
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
	applied := ApplyResult{Bytes: size}
	for range maxApplyAttempts {
		gcMarker, err := retry(ctx, func() (infra.Entry, error) { return a.KV.Get(ctx, GarbageCollectionKey) })
		if err != nil {
			return ApplyResult{}, err
		}
		uploaded, err := uploadChunks(ctx, a.KV, added)
		if err != nil {
			return ApplyResult{}, err
		}
		applied.Uploaded += uploaded
		swap := swap{kv: a.KV, before: before, gcMarker: gcMarker, next: next, raw: raw}
		result, err := swap.run(ctx)
		if err != nil {
			return ApplyResult{}, err
		}
		if result.accepted {
			applied.Generation = next.Generation
			a.collectGarbage(ctx, next)
			return applied, nil
		}
		if !result.chunksDeleted {
			break
		}
	}
	return ApplyResult{}, a.conflictError(ctx, before)
}

// conflictError reads the head again and returns the conflict with it.
func (a Applier) conflictError(ctx context.Context, before storedHead) error {
	read, err := retry(ctx, func() (storedHead, error) { return readHead(ctx, a.KV) })
	if err != nil {
		return err
	}
	return &ConflictError{Base: before.head.Generation, InForce: read.head.Generation}
}
