package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/limit"
)

const (
	// budgetMargin keeps the sum of all daemons' shares below the bound while
	// their views of the number of daemons differ.
	budgetMargin = 0.8
	// firstStartTime is how long the daemons of a fleet that starts for the first time may
	// take to learn of each other.
	firstStartTime = 2 * time.Second
)

// budgets holds this daemon's share of the retry budget of each service. The
// shares add up to the bound without communication between daemons: each gets
// the ratio of its own requests and an equal part of the slack. A daemon that has
// just started takes no part of the slack for one window: an earlier process of
// the VM may have used it, and the number of daemons is not known yet. If the fleet
// starts for the first time, the latter is all that is waited for.
type budgets struct {
	mu        sync.Mutex // guards the fields below; not held during I/O
	settings  BudgetSettings
	startedAt time.Time
	// slackFrom is from when on the daemon's part of the slack counts.
	slackFrom time.Time
	members   int
	services  map[string]*limit.RetryBudget
}

// newBudgets returns the budgets of a daemon that starts at a time, by the clock of the
// budgets' calls.
func newBudgets(settings BudgetSettings, startedAt time.Time) *budgets {
	b := &budgets{settings: settings, startedAt: startedAt, members: 1, services: make(map[string]*limit.RetryBudget)}
	b.slackFrom = startedAt.Add(settings.Window)
	return b
}

// beginFirstStart makes the slack count from firstStartTime after the start: there was no
// process of this VM before.
func (b *budgets) beginFirstStart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slackFrom = b.startedAt.Add(firstStartTime)
	for _, budget := range b.services {
		budget.SetMinRetriesFrom(b.slackFrom)
	}
}

// of returns the budget of a service.
func (b *budgets) of(service string) *limit.RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.services[service]
	if budget == nil {
		budget = b.build()
		b.services[service] = budget
	}
	return budget
}

// build returns an empty budget. The caller holds mu, which guards the settings.
func (b *budgets) build() *limit.RetryBudget {
	budget, err := limit.NewRetryBudget(limit.RetryBudgetConfig{
		Ratio:          b.settings.Ratio * budgetMargin,
		Window:         b.settings.Window,
		MinRetries:     b.minRetries(),
		MinRetriesFrom: b.slackFrom,
	})
	if err != nil {
		// Settings.Check and the constants above rule this out.
		panic("gateway: " + err.Error())
	}
	return budget
}

// raiseMembers raises the number of daemons that share the budget, and reports whether it
// did. It never decreases, so that a disconnected daemon does not use the others' shares.
func (b *budgets) raiseMembers(members int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if members <= b.members {
		return false
	}
	b.members = members
	for _, budget := range b.services {
		budget.SetMinRetries(b.minRetries())
	}
	return true
}

// minRetries returns this daemon's part of the slack. The caller holds mu.
func (b *budgets) minRetries() int {
	return int(math.Floor(b.settings.Slack * budgetMargin / float64(b.members)))
}

// memberCount returns the number of daemons that share bounds.
func (b *budgets) memberCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.members
}
