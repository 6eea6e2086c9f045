package reachability

import "time"

const (
	// maxSilence is how long sends may wait while nothing arrives from any upstream before
	// new connections are tried: a batch of prompts or two.
	maxSilence = 400 * time.Millisecond
	// suspectDials is the number of upstreams in a row to which new connections have failed
	// that leads to a round of attempts.
	suspectDials = 2
	// roundInterval is the time between rounds while none has failed, cutOffInterval that
	// while the VM is cut off, and confirmInterval that until a failed round is confirmed.
	roundInterval   = time.Second
	cutOffInterval  = 300 * time.Millisecond
	confirmInterval = 50 * time.Millisecond
	// A VM is cut off after roundsToCutOff rounds in which no attempt succeeded, and back
	// after roundsToReturn in which half of them did.
	roundsToCutOff = 2
	roundsToReturn = 2
)

// Monitor holds what one VM knows of its links to upstreams. All times are readings of one
// monotonic clock. It is not safe for concurrent use.
type Monitor struct {
	cutOff bool
	// failedRounds and goodRounds count the latest rounds in a row.
	failedRounds, goodRounds int
	lastRoundAt              time.Duration
	// failedDials are the upstreams to which connections have failed since the last
	// connection that succeeded.
	failedDials map[string]bool
	// silentSince is since when sends wait and nothing arrives.
	silentSince time.Duration
}

// NewMonitor returns the Monitor of a VM that is not cut off.
func NewMonitor() *Monitor {
	return &Monitor{failedDials: make(map[string]bool)}
}

// CutOff reports whether the VM reaches no upstream.
func (m *Monitor) CutOff() bool {
	return m.cutOff
}

// RecordDial records whether a connection to an upstream succeeded.
func (m *Monitor) RecordDial(upstream string, connected bool) {
	if connected {
		clear(m.failedDials)
		return
	}
	m.failedDials[upstream] = true
}

// RoundDue reports whether connections to some upstreams should be tried now. sending
// reports whether sends wait for answers, and receivedAt is when something last arrived.
func (m *Monitor) RoundDue(now, receivedAt time.Duration, sending bool) bool {
	m.silentSince = max(m.silentSince, receivedAt)
	if !sending {
		m.silentSince = now
	}
	sinceRound := now - m.lastRoundAt
	switch {
	case m.cutOff:
		return sinceRound >= cutOffInterval
	case m.failedRounds > 0:
		return sinceRound >= confirmInterval
	case sinceRound < roundInterval:
		return false
	default:
		return len(m.failedDials) >= suspectDials || now-m.silentSince > maxSilence
	}
}

// RecordRound records a round of attempts, and reports whether the VM has been cut off or
// is back since.
func (m *Monitor) RecordRound(now time.Duration, tried, connected int) (changed bool) {
	m.lastRoundAt = now
	if tried == 0 {
		return false
	}
	m.failedRounds++
	if connected > 0 {
		m.failedRounds = 0
	}
	m.goodRounds++
	if 2*connected < tried {
		m.goodRounds = 0
	}
	before := m.cutOff
	if m.failedRounds >= roundsToCutOff {
		m.cutOff = true
	}
	if m.goodRounds >= roundsToReturn {
		m.cutOff = false
	}
	if !m.cutOff && connected > 0 {
		clear(m.failedDials)
		m.silentSince = now
	}
	return m.cutOff != before
}
