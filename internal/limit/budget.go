package limit

import (
	"fmt"
	"sync"
	"time"
)

// budgetSlices divides the window of a RetryBudget; the oldest slice is
// forgotten as a whole.
const budgetSlices = 10

// RetryBudgetConfig holds the limits of a RetryBudget.
type RetryBudgetConfig struct {
	// Ratio is the number of retries allowed for each earning call within the window.
	Ratio float64
	// Window is how long an earning call or a retry counts.
	Window time.Duration
	// MinRetries is the number of retries allowed within the window without any earning call.
	MinRetries int
}

// RetryBudget bounds retries to a share of the recent earning calls, so that
// retries cannot multiply the load on an upstream that fails as a whole. It is
// safe for concurrent use.
type RetryBudget struct {
	config RetryBudgetConfig

	// mu guards slices and config.Floor. It is held for a few instructions and never while
	// another lock is taken.
	mu     sync.Mutex
	slices [budgetSlices]budgetSlice
}

// budgetSlice counts the events of one part of the window.
type budgetSlice struct {
	index   int64
	earned  int
	retries int
}

// NewRetryBudget returns a budget without any earning call.
func NewRetryBudget(config RetryBudgetConfig) (*RetryBudget, error) {
	if config.Ratio < 0 || config.Ratio > 1 {
		return nil, fmt.Errorf("limit: Share %v: want 0 to 1", config.Ratio)
	}
	if config.Window < budgetSlices {
		return nil, fmt.Errorf("limit: Window %v: too short", config.Window)
	}
	if config.MinRetries < 0 {
		return nil, fmt.Errorf("limit: Floor %d: want 0 or more", config.MinRetries)
	}
	return &RetryBudget{config: config}, nil
}

// SetMinRetries changes the number of retries allowed without any earning call.
func (b *RetryBudget) SetMinRetries(floor int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config.MinRetries = max(floor, 0)
}

// Deposit counts one call that adds to the budget: a success, or where failures
// are not the callee's, any first attempt.
func (b *RetryBudget) Deposit(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slice(now).earned++
}

// Allow reports whether one more retry is within the budget, and counts it if so.
func (b *RetryBudget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.left(now) {
		return false
	}
	b.slice(now).retries++
	return true
}

// Available reports whether one more retry is within the budget, without counting it.
func (b *RetryBudget) Available(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(now)
}

// left adds up the window. The caller holds mu, because the slices are read.
func (b *RetryBudget) left(now time.Time) bool {
	current := b.slice(now)
	var earned, retries int
	for _, s := range b.slices {
		if s.index > current.index-budgetSlices && s.index <= current.index {
			earned += s.earned
			retries += s.retries
		}
	}
	return retries < b.config.MinRetries+int(b.config.Ratio*float64(earned))
}

// slice returns the slice of now, emptied if it counted an earlier window. The
// caller holds mu, because the slice is changed.
func (b *RetryBudget) slice(now time.Time) *budgetSlice {
	index := now.UnixNano() / int64(b.config.Window/budgetSlices)
	s := &b.slices[index%budgetSlices]
	if s.index != index {
		*s = budgetSlice{index: index}
	}
	return s
}
