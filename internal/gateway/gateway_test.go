package gateway

import (
	"testing"
	"time"
)

// The shares of all daemons must add up to the bound, whether or not they can
// talk to one another.
func TestBudgetsOfAllDaemonsKeepTheBound(t *testing.T) {
	const daemons, requests = 9, 40
	settings := BudgetSettings{Share: 0.2, Window: 10 * time.Second, Slack: 58}
	now := time.Unix(1000, 0)
	repeats := 0
	for range daemons {
		b := newBudgets(settings)
		b.setMembers(daemons)
		b.setMembers(1) // the others are cut off
		for range requests {
			b.of("s").Deposit(now)
		}
		for b.of("s").Allow(now) {
			repeats++
		}
	}
	if bound := int(settings.Share*daemons*requests + settings.Slack); repeats > bound {
		t.Errorf("%d repeated sends, want at most %d", repeats, bound)
	}
	if repeats < daemons*requests/10 {
		t.Errorf("only %d repeated sends are allowed", repeats)
	}
}
