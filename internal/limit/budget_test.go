package limit

import (
	"testing"
	"time"
)

func TestRetryBudgetFollowsRecentDeposits(t *testing.T) {
	budget, err := NewRetryBudget(RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Second, MinRetries: 1})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	allowed := func() int {
		n := 0
		for budget.Allow(now) {
			n++
		}
		return n
	}
	if got := allowed(); got != 1 {
		t.Errorf("without deposits: %d retries, want the minimum of 1", got)
	}
	for range 10 {
		budget.Deposit(now)
	}
	if got := allowed(); got != 2 {
		t.Errorf("after 10 deposits: %d more retries, want 2", got)
	}
	now = now.Add(11 * time.Second)
	if got := allowed(); got != 1 {
		t.Errorf("after the window: %d retries, want the minimum of 1", got)
	}
}

// Retries at the end of a slice are not forgotten before the window has passed.
func TestRetriesOfEachWindowStayWithinTheBudget(t *testing.T) {
	const window, minRetries = 10 * time.Second, 4
	for first := time.Duration(0); first < 2*time.Second; first += 100 * time.Millisecond {
		budget, err := NewRetryBudget(RetryBudgetConfig{Window: window, MinRetries: minRetries})
		if err != nil {
			t.Fatal(err)
		}
		start := time.Unix(1000, 0).Add(first)
		for at := start; at.Before(start.Add(window)); at = at.Add(50 * time.Millisecond) {
			for budget.Allow(at) {
				if at.After(start) {
					t.Fatalf("used up at %v of a slice, a retry is allowed again after %v, want %v", first, at.Sub(start), window)
				}
			}
		}
	}
}

func TestReservedRetryCountsWhenItIsMade(t *testing.T) {
	budget, err := NewRetryBudget(RetryBudgetConfig{Ratio: 0.5, Window: 10 * time.Second, MinRetries: 1})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	budget.Deposit(now)
	budget.Deposit(now)
	kept, canceled := budget.Reserve(now), budget.Reserve(now)
	if kept == nil || canceled == nil || budget.Reserve(now) != nil || budget.Available(now) {
		t.Fatal("want two retries reserved, and no more")
	}
	canceled.Cancel()
	canceled.Cancel()
	expired := budget.Reserve(now)
	now = now.Add(12 * time.Second)
	if budget.Available(now) {
		t.Error("reserved retries no longer count after the window")
	}
	if !kept.Use(now) || budget.Usage(now).Retries != 1 {
		t.Errorf("usage %+v, want the retry to count from now", budget.Usage(now))
	}
	if expired.Use(now) {
		t.Error("a retry was made for deposits that have expired")
	}
}
