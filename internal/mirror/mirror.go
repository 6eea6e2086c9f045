package mirror

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/infra"
)

// Pauses before the service is asked again after a failure.
const (
	// firstPause follows the first failure; a restarted service is then found soon.
	firstPause = 50 * time.Millisecond
	// maxPause bounds the doubled pause, so that a daemon is up to date well
	// within 2 s of the service's return.
	maxPause = 400 * time.Millisecond
)

// Change is one key that was written or deleted. A deleted key has no value.
type Change struct {
	Entry   infra.Entry
	Deleted bool
}

// Config holds the dependencies of a Mirror.
type Config struct {
	KV infra.KV
	// Prefix selects the keys to follow; empty for all.
	Prefix string
	// Apply receives changes in the order of their revisions, from one
	// goroutine. Revision is that up to which the copy is complete.
	Apply func(changes []Change, revision int64)
	Log   *slog.Logger
	// Reachable is told when the service is lost and regained.
	Reachable func(bool)
}

// Mirror follows the keys with a prefix.
type Mirror struct {
	config Config
	log    *slog.Logger
	// known maps each key to the revision of its last change. Only Run uses it.
	known    map[string]int64
	revision atomic.Int64
	up       bool
	started  bool
}

// New returns a Mirror that is not running.
func New(config Config) (*Mirror, error) {
	if config.KV == nil || config.Apply == nil || config.Log == nil {
		return nil, errors.New("mirror: KV, Apply and Log are required")
	}
	return &Mirror{config: config, log: config.Log.With("part", "store"), known: make(map[string]int64)}, nil
}

// Revision returns the revision up to which the copy is complete; 0 before
// the first read.
func (m *Mirror) Revision() int64 {
	return m.revision.Load()
}

// Run follows the keys until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	failures := 0
	read := false
	for ctx.Err() == nil {
		var err error
		if !read {
			err = m.read(ctx)
			read = err == nil
		}
		if err == nil {
			err = m.watch(ctx)
		}
		if err == nil {
			failures = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		var failure *infra.Error
		if errors.As(err, &failure) && failure.Kind == infra.Compacted {
			m.log.Info("history is gone, reading all keys again", "revision", m.Revision())
			read = false
			continue
		}
		failures++
		m.report(false, err)
		pause := min(firstPause<<min(failures-1, 8), maxPause)
		if !clock.Sleep(ctx, pause) {
			return
		}
	}
}

// report logs and passes on when the service is lost or regained.
func (m *Mirror) report(up bool, cause error) {
	if m.started && up == m.up {
		return
	}
	m.started = true
	m.up = up
	if up {
		m.log.Info("key-value service reached", "revision", m.Revision())
	} else {
		m.log.Warn("key-value service lost, going on from the last state", "revision", m.Revision(), "error", cause)
	}
	if m.config.Reachable != nil {
		m.config.Reachable(up)
	}
}

// read takes over all keys at once and delivers what differs from the copy.
func (m *Mirror) read(ctx context.Context) error {
	result, err := m.config.KV.Range(ctx, m.config.Prefix)
	if err != nil {
		return err
	}
	seen := make(map[string]bool, len(result.Entries))
	var changes []Change
	for _, entry := range result.Entries {
		seen[entry.Key] = true
		if entry.ModRevision > m.known[entry.Key] {
			m.known[entry.Key] = entry.ModRevision
			changes = append(changes, Change{Entry: entry})
		}
	}
	for key := range m.known {
		if !seen[key] && strings.HasPrefix(key, m.config.Prefix) {
			delete(m.known, key)
			changes = append(changes, Change{Entry: infra.Entry{Key: key, ModRevision: result.Revision}, Deleted: true})
		}
	}
	m.deliver(changes, result.Revision)
	return nil
}

// watch follows the keys from the copy's revision on until the watch breaks.
func (m *Mirror) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	batches, err := m.config.KV.Watch(ctx, m.config.Prefix, m.Revision()+1)
	if err != nil {
		return err
	}
	for batch := range batches {
		if batch.Err != nil {
			return batch.Err
		}
		m.deliver(m.news(batch), batch.Revision)
	}
	return ctx.Err()
}

// news drops what the copy already reflects: the pages of a read may be newer
// than the revision that the watch started from.
func (m *Mirror) news(batch infra.WatchBatch) []Change {
	var changes []Change
	for _, event := range batch.Events {
		entry := event.Entry
		if entry.ModRevision <= m.known[entry.Key] {
			continue
		}
		if event.Deleted {
			delete(m.known, entry.Key)
		} else {
			m.known[entry.Key] = entry.ModRevision
		}
		changes = append(changes, Change{Entry: entry, Deleted: event.Deleted})
	}
	return changes
}

func (m *Mirror) deliver(changes []Change, revision int64) {
	m.report(true, nil)
	if revision > m.revision.Load() {
		m.revision.Store(revision)
	}
	m.config.Apply(changes, m.revision.Load())
}
