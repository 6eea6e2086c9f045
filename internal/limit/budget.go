package limit

import (
	"fmt"
	"sync"
	"time"
)

// budgetSlices is the number of slices that the window of a RetryBudget is
// divided into. Events expire one slice at a time, once the whole window has passed.
const budgetSlices = 10

// RetryBudgetConfig holds the limits of a RetryBudget.
type RetryBudgetConfig struct {
	// Ratio is the number of retries allowed per deposited call within the window.
	Ratio float64
	// Window is how long a deposited call or a retry counts at least; it counts for
	// a slice more at most.
	Window time.Duration
	// MinRetries is the number of retries allowed within the window without
	// any deposited call. It counts from MinRetriesFrom on.
	MinRetries     int
	MinRetriesFrom time.Time
}

// RetryBudget bounds retries to a ratio of the recent deposited calls, so that
// retries cannot multiply the load on an upstream that fails as a whole. A retry
// counts from when it is made. One that is decided before, and has to wait, is reserved
// until then. It is safe for concurrent use.
type RetryBudget struct {
	config RetryBudgetConfig

	// mu guards slices, reserved, config.MinRetries and config.MinRetriesFrom. It is held for a few instructions
	// and never while another lock is taken.
	mu     sync.Mutex
	slices [budgetSlices + 1]budgetSlice
	// reserved is the number of retries that are decided and not made.
	reserved int
}

// budgetSlice counts the events of one slice of the window.
type budgetSlice struct {
	index    int64
	deposits int
	retries  int
}

// NewRetryBudget returns a budget without any deposited call.
func NewRetryBudget(config RetryBudgetConfig) (*RetryBudget, error) {
	if config.Ratio < 0 || config.Ratio > 1 {
		return nil, fmt.Errorf("limit: Ratio %v: must be from 0 to 1", config.Ratio)
	}
	if config.Window < budgetSlices {
		return nil, fmt.Errorf("limit: Window %v: is too short", config.Window)
	}
	if config.MinRetries < 0 {
		return nil, fmt.Errorf("limit: MinRetries %d: must be 0 or more", config.MinRetries)
	}
	return &RetryBudget{config: config}, nil
}

// SetMinRetries changes the number of retries allowed without any deposited call.
func (b *RetryBudget) SetMinRetries(retries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config.MinRetries = max(retries, 0)
}

// SetMinRetriesFrom changes from when on MinRetries counts.
func (b *RetryBudget) SetMinRetriesFrom(from time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config.MinRetriesFrom = from
}

// Deposit counts one call that adds to the budget: a success, or any first
// attempt where failures are not caused by the callee.
func (b *RetryBudget) Deposit(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentSlice(now).deposits++
}

// Allow reports whether one more retry is within the budget, and counts it if so.
func (b *RetryBudget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.available(now) {
		return false
	}
	b.currentSlice(now).retries++
	return true
}

// ReservedRetry is a retry that is decided and not made. Use or Cancel ends it. It is not
// safe for concurrent use.
type ReservedRetry struct {
	budget *RetryBudget
	ended  bool
}

// Reserve reserves one more retry if it is within the budget, and returns nil otherwise.
func (b *RetryBudget) Reserve(now time.Time) *ReservedRetry {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.available(now) {
		return nil
	}
	b.reserved++
	return &ReservedRetry{budget: b}
}

// Use counts the retry, which is made now. It returns false, and counts nothing, if the budget
// no longer allows the retry: deposits expire while it waits.
func (r *ReservedRetry) Use(now time.Time) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(r)
	if u := b.usage(now); u.Retries >= u.Allowed {
		return false
	}
	b.currentSlice(now).retries++
	return true
}

// Cancel gives the reservation back, unless it has ended. r may be nil.
func (r *ReservedRetry) Cancel() {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.release(r)
}

// release ends a reservation. The caller holds mu.
func (b *RetryBudget) release(r *ReservedRetry) {
	if !r.ended {
		r.ended = true
		b.reserved--
	}
}

// Usage is what a RetryBudget has counted within its window.
type Usage struct {
	Deposits, Retries int
	// Reserved is the number of retries that are decided and not made.
	Reserved int
	// Allowed is the number of retries that the deposits allow, with MinRetries.
	Allowed int
}

// Usage returns what was counted within the window before now.
func (b *RetryBudget) Usage(now time.Time) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage(now)
}

// Available reports whether one more retry is within the budget, without
// counting it.
func (b *RetryBudget) Available(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.available(now)
}

// available implements Available. The caller holds mu.
func (b *RetryBudget) available(now time.Time) bool {
	u := b.usage(now)
	return u.Retries+u.Reserved < u.Allowed
}

// usage implements Usage. The caller holds mu.
func (b *RetryBudget) usage(now time.Time) Usage {
	current := b.currentSlice(now)
	u := Usage{Reserved: b.reserved}
	for _, s := range b.slices {
		if s.index >= current.index-budgetSlices && s.index <= current.index {
			u.Deposits += s.deposits
			u.Retries += s.retries
		}
	}
	u.Allowed = int(b.config.Ratio * float64(u.Deposits))
	if !now.Before(b.config.MinRetriesFrom) {
		u.Allowed += b.config.MinRetries
	}
	return u
}

// currentSlice returns the slice of now and resets it if it counted events of
// an earlier window. The caller holds mu.
func (b *RetryBudget) currentSlice(now time.Time) *budgetSlice {
	index := now.UnixNano() / int64(b.config.Window/budgetSlices)
	s := &b.slices[index%int64(len(b.slices))]
	if s.index != index {
		*s = budgetSlice{index: index}
	}
	return s
}
