package catalog

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/infra"
	"golang.org/x/sync/errgroup"
)

const (
	// maxParallelTransfers bounds the chunks that are read or written at once.
	maxParallelTransfers = 4
	// minRetryPause and maxRetryPause bound the pause between two attempts of a
	// call to the key-value service. It doubles after each attempt.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 2 * time.Second
	// maxRetryAttempts bounds the attempts of one idempotent call.
	maxRetryAttempts = 6
)

// storedHead is the head as stored in the key-value service.
type storedHead struct {
	head        Head
	raw         []byte
	modRevision int64
	// revision is the service's revision at which the head was read.
	revision int64
}

// exists reports whether the service holds a head.
func (s storedHead) exists() bool {
	return s.modRevision != 0
}

// readHead reads the head and the service's current revision.
func readHead(ctx context.Context, kv infra.KV) (storedHead, error) {
	result, err := kv.Range(ctx, HeadKey)
	if err != nil {
		return storedHead{}, err
	}
	for _, entry := range result.Entries {
		if entry.Key == HeadKey {
			return parseHead(entry, result.Revision)
		}
	}
	return storedHead{revision: result.Revision}, nil
}

// readHeadAfter reads the head only if its modification revision differs from
// modRevision, which is 0 if there was no head. changed reports whether it does.
func readHeadAfter(ctx context.Context, kv infra.KV, modRevision int64) (read storedHead, changed bool, err error) {
	result, err := kv.Txn(ctx, infra.Txn{
		If:   []infra.Compare{infra.ModifiedAt(HeadKey, modRevision)},
		Else: []infra.Op{infra.Read(HeadKey)},
	})
	if err != nil {
		return storedHead{}, false, err
	}
	if result.Succeeded {
		return storedHead{revision: result.Revision}, false, nil
	}
	read, err = headFromTxn(result)
	return read, true, err
}

func parseHead(entry infra.Entry, revision int64) (storedHead, error) {
	head, err := decodeHead(entry.Value)
	return storedHead{head: head, raw: entry.Value, modRevision: entry.ModRevision, revision: revision}, err
}

// ReadHead returns the head that the key-value service holds; ok is false if it
// holds none.
func ReadHead(ctx context.Context, kv infra.KV) (head Head, ok bool, err error) {
	read, err := readHead(ctx, kv)
	return read.head, read.exists(), err
}

// ReadContents returns the contents and the number of the generation that the
// key-value service holds; generation 0 means that there is none.
func ReadContents(ctx context.Context, kv infra.KV) (Contents, uint64, error) {
	read, err := readHead(ctx, kv)
	if err != nil || !read.exists() {
		return Contents{}, 0, err
	}
	var none *generationState
	data, err := fetchChunks(ctx, kv, none.missingChunks(read.head))
	if err != nil {
		return Contents{}, 0, err
	}
	built, err := none.assemble(read.head, read.raw, data)
	if err != nil {
		return Contents{}, 0, err
	}
	return built.snapshot.Contents, read.head.Generation, nil
}

// uploadChunks writes the chunks that the key-value service lacks and returns
// how many were written. A chunk's key is its hash, so a write is idempotent and
// can be repeated after a lost response.
func uploadChunks(ctx context.Context, kv infra.KV, chunks []chunk) (written int, err error) {
	wrote := make([]bool, len(chunks))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelTransfers)
	for i, c := range chunks {
		group.Go(func() error {
			key := chunkKey(c.ref.Hash)
			txn := infra.Txn{
				If:   []infra.Compare{infra.Absent(key)},
				Then: []infra.Op{infra.Put(key, c.data)},
			}
			result, err := retry(ctx, func() (infra.TxnResult, error) { return kv.Txn(ctx, txn) })
			wrote[i] = result.Succeeded
			return err
		})
	}
	err = group.Wait()
	for _, w := range wrote {
		if w {
			written++
		}
	}
	return written, err
}

// retry repeats an idempotent call after transient errors of the key-value
// service, with exponential backoff.
func retry[T any](ctx context.Context, call func() (T, error)) (T, error) {
	pause := minRetryPause
	for attempt := 1; ; attempt++ {
		result, err := call()
		if err == nil || !transient(err) || attempt == maxRetryAttempts {
			return result, err
		}
		if !clock.Sleep(ctx, jitter(pause)) {
			return result, err
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// transient reports whether a repeated call may succeed.
func transient(err error) bool {
	var failed *infra.Error
	if !errors.As(err, &failed) {
		return false
	}
	return failed.Kind == infra.Unavailable || failed.Kind == infra.Ambiguous
}

// jitter returns a random duration between 0.75 d and 1.25 d.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}
