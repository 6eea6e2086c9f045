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
	// pollInterval is the time between two reads of the head beside the watch.
	// They prove that the service is reachable and find a restored service
	// whose watch stayed silent.
	pollInterval = time.Minute
	// maxFetchDelay is the time over which daemons spread the reading of chunks
	// that do not travel within the head. Most get them from a peer meanwhile.
	maxFetchDelay = 2 * time.Second
	// serviceTimeout bounds the taking over of one head from the service.
	serviceTimeout = 10 * time.Second
)

const sourceService = "key-value service"

// fetchAndAssemble fetches what is missing of a head from the service and assembles it.
func (s *Store) fetchAndAssemble(ctx context.Context, h Head, raw []byte) (*generationState, error) {
	before := s.current.Load()
	data, err := fetchChunks(ctx, s.cfg.KV, before.missingChunks(h))
	if err != nil {
		return nil, err
	}
	return before.assemble(h, raw, data)
}

// followService reads the head and watches it, until ctx ends.
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

// errWatchClosed means that the watch's channel was closed without a cause.
var errWatchClosed = errors.New("watch closed")

// watch reads the head, then takes over each change until the watch breaks.
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
	// A restore before the watch was open does not break it, and a fork may
	// have the very revision of the head that was read before.
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

// rereadHead reads the head in full, whether or not its revision is that of the
// position, and returns the new position.
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
// that the watch waits for revisions which may never come.
var errRevisionDecreased = errors.New("the service's revision fell")

// position is how far the service was followed: its revision, and the revision
// at which the head was last changed; 0 when there is none or nothing is known.
type position struct {
	revision int64
	head     int64
}

// advance returns the position advance the changes of a batch.
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

// pollHead reads the head if it changed since the position, and takes it over.
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
		s.cfg.Log.Error("head in the service is malformed", "error", err)
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
		s.cfg.Log.Error("head in the service is malformed", "error", err)
		return nil
	}
	return s.applyHead(ctx, read)
}

// applyHead adopts a newer head of the service and raises the alarm about one that
// would go back.
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

// applyNewer adopts a newer head of the service. Chunks that the head lacks
// are read from the service unless a peer brings the generation first.
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

// confirmRegression reads the head again before it raises the alarm: what was seen
// may be from before the generation in force was accepted, which this daemon
// then has from a peer. The read begins after that, so an older head in its
// answer means that the service went back.
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
