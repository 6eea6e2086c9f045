package gateway

import (
	"testing"
	"time"
)

// The shares of all daemons must add up to no more than the bound, even if the
// daemons are disconnected from each other.
func TestBudgetsOfAllDaemonsKeepTheBound(t *testing.T) {
	const daemons, requests = 9, 40
	settings := BudgetSettings{Ratio: 0.2, Window: 10 * time.Second, Slack: 58}
	now := time.Unix(1000, 0)
	retries := 0
	for range daemons {
		b := newBudgets(settings, now.Add(-time.Minute))
		b.raiseMembers(daemons)
		b.raiseMembers(1) // the others are disconnected
		for range requests {
			b.of("s").Deposit(now)
		}
		for b.of("s").Allow(now) {
			retries++
		}
	}
	if bound := int(settings.Ratio*daemons*requests + settings.Slack); retries > bound {
		t.Errorf("%d retries, want at most %d", retries, bound)
	}
	if retries < daemons*requests/10 {
		t.Errorf("only %d retries are allowed", retries)
	}
}
