package fake

import (
	"errors"
	"maps"
	"slices"

	"github.com/barleylift/barleylift/internal/infra"
)

// RestoreInNewEra brings the service back from a snapshot, in the next era: what
// was written since is gone, leases too, and revisions are given out again. All
// watches break, and a watch from a revision of an earlier era fails.
func (s *KV) RestoreInNewEra(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := infra.EraOf(s.revision) + 1
	inEra := func(number int64) int64 { return infra.InEra(era, infra.NumberOf(number)) }
	s.revision = inEra(snapshot.revision)
	s.compacted = s.revision
	s.history = nil
	s.restoreLeases(snapshot, inEra)
	s.entries = make(map[string]infra.Entry, len(snapshot.entries))
	for key, e := range maps.Clone(snapshot.entries) {
		e.CreateRevision, e.ModRevision = inEra(e.CreateRevision), inEra(e.ModRevision)
		if e.Lease != 0 {
			e.Lease = infra.LeaseID(inEra(int64(e.Lease)))
		}
		if e.Lease == 0 || s.leases[e.Lease] != nil {
			s.entries[key] = e
		}
	}
	s.breakWatches()
}

// restoreLeases ends all leases and grants those of the snapshot that had not
// ended again. The caller holds s.mu.
func (s *KV) restoreLeases(snapshot Snapshot, inEra func(int64) int64) {
	previous := s.leases
	s.leases = make(map[infra.LeaseID]*lease)
	for id, l := range previous {
		l.timer.Stop()
		if id < snapshot.nextLease {
			s.grant(infra.LeaseID(inEra(int64(id))), l.ttl)
		}
	}
	s.nextLease = infra.LeaseID(inEra(int64(snapshot.nextLease)))
}

var errOtherEra = errors.New("service has come back from an older copy")

// spansEras reports whether a transaction has a condition on a revision of
// another era, which its client learns from the reply. The caller holds s.mu.
func (s *KV) spansEras(txn infra.Txn) bool {
	return slices.ContainsFunc(txn.If, func(c infra.Compare) bool {
		return c.Revision != 0 && infra.EraOf(c.Revision) != infra.EraOf(s.revision)
	})
}
