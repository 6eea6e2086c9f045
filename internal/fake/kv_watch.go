package fake

import (
	"context"
	"slices"
	"strings"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/infra"
)

// watcher is one open watch with an unbounded queue. Its fields are guarded by KV.mu.
type watcher struct {
	prefix string
	from   int64
	queue  []infra.WatchBatch
	wake   chan struct{}
}

// Watch implements infra.KV.
func (s *KV) Watch(ctx context.Context, prefix string, from int64) (<-chan infra.WatchBatch, error) {
	if err := s.admit(ctx, "watch", &s.calls.Watch, readLimiter); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if infra.EraOf(from) != infra.EraOf(s.revision) {
		return nil, &infra.Error{Op: "watch", Kind: infra.EraChanged, Err: errCompacted}
	}
	if from <= s.compacted {
		return nil, &infra.Error{Op: "watch", Kind: infra.Compacted, Err: errCompacted}
	}
	w := &watcher{prefix: prefix, from: from, wake: make(chan struct{}, 1)}
	for _, batch := range s.history {
		s.deliver(w, batch)
	}
	s.watchers[w] = struct{}{}
	out := make(chan infra.WatchBatch)
	go s.run(ctx, w, out)
	return out, nil
}

// deliver queues the matching events for a watch. The caller holds s.mu.
func (s *KV) deliver(w *watcher, batch infra.WatchBatch) {
	if batch.Revision < w.from || s.faults.watchesStalled {
		return
	}
	var events []infra.WatchEvent
	for _, e := range batch.Events {
		if strings.HasPrefix(e.Entry.Key, w.prefix) {
			e.Entry = clone(e.Entry)
			events = append(events, e)
			s.calls.WatchBytes += size(e.Entry)
		}
	}
	if len(events) > 0 {
		w.push(infra.WatchBatch{Events: events, Revision: batch.Revision})
	}
}

func (w *watcher) push(batch infra.WatchBatch) {
	w.queue = append(w.queue, batch)
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run sends batches from the queue to the channel until the watch breaks or ctx ends.
func (s *KV) run(ctx context.Context, w *watcher, out chan<- infra.WatchBatch) {
	defer close(out)
	defer s.removeWatcher(w)
	for {
		for _, batch := range s.drainQueue(w) {
			select {
			case out <- batch:
			case <-ctx.Done():
				return
			}
			if batch.Err != nil || !s.pauseWatch(ctx) {
				return
			}
		}
		select {
		case <-w.wake:
		case <-ctx.Done():
			return
		}
	}
}

// pauseWatch waits for the time between two batches, and reports whether ctx is still active.
func (s *KV) pauseWatch(ctx context.Context) bool {
	s.mu.Lock()
	pause := s.faults.watchPause
	s.mu.Unlock()
	return pause == 0 || clock.Sleep(ctx, pause)
}

func (s *KV) drainQueue(w *watcher) []infra.WatchBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := w.queue
	w.queue = nil
	return queue
}

func (s *KV) removeWatcher(w *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watchers, w)
}

// BreakWatches ends all watches with an error.
func (s *KV) BreakWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breakWatches()
}

// breakWatches ends all watches with an error. The caller holds s.mu.
func (s *KV) breakWatches() {
	for w := range s.watchers {
		w.push(infra.WatchBatch{Err: &infra.Error{Op: "watch", Kind: infra.Unavailable, Err: errDown}})
		delete(s.watchers, w)
	}
}

// truncateHistory removes the revisions after the given one. The caller holds s.mu.
func (s *KV) truncateHistory(revision int64) {
	s.history = slices.DeleteFunc(s.history, func(b infra.WatchBatch) bool { return b.Revision > revision })
}
