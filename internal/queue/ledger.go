package queue

// Ledger counts the tokens that the calls of one entry were served, by customer
// and engine, so that each engine can weigh a customer's service at all
// engines. Each call carries the tokens that the customer was served at other
// engines through this entry since its last call to the same engine; over all
// entries these add up to the customer's total (distributed start-time fair
// queueing, Wang and Merchant, "Proportional-Share Scheduling for Distributed
// Storage Systems", FAST 2007). It is not safe for concurrent use.
type Ledger struct {
	customers map[string]*customerUsage
}

// customerUsage is one customer's served tokens.
type customerUsage struct {
	total   int
	engines map[string]*engineUsage
}

type engineUsage struct {
	served int
	// reported is the tokens served at other engines that were reported to
	// this engine.
	reported int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{customers: make(map[string]*customerUsage)}
}

// RecordServed adds tokens that a customer was served at an engine.
func (l *Ledger) RecordServed(customer, engine string, tokens int) {
	u := l.usage(customer)
	u.total += tokens
	u.engine(engine).served += tokens
}

// ServedElsewhere returns the tokens that the customer was served at other
// engines since the last call of ServedElsewhere for this one. The first call
// for an engine returns 0.
func (l *Ledger) ServedElsewhere(customer, engine string) int {
	u := l.usage(customer)
	e, ok := u.engines[engine]
	if !ok {
		e = u.engine(engine)
	}
	elsewhere := u.total - e.served
	delta := elsewhere - e.reported
	e.reported = elsewhere
	if !ok {
		return 0
	}
	return delta
}

// Forget drops a customer, for example one that has had no call for minutes.
func (l *Ledger) Forget(customer string) {
	delete(l.customers, customer)
}

func (l *Ledger) usage(customer string) *customerUsage {
	u, ok := l.customers[customer]
	if !ok {
		u = &customerUsage{engines: make(map[string]*engineUsage)}
		l.customers[customer] = u
	}
	return u
}

func (u *customerUsage) engine(name string) *engineUsage {
	e, ok := u.engines[name]
	if !ok {
		e = &engineUsage{}
		u.engines[name] = e
	}
	return e
}
