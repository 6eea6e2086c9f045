package catalog

import (
	"context"
	"strings"

	"github.com/barleylift/barleylift/internal/infra"
)

const (
	// gcInterval is the number of generations between two deletions of unused
	// chunks.
	gcInterval = 64
	// gcBatchSize bounds the deletions in one transaction.
	gcBatchSize = 100
)

// collectGarbage deletes chunks that the head does not reference, once every
// gcInterval generations. Each transaction compares the head's revision, so it
// never deletes a chunk of the head in force. It also changes
// GarbageCollectionKey, which makes a concurrent apply that relied on a deleted
// chunk start over. A daemon that still reads the chunks of an older head finds
// one missing and reads the newer head. Chunks that remain after a failure are
// deleted by the next garbage collection.
func (a Applier) collectGarbage(ctx context.Context, applied Head) {
	if applied.Generation%gcInterval != 0 {
		return
	}
	read, err := readHead(ctx, a.KV)
	if err != nil || read.head.Generation != applied.Generation {
		return
	}
	stored, err := a.KV.Range(ctx, ChunkPrefix)
	if err != nil {
		return
	}
	unused := unusedChunkKeys(stored.Entries, read.head)
	for len(unused) > 0 {
		n := min(len(unused), gcBatchSize)
		if !a.deleteChunks(ctx, read, unused[:n]) {
			return
		}
		unused = unused[n:]
	}
}

func unusedChunkKeys(entries []infra.Entry, head Head) []string {
	used := make(map[string]bool, len(head.Chunks))
	for _, ref := range head.Chunks {
		used[chunkKey(ref.Hash)] = true
	}
	var unused []string
	for _, entry := range entries {
		if strings.HasPrefix(entry.Key, ChunkPrefix) && !used[entry.Key] {
			unused = append(unused, entry.Key)
		}
	}
	return unused
}

func (a Applier) deleteChunks(ctx context.Context, read storedHead, keys []string) bool {
	txn := infra.Txn{
		If:   []infra.Compare{infra.ModifiedAt(HeadKey, read.modRevision)},
		Then: []infra.Op{infra.Put(GarbageCollectionKey, newNonce())},
	}
	for _, key := range keys {
		txn.Then = append(txn.Then, infra.Delete(key))
	}
	result, err := a.KV.Txn(ctx, txn)
	return err == nil && result.Succeeded
}
