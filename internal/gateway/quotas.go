package gateway

import (
	"cmp"
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/dissemination"
	"github.com/barleylift/barleylift/internal/metrics"
	"github.com/barleylift/barleylift/internal/quota"
	"github.com/barleylift/barleylift/internal/routing"
)

// The upper bound of quotas where the settings don't name it. An overshoot of 0 would leave no
// time for tokens to be granted and used.
const (
	defaultQuotaWindow    = 8 * time.Second
	defaultQuotaOvershoot = 0.1
	defaultQuotaSlack     = 11000
)

// acquireGrace is how much longer than quota.MaxWait a request waits for its decision, which
// may be late on a VM that is short of processor time.
const acquireGrace = 250 * time.Millisecond

// quotas holds this VM's share of customers' quotas: its entitlement, the tokens that it
// holds, and the token buckets of which it is the coordinator. It is safe for concurrent use.
type quotas struct {
	meters *metrics.Quotas
	log    *slog.Logger
	// send sends entries to a VM.
	send func(vm string, kind uint32, message any)
	// wake triggers a look at what is due.
	wake chan struct{}

	// mu guards the fields below, which are changed by requests, datagrams and timers. It
	// is held for decisions only.
	mu          sync.Mutex
	memberCount *quota.MemberCount
	entitlement *quota.Entitlement
	ledger      *quota.Ledger
	tokenCache  *quota.TokenCache
	// table is the one whose customers are set, and ids those with a limit by their names.
	table *routing.Table
	ids   map[string]uint64
	// waiting are the requests without a decision.
	waiting map[uint64]chan quota.Decision
	lastID  uint64
	// dueAt is when the tokenCache is due, by clock.Boot; 0 for never.
	dueAt time.Duration
	// membersDigest is that of the members last set, and hasMembers is set once there are any.
	membersDigest uint64
	hasMembers    bool
	// targets are the coordinators by group, empty for none, and isEntitled what was last
	// logged of the entitlement.
	targets    [quota.Groups]string
	isEntitled bool
	// announced is what this process has announced as fleet.Member.Counted, at announcedAt.
	announced   int
	announcedAt time.Duration
	// inUseAt is when this process last announced that quotas are in use.
	inUseAt time.Duration
}

func newQuotas(s Settings, incarnation int64, meters *metrics.Quotas, log *slog.Logger) *quotas {
	bounds := quota.Bounds{
		Window:    cmp.Or(s.QuotaWindow, defaultQuotaWindow),
		Overshoot: cmp.Or(s.QuotaOvershoot, defaultQuotaOvershoot),
		Slack:     cmp.Or(s.QuotaSlack, defaultQuotaSlack),
	}
	memberCount := quota.NewMemberCount(s.VM)
	entitlement := quota.NewEntitlement(memberCount)
	return &quotas{
		meters: meters, log: log.With("part", "quotas"), wake: make(chan struct{}, 1),
		memberCount: memberCount, entitlement: entitlement,
		ledger: quota.NewLedger(bounds, incarnation), tokenCache: quota.NewTokenCache(bounds, entitlement),
		waiting: make(map[uint64]chan quota.Decision),
	}
}

// setTable puts the customers of a table in force.
func (q *quotas) setTable(table *routing.Table) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if table == nil || table == q.table {
		return
	}
	q.table = table
	var customers []quota.Customer
	var names []string
	q.ids = make(map[string]uint64)
	for _, c := range table.Customers() {
		names = append(names, c.Name)
		if c.Quota.Rate > 0 {
			limited := quota.Customer{Name: c.Name, Rate: c.Quota.Rate, Burst: c.Quota.Burst}
			customers = append(customers, limited)
			q.ids[c.Name] = limited.ID()
		}
	}
	q.tokenCache.SetCustomers(customers)
	q.ledger.SetCustomers(clock.Boot(), customers)
	q.meters.SetCustomers(names)
}

// inUse reports whether a customer has a limit.
func (q *quotas) inUse() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.ids) > 0
}

// acquire takes the tokens of a request.
func (q *quotas) acquire(ctx context.Context, customer string, cost int64, priority int) quota.Decision {
	d := q.await(ctx, customer, cost, priority)
	switch d.Outcome {
	case quota.Admitted:
		q.meters.Admitted(customer, cost)
	case quota.OverQuota:
		q.meters.OverQuota(customer)
	default:
		q.meters.Undecided(customer)
	}
	if d.Waited > 0 {
		q.meters.Wait(customer, d.Waited)
	}
	return d
}

func (q *quotas) await(ctx context.Context, customer string, cost int64, priority int) quota.Decision {
	q.mu.Lock()
	id, limited := q.ids[customer]
	if !limited {
		q.mu.Unlock()
		return quota.Decision{Outcome: quota.Admitted}
	}
	q.lastID++
	request := quota.Request{ID: q.lastID, Customer: id, Cost: cost, Priority: priority}
	decision := q.tokenCache.Request(clock.Boot(), request)
	var decided chan quota.Decision
	if decision.Outcome == quota.Waiting {
		decided = make(chan quota.Decision, 1)
		q.waiting[request.ID] = decided
	}
	asks := q.step()
	q.mu.Unlock()
	q.sendAsks(asks)
	if decided == nil {
		return decision
	}
	timeout := time.NewTimer(quota.MaxWait + acquireGrace)
	defer timeout.Stop()
	select {
	case decision = <-decided:
		return decision
	case <-ctx.Done():
	case <-timeout.C:
	}
	return q.withdraw(request, decided)
}

// withdraw ends the wait of a request that can't wait any more.
func (q *quotas) withdraw(request quota.Request, decided chan quota.Decision) quota.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, request.ID)
	q.tokenCache.Cancel(request.Customer, request.ID)
	select {
	case decision := <-decided:
		return decision
	default:
		return quota.UndecidedNow(request)
	}
}

// returnTokens gives back the tokens of a request that has not run.
func (q *quotas) returnTokens(customer string, cost int64, decision quota.Decision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if id, limited := q.ids[customer]; limited {
		q.tokenCache.Return(clock.Boot(), id, cost, decision)
	}
}

// step lets the tokenCache do what is due, and returns the asks to send. The caller holds mu.
func (q *quotas) step() []quota.SentAsk {
	asks, decisions, next := q.tokenCache.Tick(clock.Boot())
	q.deliver(decisions)
	if next != 0 && (q.dueAt == 0 || next < q.dueAt) {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
	q.dueAt = next
	return asks
}

// deliver passes decisions to the requests that wait. The caller holds mu.
func (q *quotas) deliver(decisions []quota.Decision) {
	for _, d := range decisions {
		if decided := q.waiting[d.ID]; decided != nil {
			delete(q.waiting, d.ID)
			decided <- d
		}
	}
}

func (q *quotas) sendAsks(asks []quota.SentAsk) {
	for _, ask := range asks {
		q.send(ask.To.VM, dissemination.KindQuotaAsk, ask.Ask)
	}
}

// run steps the tokenCache when it is due, until ctx ends.
func (q *quotas) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		case <-timer.C:
			q.mu.Lock()
			var asks []quota.SentAsk
			if q.dueAt != 0 && clock.Boot() >= q.dueAt {
				asks = q.step()
			}
			q.mu.Unlock()
			q.sendAsks(asks)
		}
		q.mu.Lock()
		wait := time.Hour
		if q.dueAt != 0 {
			wait = max(q.dueAt-clock.Boot(), time.Millisecond)
		}
		q.mu.Unlock()
		timer.Reset(wait)
	}
}
