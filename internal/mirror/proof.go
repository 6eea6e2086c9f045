package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
)

// proofCheckInterval is the time between two checks whether AsOf is older than is allowed.
const proofCheckInterval = 50 * time.Millisecond

// head is a revision that the service has had.
type head struct {
	revision int64
	// askedAt is when the service was asked; 0 if another daemon has reported the revision.
	askedAt time.Duration
	// knownAt is when this daemon learned of it: a later request has to reach the revision.
	knownAt time.Duration
}

// isBeyond reports whether the reply to a request leaves the copy short of the head.
func (h *head) isBeyond(requestedAt time.Duration, copied int64) bool {
	return h != nil && requestedAt >= h.knownAt && copied < h.revision
}

// proofs decides when the copy is known to be complete. It is safe for concurrent use. Times are
// readings of Config.Now.
//
// A reply to a watch doesn't show that: the service may divide a long backlog, and the first part
// tells of a state that is long over. So the service is asked for its revision. Once the copy is
// complete up to there, it reflects all changes made before the question.
type proofs struct {
	mu sync.Mutex // guards the fields below
	// maxAge is the age from which on the service is asked again; 0 for never.
	maxAge time.Duration
	// asOf is the moment up to which the copy reflects all changes; 0 if unknown.
	asOf time.Duration
	// askedAt is when the service was last asked.
	askedAt time.Duration
	// pending is the answer that the copy has not reached, if any.
	pending *head
	// reported is the same for a revision that another daemon has reported. It proves nothing
	// about the time at which the copy reaches it.
	reported *head
}

// isDue reports whether the service is to be asked, and counts as a question if so. There is one
// question at a time: a newer answer would be reached later.
func (p *proofs) isDue(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.maxAge == 0 || p.pending != nil || now-max(p.asOf, p.askedAt) < p.maxAge {
		return false
	}
	p.askedAt = now
	return true
}

// answer records the service's answer, given the revision up to which the copy is complete, and
// reports whether asOf has advanced.
func (p *proofs) answer(h head, copied int64) (advanced bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = &h
	return p.settle(copied)
}

// reach records that the copy is complete up to a revision, and reports whether asOf has advanced.
func (p *proofs) reach(copied int64) (advanced bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settle(copied)
}

// settle is reach for a caller that holds mu.
func (p *proofs) settle(copied int64) (advanced bool) {
	if p.pending != nil && copied >= p.pending.revision {
		advanced = p.pending.askedAt > p.asOf
		p.asOf = max(p.asOf, p.pending.askedAt)
		p.pending = nil
	}
	if p.reported != nil && copied >= p.reported.revision {
		p.reported = nil
	}
	return advanced
}

// report records a revision that another daemon has reported, given the one up to which the copy
// is complete. One is kept at a time: a newer one would be reached later.
func (p *proofs) report(h head, copied int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reported == nil && h.revision > copied {
		p.reported = &h
	}
}

// isPart reports whether the reply to a request, which has made the copy complete up to a
// revision, was only a part of what the service had.
func (p *proofs) isPart(requestedAt time.Duration, copied int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pending.isBeyond(requestedAt, copied) || p.reported.isBeyond(requestedAt, copied)
}

// complete records that all keys were read, from askedAt on. It replaces any answer, which may be
// of a state that the service has lost since.
func (p *proofs) complete(askedAt time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asOf = max(p.asOf, askedAt)
	p.pending, p.reported = nil, nil
}

// AsOf returns a reading of Config.Now: the copy reflects all changes made up to
// then, as Apply has received them. It is 0 if unknown.
func (m *Mirror) AsOf() time.Duration {
	m.proofs.mu.Lock()
	defer m.proofs.mu.Unlock()
	return m.proofs.asOf
}

// notify calls Proven if AsOf has advanced.
func (m *Mirror) notify(advanced bool) {
	if advanced && m.config.Proven != nil {
		m.config.Proven()
	}
}

// SetProofAge sets the age of AsOf from which on the service is asked for its revision, one call
// each; 0 for never. AsOf then tells of reads of all keys only.
func (m *Mirror) SetProofAge(age time.Duration) {
	m.proofs.mu.Lock()
	defer m.proofs.mu.Unlock()
	m.proofs.maxAge = age
}

// runProofs asks the service for its revision whenever that is due, until ctx ends. It also
// notices that the process stood still.
func (m *Mirror) runProofs(ctx context.Context) {
	for {
		before := m.config.Now()
		if !clock.Sleep(ctx, proofCheckInterval) {
			return
		}
		now := m.config.Now()
		if now-before > proofCheckInterval+minStandstill {
			m.interruptWatch(errStoodStill)
		}
		if m.Revision() == 0 || !m.proofs.isDue(now) {
			continue
		}
		revision, err := m.probe(ctx, probeTimeout)
		if err != nil {
			m.log.Debug("revision of the key-value service not read", "error", err)
			continue
		}
		m.notify(m.proofs.answer(head{revision: revision, askedAt: now, knownAt: m.config.Now()}, m.Revision()))
	}
}
