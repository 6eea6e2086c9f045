package queue

import (
	"time"

	"github.com/barleylift/barleylift/internal/profile"
)

// Order is the order in which a band serves its customers.
type Order int

// The orders within a band.
const (
	// OrderTokens serves the customer with the fewest tokens per weight first.
	OrderTokens Order = iota
	// OrderRoundRobin counts calls instead of tokens. It is a baseline for
	// comparisons.
	OrderRoundRobin
)

// RefusalPolicy decides when a call that cannot be served in time is refused.
type RefusalPolicy int

// The refusal policies.
const (
	// RefuseEarly refuses a call at arrival if its expected wait exceeds its
	// tolerance, and sheds waiting calls that are expected to miss their deadline.
	RefuseEarly RefusalPolicy = iota
	// RefuseAtDeadline accepts calls until the queue is full and lets them
	// expire. It is a baseline for comparisons.
	RefuseAtDeadline
)

const (
	defaultRateHalfLife = 10 * time.Second
	defaultMaxWaiting   = 4096
	minRetryAfter       = 100 * time.Millisecond
)

// defaultMinShare is the tokens that a waiting band is served for each token
// of more urgent bands.
var defaultMinShare = [profile.UrgencyCount]float64{
	profile.Background: 0.05,
	profile.Normal:     0.10,
	profile.High:       0.15,
}

// Config sets the rules of a queue.
type Config struct {
	// MinShare is, for each band, the tokens that it is served, while calls
	// wait in it, for each token of more urgent bands.
	MinShare [profile.UrgencyCount]float64
	// MaxWaiting is the maximum number of waiting calls; 0 means 4096.
	MaxWaiting int
	// RateHalfLife is the half-life of observations of the service rate; 0
	// means 10 s.
	RateHalfLife time.Duration
	Order        Order
	Refusal      RefusalPolicy
}

func (c Config) withDefaults() Config {
	if c.MinShare == ([profile.UrgencyCount]float64{}) {
		c.MinShare = defaultMinShare
	}
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = defaultMaxWaiting
	}
	if c.RateHalfLife <= 0 {
		c.RateHalfLife = defaultRateHalfLife
	}
	return c
}
