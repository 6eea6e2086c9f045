package entry

import (
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/ownership"
)

// suspectDuration is how long an unreachable daemon is tried after all others.
const suspectDuration = 3 * time.Second

// suspects records daemons that were recently unreachable.
type suspects struct {
	// mu guards until.
	mu    sync.Mutex
	until map[string]time.Time
}

func newSuspects() *suspects {
	return &suspects{until: make(map[string]time.Time)}
}

func (s *suspects) add(member string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, until := range s.until {
		if now.After(until) {
			delete(s.until, name)
		}
	}
	s.until[member] = now.Add(suspectDuration)
}

func (s *suspects) has(member string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[member])
}

// suspectsLast returns engines in order, with those whose owner is suspect
// moved to the end.
func (h *Handler) suspectsLast(engines []string) []string {
	now := time.Now()
	ordered := make([]string, 0, len(engines))
	var suspected []string
	for _, engine := range engines {
		owner, ok := h.cfg.View.Owner(ownership.KindEngine, engine)
		if ok && h.suspects.has(owner.Member, now) {
			suspected = append(suspected, engine)
			continue
		}
		ordered = append(ordered, engine)
	}
	return append(ordered, suspected...)
}
