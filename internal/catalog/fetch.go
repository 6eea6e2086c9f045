package catalog

import (
	"context"
	"strings"

	"github.com/barleylift/barleylift/internal/infra"
	"golang.org/x/sync/errgroup"
)

// chunkKeyDigits are the possible first digits of a chunk's hash in hex. Reading
// all chunks by one range for each digit takes 16 calls and keeps each response
// small.
const chunkKeyDigits = "0123456789abcdef"

// fetchChunks reads chunks from the key-value service: up to 16 by single reads,
// more by range reads. A missing chunk gives a *ChunkError.
func fetchChunks(ctx context.Context, kv infra.KV, hashes []Hash) (map[Hash][]byte, error) {
	if len(hashes) > len(chunkKeyDigits) {
		return fetchRanges(ctx, kv, hashes)
	}
	values := make([][]byte, len(hashes))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelTransfers)
	for i, hash := range hashes {
		group.Go(func() error {
			entry, err := kv.Get(ctx, chunkKey(hash))
			if err == nil && !entry.Exists() {
				err = &ChunkError{Hash: hash, Reason: "not in the key-value service"}
			}
			values[i] = entry.Value
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	data := make(map[Hash][]byte, len(hashes))
	for i, hash := range hashes {
		data[hash] = values[i]
	}
	return data, nil
}

// fetchRanges reads all stored chunks by ranges and returns the requested ones.
func fetchRanges(ctx context.Context, kv infra.KV, hashes []Hash) (map[Hash][]byte, error) {
	results := make([]infra.RangeResult, len(chunkKeyDigits))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelTransfers)
	for i, digit := range chunkKeyDigits {
		group.Go(func() (err error) {
			results[i], err = kv.Range(ctx, ChunkPrefix+string(digit))
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	stored := make(map[string][]byte)
	for _, result := range results {
		for _, entry := range result.Entries {
			stored[strings.TrimPrefix(entry.Key, ChunkPrefix)] = entry.Value
		}
	}
	data := make(map[Hash][]byte, len(hashes))
	for _, hash := range hashes {
		value, ok := stored[hash.String()]
		if !ok {
			return nil, &ChunkError{Hash: hash, Reason: "not in the key-value service"}
		}
		data[hash] = value
	}
	return data, nil
}
