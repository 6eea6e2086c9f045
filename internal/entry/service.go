package entry

import (
	"sync"

	"github.com/barleylift/barleylift/internal/queue"
)

// maxAccounts bounds the customers that the service is counted for. The
// configuration bounds them too; a customer beyond the bound begins anew.
const maxAccounts = 65536

// service counts what customers were served through this entry, by engine, so
// that engines can be fair by a customer's service at all of them.
type service struct {
	// mu guards ledger and known.
	mu     sync.Mutex
	ledger *queue.Ledger
	known  map[string]struct{}
}

func newService() *service {
	return &service{ledger: queue.NewLedger(), known: make(map[string]struct{})}
}

// elsewhere returns the tokens to charge a customer at an engine for what it
// was served at others.
func (s *service) elsewhere(customer, engine string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bound(customer)
	return s.ledger.ServedElsewhere(customer, engine)
}

// served notes tokens that a customer was served at an engine.
func (s *service) served(customer, engine string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bound(customer)
	s.ledger.RecordServed(customer, engine, tokens)
}

// bound drops one customer when there are too many. The caller holds s.mu.
func (s *service) bound(customer string) {
	if _, ok := s.known[customer]; !ok && len(s.known) >= maxAccounts {
		for other := range s.known {
			s.ledger.Forget(other)
			delete(s.known, other)
			break
		}
	}
	s.known[customer] = struct{}{}
}
