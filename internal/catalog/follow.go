package catalog

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/infra"
)

const (
	// pollInterval is the longest time between two reads of the head while the
	// watch is open. The reads show that the service is reachable and detect a
	// service that was restored without an event on the watch.
	pollInterval = time.Minute
	// maxFetchDelay bounds the random delay before a daemon reads chunks that are
	// not inlined in the head. Most daemons get them from a peer meanwhile.
	maxFetchDelay = 2 * time.Second
	// serviceTimeout bounds reading and adopting one head of the service.
	serviceTimeout = 10 * time.Second
)

const sourceService = "key-value service"

// fetchAndAssemble fetches the missing chunks of a head from the service and
// assembles its state.
func (s *Store) fetchAndAssemble(ctx context.Context, h Head, raw []byte) (*generationState, error) {
	before := s.current.Load()
	data, err := fetchChunks(ctx, s.cfg.KV, before.missingChunks(h))
	if err != nil {
		return nil, err
	}
	return before.assemble(h, raw, data)
}

// followService reads and watches the head until ctx ends, and reopens a failed
// watch with backoff.
func (s *Store) followService(ctx context.Context) {
	pause := minRetryPause
	for ctx.Err() == nil {
		startedAt := time.Now()
		err := s.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		if time.Since(startedAt) > maxRetryPause {
			pause = minRetryPause
		}
		s.cfg.Log.Warn("watch ended", "error", err)
		clock.Sleep(ctx, jitter(pause))
		pause = min(2*pause, maxRetryPause)
	}
}

// errWatchClosed means that the watch's channel was closed without an error.
var errWatchClosed = errors.New("watch closed")

// watch reads the head, then applies each change until the watch fails.
func (s *Store) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	at, err := s.pollHead(ctx, position{})
	if err != nil {
		return err
	}
	batches, err := s.cfg.KV.Watch(ctx, HeadKey, at.revision+1)
	if err != nil {
		return err
	}
	// If the service is restored before the watch is open, the watch does not
	// fail, and the head of a fork may have the same revision as the head read
	// above, so the head is read again in full.
	if at, err = s.rereadHead(ctx, at); err != nil {
		return err
	}
	ticker := time.NewTicker(min(pollInterval, s.cfg.StaleBound/4))
	defer ticker.Stop()
	for {
		select {
		case batch, open := <-batches:
			if !open {
				return errWatchClosed
			}
			if err := s.applyBatch(ctx, batch); err != nil {
				return err
			}
			at = at.advance(batch)
		case <-ticker.C:
			polled, err := s.pollHead(ctx, at)
			if err != nil {
				return err
			}
			if polled.revision < at.revision {
				return errRevisionDecreased
			}
			at = polled
		}
	}
}

// rereadHead reads the head even if its revision equals that of the position,
// and returns the new position.
func (s *Store) rereadHead(ctx context.Context, at position) (position, error) {
	polled, err := s.pollHead(ctx, position{})
	if err != nil {
		return position{}, err
	}
	if polled.revision < at.revision {
		return position{}, errRevisionDecreased
	}
	return polled, nil
}

// errRevisionDecreased means that the service was restored from an old state, so
// the watch may wait for revisions that never occur.
var errRevisionDecreased = errors.New("the key-value service's revision decreased")

// position is the last state read from the service: its revision and the
// revision of the last change of the head, which is 0 if there is no head or
// none was read.
type position struct {
	revision int64
	head     int64
}

// advance returns the position after the events of a batch.
func (p position) advance(batch infra.WatchBatch) position {
	p.revision = max(p.revision, batch.Revision)
	for _, event := range batch.Events {
		if event.Entry.Key != HeadKey {
			continue
		}
		p.head = event.Entry.ModRevision
		if event.Deleted {
			p.head = 0
		}
	}
	return p
}

// pollHead reads the head if it changed since the position, and applies it.
func (s *Store) pollHead(ctx context.Context, last position) (position, error) {
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	read, changed, err := readHeadAfter(ctx, s.cfg.KV, last.head)
	var malformed *HeadError
	isMalformed := errors.As(err, &malformed)
	if err != nil && !isMalformed {
		return position{}, err
	}
	s.lastContact.record()
	if isMalformed {
		s.cfg.Log.Error("configuration head in the key-value service is malformed; ignoring it", "error", err)
		return position{read.revision, read.modRevision}, nil
	}
	if !changed && last.head != 0 {
		return position{read.revision, last.head}, nil
	}
	return position{read.revision, read.modRevision}, s.applyHead(ctx, read)
}

func (s *Store) applyBatch(ctx context.Context, batch infra.WatchBatch) error {
	if batch.Err != nil {
		return batch.Err
	}
	s.lastContact.record()
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	for _, event := range batch.Events {
		if event.Entry.Key != HeadKey {
			continue
		}
		if err := s.applyEvent(ctx, event, batch.Revision); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) applyEvent(ctx context.Context, event infra.WatchEvent, revision int64) error {
	if event.Deleted {
		return s.applyHead(ctx, storedHead{revision: revision})
	}
	read, err := parseHead(event.Entry, revision)
	if err != nil {
		s.cfg.Log.Error("configuration head in the key-value service is malformed; ignoring it", "error", err)
		return nil
	}
	return s.applyHead(ctx, read)
}

// applyHead adopts a newer head of the service, and reports an older or forked
// one as a regression.
func (s *Store) applyHead(ctx context.Context, read storedHead) error {
	if !read.exists() && s.Generation() == 0 {
		return nil
	}
	switch s.compareHead(read.head) {
	case newer:
		return s.applyNewer(ctx, read)
	case same:
		s.lastReport.Store(nil)
	case older:
		return s.confirmRegression(ctx)
	case forked:
		s.reportRegression(read.head, "service shows other contents under the generation in force", sourceService)
	}
	return nil
}

// applyNewer adopts a newer head of the service. Chunks that are not inlined in
// the head are read from the service after a random delay, unless the
// generation is adopted from a peer first.
func (s *Store) applyNewer(ctx context.Context, read storedHead) error {
	missing := s.current.Load().missingChunks(read.head)
	if len(missing) > 0 && len(s.shuffledPeers()) > 0 {
		if !clock.Sleep(ctx, rand.N(maxFetchDelay)) {
			return ctx.Err()
		}
		if s.compareHead(read.head) != newer {
			return nil
		}
	}
	built, err := s.fetchAndAssemble(ctx, read.head, read.raw)
	if err != nil {
		return err
	}
	s.adopt(built, sourceService)
	return nil
}

// confirmRegression reads the head again before it reports a regression: the
// observed head may date from before the generation in force was accepted, which
// this daemon then adopted from a peer. The read starts after that adoption, so
// an older head in its response means that the service was restored from an old
// state.
func (s *Store) confirmRegression(ctx context.Context) error {
	inForce := s.Generation()
	read, err := readHead(ctx, s.cfg.KV)
	if err != nil {
		return err
	}
	if read.head.Generation < inForce {
		s.reportRegression(read.head, "service shows an older generation", sourceService)
		notify(s.restoreRequests)
	}
	return nil
}
