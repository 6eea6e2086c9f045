package queue

import (
	"time"

	"github.com/barleylift/barleylift/internal/profile"
)

// Order is the order of customers within a band.
type Order int

// The orders within a band.
const (
	// OrderTokens serves the customer with the fewest tokens for its weight.
	OrderTokens Order = iota
	// OrderRoundRobin counts calls in place of tokens. It is a baseline.
	OrderRoundRobin
)

// RefusalPolicy tells when a call that cannot be served in time is refused.
type RefusalPolicy int

// The refusal policies.
const (
	// RefuseEarly refuses at arrival by the expected wait.
	RefuseEarly RefusalPolicy = iota
	// RefuseAtDeadline accepts all and lets them expire. It is a baseline.
	RefuseAtDeadline
)

const (
	defaultRateHalfLife = 10 * time.Second
	defaultMaxWaiting   = 4096
	minRetryAfter       = 100 * time.Millisecond
)

// defaultLeastShare is the share of the tokens of more urgent bands that a
// waiting band is served beside them.
var defaultLeastShare = [profile.UrgencyCount]float64{
	profile.Background: 0.05,
	profile.Normal:     0.10,
	profile.High:       0.15,
}

// Config sets the rules of a queue.
type Config struct {
	// MinShare is, for each band, the tokens that it is served while it
	// waits for each token of more urgent bands.
	MinShare [profile.UrgencyCount]float64
	// MaxWaiting bounds the waiting calls; 0 means 4096.
	MaxWaiting int
	// RateHalfLife is the time after which an observation of the service
	// rate counts half; 0 means 10 s.
	RateHalfLife time.Duration
	Order        Order
	Refusal      RefusalPolicy
}

func (c Config) withDefaults() Config {
	if c.MinShare == ([profile.UrgencyCount]float64{}) {
		c.MinShare = defaultLeastShare
	}
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = defaultMaxWaiting
	}
	if c.RateHalfLife <= 0 {
		c.RateHalfLife = defaultRateHalfLife
	}
	return c
}
