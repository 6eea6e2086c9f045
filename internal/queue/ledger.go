package queue

// Ledger counts what one entry's calls were served, by customer and engine,
// so that engines can be fair by a customer's service at all of them. Each
// call carries the tokens that the customer was served elsewhere through this
// entry since its last call to the same engine; over all entries these add up
// to the whole (distributed start-time fair queueing, Wang and Merchant,
// "Proportional-Share Scheduling for Distributed Storage Systems", FAST 2007).
// It is not safe for concurrent use.
type Ledger struct {
	customers map[string]*account
}

// account is one customer's served tokens.
type account struct {
	total   int
	engines map[string]*engineAccount
}

type engineAccount struct {
	served int
	// told is the tokens served elsewhere that this engine was told.
	told int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{customers: make(map[string]*account)}
}

// RecordServed notes tokens that a customer was served at an engine.
func (l *Ledger) RecordServed(customer, engine string, tokens int) {
	a := l.account(customer)
	a.total += tokens
	a.engine(engine).served += tokens
}

// ServedElsewhere returns the tokens that the customer was served at other engines
// since the last call of ServedElsewhere for this one, 0 at the first.
func (l *Ledger) ServedElsewhere(customer, engine string) int {
	a := l.account(customer)
	e, known := a.engines[engine]
	if !known {
		e = a.engine(engine)
	}
	elsewhere := a.total - e.served
	since := elsewhere - e.told
	e.told = elsewhere
	if !known {
		return 0
	}
	return since
}

// Forget drops a customer, for example one that has had no call for minutes.
func (l *Ledger) Forget(customer string) {
	delete(l.customers, customer)
}

func (l *Ledger) account(customer string) *account {
	a, ok := l.customers[customer]
	if !ok {
		a = &account{engines: make(map[string]*engineAccount)}
		l.customers[customer] = a
	}
	return a
}

func (a *account) engine(name string) *engineAccount {
	e, ok := a.engines[name]
	if !ok {
		e = &engineAccount{}
		a.engines[name] = e
	}
	return e
}
