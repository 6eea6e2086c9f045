package fake

import (
	"context"
	"time"

	"github.com/barleylift/barleylift/internal/infra"
)

// Grant implements infra.KV.
func (s *KV) Grant(ctx context.Context, ttl time.Duration) (infra.LeaseID, error) {
	if err := s.admit(ctx, "grant", &s.calls.Grant, writeLimiter); err != nil {
		return 0, err
	}
	if ttl <= 0 {
		return 0, &infra.Error{Op: "grant", Kind: infra.Refused, Err: errBadTTL}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.nextLease
	s.nextLease++
	s.grant(id, ttl)
	if s.faults.loseGrantResponses > 0 {
		s.faults.loseGrantResponses--
		return 0, &infra.Error{Op: "grant", Kind: infra.Ambiguous, Err: errLost}
	}
	return id, nil
}

// grant adds a lease. The caller holds s.mu.
func (s *KV) grant(id infra.LeaseID, ttl time.Duration) {
	l := &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	l.timer = time.AfterFunc(ttl, func() { s.expire(id) })
	s.leases[id] = l
}

// KeepAlive implements infra.KV.
func (s *KV) KeepAlive(ctx context.Context, id infra.LeaseID) (time.Duration, error) {
	if err := s.admit(ctx, "keepalive", &s.calls.KeepAlive, writeLimiter); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return 0, &infra.Error{Op: "keepalive", Kind: infra.LeaseNotFound, Err: errNoLease}
	}
	l.extend()
	return l.ttl, nil
}

func (l *lease) extend() {
	l.expiresAt = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
}

// Revoke implements infra.KV.
func (s *KV) Revoke(ctx context.Context, id infra.LeaseID) error {
	if err := s.admit(ctx, "revoke", &s.calls.Revoke, writeLimiter); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return &infra.Error{Op: "revoke", Kind: infra.LeaseNotFound, Err: errNoLease}
	}
	s.endLease(id)
	return nil
}

// expire ends a lease whose time to live has elapsed, unless it was renewed
// before its timer fired.
func (s *KV) expire(id infra.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[id]; l != nil && !s.faults.leasesFrozen && !time.Now().Before(l.expiresAt) {
		s.endLease(id)
	}
}

// endLease deletes the lease and the keys attached to it. The caller holds s.mu.
func (s *KV) endLease(id infra.LeaseID) {
	s.leases[id].timer.Stop()
	delete(s.leases, id)
	var keys []string
	for key, e := range s.entries {
		if e.Lease == id {
			keys = append(keys, key)
		}
	}
	next := s.revision + 1
	s.publish(next, s.removeKeys(keys, next))
}
