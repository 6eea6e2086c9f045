package locator

import "github.com/barleylift/barleylift/internal/replicaload"

// ReplicaUses returns the number of this entry's requests at each replica of a plain service
// that has any.
func (l *Locator) ReplicaUses() []replicaload.Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	var uses []replicaload.Use
	for id, v := range l.views {
		if v.isReplica && v.running > 0 {
			uses = append(uses, replicaload.Use{Upstream: id, Incarnation: v.upstream.Incarnation, Running: v.running})
		}
	}
	return uses
}
