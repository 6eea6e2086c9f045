package mirror

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/infra"
)

// Pauses and timeouts of calls to the service.
const (
	// minRetryPause follows the first failure; a restarted service is then found
	// soon.
	minRetryPause = 50 * time.Millisecond
	// maxRetryPause bounds the doubled pause, so that a daemon is up to date well
	// within 2 s of the service's recovery.
	maxRetryPause = 400 * time.Millisecond
)

// Change is one key that was written or deleted. A deleted key has no value.
type Change struct {
	Entry   infra.Entry
	Deleted bool
	// Superseded is set if a later change of the same delivery is to the same key.
	Superseded bool
}

// Config holds the dependencies of a Mirror.
type Config struct {
	KV infra.KV
	// Prefix selects the keys to follow; empty for all.
	Prefix string
	// Apply receives changes in the order of their revisions, from one
	// goroutine. Revision is the one up to which the copy is complete.
	Apply func(changes []Change, revision int64)
	// Gap is called before Apply receives a read of all keys other than the first: what
	// changed and changed back since the last delivery is not among its changes. It may be nil.
	Gap func()
	Log *slog.Logger
	// ReachabilityChanged is called when the service becomes reachable or
	// unreachable; it may be nil.
	ReachabilityChanged func(bool)
	// Proven is called when AsOf has advanced; it may be nil.
	Proven func()
	// CaughtUp is called when the copy catches up after an interruption, by way of a read
	// of all keys or of the watch; it may be nil.
	CaughtUp func(cause CatchUpCause, way string)
	// Now reads a clock that counts suspended time; nil for clock.Boot.
	Now func() time.Duration
}

// Mirror follows the keys with a prefix.
type Mirror struct {
	config Config
	log    *slog.Logger
	// delivered holds the last delivered change of each key. Only Run uses it.
	delivered map[string]deliveredKey
	// injected passes changes from Inject to Run.
	injected chan []Change
	// interruptions end the watch.
	interruptions chan error
	// held is a part of a backlog that is delivered only if the read of all keys fails.
	held *infra.WatchBatch
	// state is what the copy needs, and cause is why. failures counts failed calls since the
	// last reply to the watch. Only Run uses them.
	state             copyState
	cause             CatchUpCause
	failures          int
	revision          atomic.Int64
	proofs            proofs
	reachable         bool
	reachabilityKnown bool
}

// deliveredKey is the last delivered change of a key.
type deliveredKey struct {
	revision int64
	// deleted marks a deleted key; it is kept until no older change can arrive.
	deleted bool
}

// injectedCapacity is the number of Inject calls that may be queued for Run.
const injectedCapacity = 64

// New returns a Mirror that is not running.
func New(config Config) (*Mirror, error) {
	if config.KV == nil || config.Apply == nil || config.Log == nil {
		return nil, errors.New("mirror: KV, Apply and Log are required")
	}
	if config.Now == nil {
		config.Now = clock.Boot
	}
	return &Mirror{config: config, log: config.Log.With("part", "store"), delivered: make(map[string]deliveredKey), injected: make(chan []Change, injectedCapacity),
		interruptions: make(chan error, 1), cause: CauseStart}, nil
}

// Revision returns the revision up to which the copy is complete; 0 before
// the first read.
func (m *Mirror) Revision() int64 {
	return m.revision.Load()
}

// Inject queues changes that another daemon has received first. Those that the
// copy already reflects are ignored. The watch delivers the same changes later,
// so they are dropped if the queue is full.
func (m *Mirror) Inject(changes []Change) {
	select {
	case m.injected <- changes:
	default:
		m.log.Debug("queue full, dropped changes from another daemon until the watch delivers them", "changes", len(changes))
	}
}

// Run follows the keys until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	var proving sync.WaitGroup
	defer proving.Wait()
	proving.Go(func() { m.runProofs(ctx) })
	for ctx.Err() == nil {
		err := m.catchUp(ctx)
		if err == nil {
			err = m.watch(ctx)
		}
		if err == nil || ctx.Err() != nil {
			continue
		}
		if !m.pause(ctx, m.interrupt(err)) {
			return
		}
	}
}

// pause waits for d and delivers injected changes in the meantime. It returns
// false if ctx ended.
func (m *Mirror) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return true
		case changes := <-m.injected:
			m.config.Apply(m.filterNew(changes), m.Revision())
		case <-ctx.Done():
			return false
		}
	}
}

// setReachable logs and reports when the service becomes reachable or
// unreachable.
func (m *Mirror) setReachable(reachable bool, cause error) {
	if m.reachabilityKnown && reachable == m.reachable {
		return
	}
	m.reachabilityKnown = true
	m.reachable = reachable
	if reachable {
		m.log.Info("key-value service is reachable", "revision", m.Revision())
	} else {
		m.log.Warn("key-value service is unreachable, continuing with the last state", "revision", m.Revision(), "error", cause)
	}
	if m.config.ReachabilityChanged != nil {
		m.config.ReachabilityChanged(reachable)
	}
}

