package mirror

import (
	"context"
	"errors"
	"time"

	"github.com/barleylift/barleylift/internal/infra"
)

// Timeouts of probes.
const (
	// probeTimeout bounds the probe that precedes the first read. The service
	// answers within a few milliseconds, and after an outage it does not answer
	// calls from before its recovery. After probeTries the timeout doubles up to
	// maxProbeTimeout, for a service that all daemons of a large fleet call at once.
	probeTimeout    = 500 * time.Millisecond
	probeTries      = 4
	maxProbeTimeout = 8 * time.Second
	// rejoinTimeout bounds the probe after an interruption. An answer holds no keys, so
	// it is not held up by a slow link.
	rejoinTimeout = time.Second
	// minStandstill is the time without the processor after which the copy counts as
	// interrupted: the watch shows no failure then.
	minStandstill = time.Second
)

// probePrefix is a prefix that no key has.
const probePrefix = "probe-of-no-key/"

// copyState is what the copy needs before the watch goes on.
type copyState int

const (
	// unread copies need a read of all keys.
	unread copyState = iota
	// interrupted copies may have missed changes: the service is asked for its revision.
	interrupted
	// following copies need nothing.
	following
)

// Ends of a watch without a failure.
var (
	errPart       = errors.New("a reply held only a part of the changes")
	errStoodStill = errors.New("the process stood still")
	errRefresh    = errors.New("a proof that the copy is complete is needed")
)

// CatchUpCause is why the copy had to catch up otherwise than by its watch.
type CatchUpCause string

// The causes of catch-ups.
const (
	CauseStart      CatchUpCause = "start"
	CauseOutage     CatchUpCause = "outage"
	CauseCut        CatchUpCause = "cut"
	CauseStandstill CatchUpCause = "standstill"
	CausePart       CatchUpCause = "part of a backlog"
	CauseTooLarge   CatchUpCause = "reply too large"
	CauseRefresh    CatchUpCause = "refresh"
	CauseCompaction CatchUpCause = "compaction"
	CauseEra        CatchUpCause = "era"
)

// interrupt records the end of a watch or a catch-up, and returns the pause before the next try.
func (m *Mirror) interrupt(err error) (pause time.Duration) {
	var failure *infra.Error
	errors.As(err, &failure)
	switch {
	case errors.Is(err, errPart):
		m.log.Info("reply to the watch holds only a part of the changes, reading all keys", "revision", m.Revision(), "changes", len(m.held.Events),
			"up_to", m.held.Revision, "reply_ms", (m.config.Now() - m.held.RequestedAt).Milliseconds())
		m.state, m.cause = unread, CausePart
	case errors.Is(err, errStoodStill):
		m.log.Info("process stood still, asking the key-value service what was missed", "revision", m.Revision())
		m.state, m.cause = interrupted, CauseStandstill
	case errors.Is(err, errRefresh):
		m.state, m.cause = interrupted, CauseRefresh
	case failure != nil && failure.Kind == infra.Compacted:
		m.log.Info("history was compacted, reading all keys again", "revision", m.Revision())
		m.state, m.cause = unread, CauseCompaction
	case failure != nil && failure.Kind == infra.TooLarge && m.state == following:
		m.log.Warn("reply to the watch is too large, reading all keys", "revision", m.Revision(), "error", err)
		m.state, m.cause = unread, CauseTooLarge
	case failure != nil && failure.Kind == infra.EraChanged:
		m.log.Warn("key-value service has come back from an older copy, reading all keys again", "era", int64(infra.EraOf(m.Revision())))
		m.state, m.cause, m.held = unread, CauseEra, nil
		pause = minRetryPause
	case m.state == following && !errors.Is(err, context.DeadlineExceeded):
		// The service may cut a watch that waits: whether it is away, the probe shows.
		m.state, m.cause = interrupted, CauseCut
		m.failures++
		pause = retryPause(m.failures)
	default:
		m.deliverHeld()
		if m.state != unread {
			m.state, m.cause = interrupted, CauseOutage
		}
		m.failures++
		m.setReachable(false, err)
		pause = retryPause(m.failures)
	}
	return pause
}

