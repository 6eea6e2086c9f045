package catalog

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/infra"
)

// maxRestoreDelay bounds the random delay before a daemon restores a newer
// generation. Most daemons then find it already restored by another one.
const maxRestoreDelay = 4 * time.Second

// restoreOnRequest writes the generation in force back to the service whenever
// the service was found to hold an older one.
func (s *Store) restoreOnRequest(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.restoreRequests:
		}
		if !clock.Sleep(ctx, rand.N(maxRestoreDelay)) {
			return
		}
		if err := s.restoreGeneration(ctx); err != nil && ctx.Err() == nil {
			s.cfg.Log.Warn("could not restore the generation in force to the service", "error", err)
			notify(s.restoreRequests)
		}
	}
}

// restoreGeneration writes the head in force, unchanged, by compare-and-swap on
// the revision of the older head. A lost response is harmless, since every daemon
// writes the same head.
func (s *Store) restoreGeneration(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	read, err := readHead(ctx, s.cfg.KV)
	var malformed *HeadError
	if err != nil && !errors.As(err, &malformed) {
		return err
	}
	st := s.current.Load()
	if read.head.Generation >= st.head.Generation {
		return nil
	}
	gcMarker, err := s.cfg.KV.Get(ctx, GarbageCollectionKey)
	if err != nil {
		return err
	}
	if _, err := uploadChunks(ctx, s.cfg.KV, st.chunks()); err != nil {
		return err
	}
	result, err := s.cfg.KV.Txn(ctx, infra.Txn{
		If: []infra.Compare{
			infra.ModifiedAt(HeadKey, read.modRevision),
			infra.ModifiedAt(GarbageCollectionKey, gcMarker.ModRevision),
		},
		Then: []infra.Op{infra.Put(HeadKey, st.raw)},
	})
	if err != nil {
		return err
	}
	if result.Succeeded {
		s.cfg.Log.Warn("restored the generation in force to the service", "generation", st.head.Generation, "was", read.head.Generation)
		return nil
	}
	notify(s.restoreRequests)
	return nil
}

// chunks returns all chunks of the state in their encoded form.
func (s *generationState) chunks() []chunk {
	chunks := make([]chunk, len(s.head.Chunks))
	for i, ref := range s.head.Chunks {
		chunks[i] = chunk{ref, s.data[ref.Hash]}
	}
	return chunks
}