// read reads all keys at once and delivers the differences from the copy.
func (m *Mirror) read(ctx context.Context) error {
	requestedAt := m.config.Now()
	result, err := m.config.KV.Range(ctx, m.config.Prefix)
	if err != nil {
		return err
	}
	repliedAt := m.config.Now()
	present := make(map[string]bool, len(result.Entries))
	var changes []Change
	reverted, bytes := 0, 0
	for _, entry := range result.Entries {
		present[entry.Key] = true
		changes = append(changes, Change{Entry: entry})
		bytes += len(entry.Value)
		if infra.NumberOf(entry.ModRevision) < infra.NumberOf(m.delivered[entry.Key].revision) {
			reverted++
		}
	}
	missing := 0
	for key, last := range m.delivered {
		if !present[key] && !last.deleted && last.revision <= result.Revision {
			changes = append(changes, Change{Entry: infra.Entry{Key: key, ModRevision: result.Revision}, Deleted: true})
			missing++
		}
	}
	if from, to := infra.EraOf(m.Revision()), infra.EraOf(result.Revision); m.Revision() != 0 && from != to {
		m.log.Warn("state of the key-value service's new era read", "former_era", int64(from), "era", int64(to),
			"revision", infra.NumberOf(result.Revision), "former_revision", infra.NumberOf(m.Revision()), "keys", len(result.Entries), "reverted", reverted, "missing", missing)
	}
	changes = m.filterNew(changes)
	if m.Revision() != 0 && m.config.Gap != nil {
		m.config.Gap()
	}
	m.deliver(changes, result.Revision)
	m.observeCatchUp("read")
	m.log.Info("all keys read", "cause", string(m.cause), "revision", result.Revision, "keys", len(result.Entries), "value_bytes", bytes, "changes", len(changes),
		"read_ms", (repliedAt - requestedAt).Milliseconds(), "apply_ms", (m.config.Now() - repliedAt).Milliseconds())
	// Every page was requested after this, so no change from before it is missing.
	m.proofs.complete(requestedAt)
	m.notify(true)
	return nil
}

// watch follows the keys from the copy's revision on until the watch breaks or the copy has to
// catch up in another way.
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
			m.failures = 0
			if m.proofs.isPart(batch.RequestedAt, batch.Revision) {
				m.held = &batch
				return errPart
			}
			m.deliver(m.filterNew(changesOf(batch)), batch.Revision)
		case err := <-m.interruptions:
			return err
		case changes := <-m.injected:
			m.config.Apply(m.filterNew(changes), m.Revision())
			if hasLaterEra(changes, m.Revision()) {
				return &infra.Error{Op: "watch", Kind: infra.EraChanged, Err: errInjectedEra}
			}
		}
	}
}

// errInjectedEra is the cause of a watch's end if another daemon has seen a newer
// era first.
var errInjectedEra = errors.New("another daemon forwarded a change of a newer era")

// hasLaterEra reports whether a change is of a later era than the revision.
func hasLaterEra(changes []Change, revision int64) bool {
	return slices.ContainsFunc(changes, func(c Change) bool { return infra.EraOf(c.Entry.ModRevision) > infra.EraOf(revision) })
}

func changesOf(batch infra.WatchBatch) []Change {
	changes := make([]Change, len(batch.Events))
	for i, event := range batch.Events {
		changes[i] = Change{Entry: event.Entry, Deleted: event.Deleted}
	}
	return changes
}

// filterNew drops changes that the copy already reflects and those of an earlier
// era than the copy, and records the rest as delivered. Duplicates occur because the pages of a read may be newer than
// the revision that the watch starts from, and because the watch repeats
// injected changes.
func (m *Mirror) filterNew(changes []Change) []Change {
	var newChanges []Change
	last := make(map[string]int, len(changes))
	for _, change := range changes {
		entry := change.Entry
		isOld := entry.ModRevision <= m.delivered[entry.Key].revision || infra.EraOf(entry.ModRevision) < infra.EraOf(m.Revision())
		if isOld || !strings.HasPrefix(entry.Key, m.config.Prefix) {
			continue
		}
		m.delivered[entry.Key] = deliveredKey{revision: entry.ModRevision, deleted: change.Deleted}
		if earlier, ok := last[entry.Key]; ok {
			newChanges[earlier].Superseded = true
		}
		last[entry.Key] = len(newChanges)
		newChanges = append(newChanges, change)
	}
	return newChanges
}

func (m *Mirror) deliver(changes []Change, revision int64) {
	m.setReachable(true, nil)
	revision = max(revision, m.Revision())
	for key, last := range m.delivered {
		if last.deleted && last.revision <= revision {
			delete(m.delivered, key)
		}
	}
	m.config.Apply(changes, revision)
	// Others may rely on what Revision and AsOf tell of only when the changes are in force.
	m.revision.Store(revision)
	m.notify(m.proofs.reach(revision))
}
