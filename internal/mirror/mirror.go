package mirror

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"github.com/barleylift/barleylift/internal/infra"
)

// Pauses before the service is asked again after a failure.
const (
	// firstPause follows the first failure; a restarted service is then found soon.
	firstPause = 50 * time.Millisecond
	// maxPause bounds the doubled pause, so that a daemon is up to date well
	// within 2 s of the service's return.
	maxPause = 400 * time.Millisecond
	// probeWait bounds the question whether the service answers while nothing is
	// known: it answers in some milliseconds, and one that has fallen silent does
	// not answer a call of before its return. After probeTries it doubles up to
	// maxProbeWait, for a service that all daemons of a large fleet ask at once.
	probeWait    = 500 * time.Millisecond
	probeTries   = 4
	maxProbeWait = 8 * time.Second
)

// probePrefix is that of no key.
const probePrefix = "probe-of-no-key/"

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
	// ReachabilityChanged is told when the service is lost and regained.
	ReachabilityChanged func(bool)
}

// Mirror follows the keys with a prefix.
type Mirror struct {
	config Config
	log    *slog.Logger
	// known holds the last change of each key. Only Run uses it.
	known map[string]knownKey
	// news are changes that came by another way than the watch.
	news     chan []Change
	revision atomic.Int64
	// asked is when the service was asked for the state of the copy.
	asked   atomic.Int64
	up      bool
	started bool
}

// knownKey is the last change of a key that was delivered.
type knownKey struct {
	revision int64
	// deleted marks a key that is gone; it is kept until no older change can come.
	deleted bool
}

// newsRoom is the number of Inject calls that may wait for Run.
const newsRoom = 64

// New returns a Mirror that is not running.
func New(config Config) (*Mirror, error) {
	if config.KV == nil || config.Apply == nil || config.Log == nil {
		return nil, errors.New("mirror: KV, Apply and Log are required")
	}
	return &Mirror{config: config, log: config.Log.With("part", "store"), known: make(map[string]knownKey), news: make(chan []Change, newsRoom)}, nil
}

// Revision returns the revision up to which the copy is complete; 0 before
// the first read.
func (m *Mirror) Revision() int64 {
	return m.revision.Load()
}

// AsOf returns the reading of clock.Boot from which on the copy reflects all
// changes; 0 if unknown.
func (m *Mirror) AsOf() time.Duration {
	return time.Duration(m.asked.Load())
}

// Inject takes over changes that another daemon has seen already. What the copy
// reflects is ignored; the watch brings the same changes later. Changes are
// dropped if Run is far behind.
func (m *Mirror) Inject(changes []Change) {
	select {
	case m.news <- changes:
	default:
		m.log.Debug("changes from another daemon dropped, the watch will bring them", "changes", len(changes))
	}
}

// Run follows the keys until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	failures := 0
	read := false
	for ctx.Err() == nil {
		var err error
		if !read {
			err = m.readAnswered(ctx, failures)
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
		if !m.pause(ctx, pause) {
			return
		}
	}
}

// pause waits for d and delivers injected changes meanwhile. It returns false
// if ctx ended.
func (m *Mirror) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return true
		case changes := <-m.news:
			m.config.Apply(m.fresh(changes), m.Revision())
		case <-ctx.Done():
			return false
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
	if m.config.ReachabilityChanged != nil {
		m.config.ReachabilityChanged(up)
	}
}

// readAnswered reads all keys. Before the first success it asks for very little
// first, within a bound that grows with the failures: that tells soon whether
// the service answers, and a read of all keys is not given up half-way, which
// would cost a large fleet's service the work for nothing.
func (m *Mirror) readAnswered(ctx context.Context, failures int) error {
	if m.Revision() == 0 {
		if err := m.probe(ctx, failures); err != nil {
			return err
		}
	}
	return m.read(ctx)
}

// probe asks the service for keys that are not there.
func (m *Mirror) probe(ctx context.Context, failures int) error {
	doublings := min(max(failures-probeTries+1, 0), 8)
	ctx, cancel := context.WithTimeout(ctx, min(probeWait<<doublings, maxProbeWait))
	defer cancel()
	_, err := m.config.KV.Range(ctx, m.config.Prefix+probePrefix)
	return err
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
		changes = append(changes, Change{Entry: entry})
	}
	for key, known := range m.known {
		if !seen[key] && !known.deleted && known.revision <= result.Revision {
			changes = append(changes, Change{Entry: infra.Entry{Key: key, ModRevision: result.Revision + 1}, Deleted: true})
		}
	}
	m.deliver(m.fresh(changes), result.Revision)
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
	for {
		select {
		case batch, open := <-batches:
			if !open {
				return ctx.Err()
			}
			if batch.Err != nil {
				return batch.Err
			}
			m.deliver(m.fresh(changesOf(batch)), batch.Revision)
			m.asked.Store(int64(batch.RequestedAt))
		case changes := <-m.news:
			m.config.Apply(m.fresh(changes), m.Revision())
		}
	}
}

func changesOf(batch infra.WatchBatch) []Change {
	changes := make([]Change, len(batch.Events))
	for i, event := range batch.Events {
		changes[i] = Change{Entry: event.Entry, Deleted: event.Deleted}
	}
	return changes
}

// fresh drops what the copy already reflects, and notes the rest as known: the
// pages of a read may be newer than the revision that the watch starts from,
// and injected changes come again by the watch.
func (m *Mirror) fresh(changes []Change) []Change {
	var list []Change
	for _, change := range changes {
		entry := change.Entry
		if !strings.HasPrefix(entry.Key, m.config.Prefix) || entry.ModRevision <= m.known[entry.Key].revision {
			continue
		}
		m.known[entry.Key] = knownKey{revision: entry.ModRevision, deleted: change.Deleted}
		list = append(list, change)
	}
	return list
}

func (m *Mirror) deliver(changes []Change, revision int64) {
	m.report(true, nil)
	if revision > m.revision.Load() {
		m.revision.Store(revision)
	}
	for key, known := range m.known {
		if known.deleted && known.revision <= revision {
			delete(m.known, key)
		}
	}
	m.config.Apply(changes, m.revision.Load())
}