// retryPause returns the pause after a number of failures in a row.
func retryPause(failures int) time.Duration {
	return min(minRetryPause<<min(failures-1, 8), maxRetryPause)
}

// catchUp prepares the copy for the watch.
func (m *Mirror) catchUp(ctx context.Context) error {
	if m.state == interrupted || m.state == unread && (m.Revision() == 0 || m.failures > 0) {
		if err := m.rejoin(ctx); err != nil {
			return err
		}
	}
	if m.state == unread {
		if err := m.read(ctx); err != nil {
			return err
		}
		m.state, m.held = following, nil
	}
	return nil
}

// deliverHeld delivers the part of a backlog that the failed read was to replace.
func (m *Mirror) deliverHeld() {
	if batch := m.held; batch != nil {
		m.held = nil
		m.deliver(m.filterNew(changesOf(*batch)), batch.Revision)
	}
}

// rejoin asks the service for its revision and decides whether an interrupted copy reads all keys
// or only the changes that it has missed. The state is bounded, and the history is not: it may hold
// many versions of a large value, and the service divides it.
//
// The first read is preceded by a probe too. It detects soon whether the service answers, so the read
// itself needs no timeout: an aborted read of all keys would waste the work of a large fleet's service.
func (m *Mirror) rejoin(ctx context.Context) error {
	timeout := rejoinTimeout
	if m.Revision() == 0 {
		doublings := min(max(m.failures-probeTries+1, 0), 8)
		timeout = min(probeTimeout<<doublings, maxProbeTimeout)
	}
	askedAt := m.config.Now()
	newest, err := m.probe(ctx, timeout)
	if err != nil || m.state == unread {
		return err
	}
	missed := infra.NumberOf(newest) - infra.NumberOf(m.Revision())
	switch {
	case infra.EraOf(newest) != infra.EraOf(m.Revision()) || missed >= int64(len(m.delivered)):
		m.state = unread
	case missed > 0 && m.cause == CauseCut && m.failures > 1:
		m.state = unread // the watch was cut again before it answered
	case missed <= 0:
		m.state = following
		m.deliver(nil, m.Revision())
	default:
		m.state = following
	}
	m.log.Info("key-value service answers after an interruption", "cause", string(m.cause), "revision", m.Revision(), "newest", newest,
		"missed_changes", missed, "keys", len(m.delivered), "reads_all_keys", m.state == unread, "answer_ms", (m.config.Now() - askedAt).Milliseconds())
	if m.state == following {
		m.observeCatchUp("watch")
		m.notify(m.proofs.answer(head{revision: newest, askedAt: askedAt, knownAt: m.config.Now()}, m.Revision()))
	}
	return nil
}

// probe reads a range without keys from the service, and returns the service's revision.
func (m *Mirror) probe(ctx context.Context, timeout time.Duration) (revision int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result, err := m.config.KV.Range(ctx, m.config.Prefix+probePrefix)
	return result.Revision, err
}

// Refresh asks the service for its revision and polls the watch at once, so that AsOf soon
// reaches the present. It costs two calls.
func (m *Mirror) Refresh() {
	m.interruptWatch(errRefresh)
}

// interruptWatch ends the watch; only one cause counts at a time.
func (m *Mirror) interruptWatch(cause error) {
	select {
	case m.interruptions <- cause:
	default:
	}
}

// Report records a revision of the service that another daemon has reported. A reply to the watch that
// was requested later and does not reach it is a part of a backlog: all keys are read then.
func (m *Mirror) Report(revision int64) {
	if copied := m.Revision(); infra.EraOf(revision) == infra.EraOf(copied) {
		m.proofs.report(head{revision: revision, knownAt: m.config.Now()}, copied)
	}
}

func (m *Mirror) observeCatchUp(way string) {
	if m.config.CaughtUp != nil {
		m.config.CaughtUp(m.cause, way)
	}
}
