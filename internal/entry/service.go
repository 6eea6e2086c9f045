package entry

import (
	"sync"

	"github.com/barleylift/barleylift/internal/queue"
)

// maxCustomers limits the customers whose served tokens are counted. The
// configuration limits their number too; beyond the limit, the count of an
// arbitrary customer is reset.
const maxCustomers = 65536

// servedTokens counts the tokens served to each customer through this entry, by
// engine, so that engines can schedule fairly by what a customer was served at
// all of them.
type servedTokens struct {
	// mu guards ledger and customers.
	mu        sync.Mutex
	ledger    *queue.Ledger
	customers map[string]struct{}
}

func newServedTokens() *servedTokens {
	return &servedTokens{ledger: queue.NewLedger(), customers: make(map[string]struct{})}
}

// servedElsewhere returns the number of tokens to charge a customer at an
// engine for what it was served at others.
func (s *servedTokens) servedElsewhere(customer, engine string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addCustomer(customer)
	return s.ledger.ServedElsewhere(customer, engine)
}

// recordServed records tokens that a customer was served at an engine.
func (s *servedTokens) recordServed(customer, engine string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addCustomer(customer)
	s.ledger.RecordServed(customer, engine, tokens)
}

// addCustomer adds a customer if it is new. At maxCustomers, it first removes an
// arbitrary other one with its counts. The caller must hold s.mu.
func (s *servedTokens) addCustomer(customer string) {
	if _, ok := s.customers[customer]; !ok && len(s.customers) >= maxCustomers {
		for other := range s.customers {
			s.ledger.Forget(other)
			delete(s.customers, other)
			break
		}
	}
	s.customers[customer] = struct{}{}
}
