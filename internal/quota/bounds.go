package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Groups is the number of groups of customers; each has its own coordinator.
const Groups = 2

// Customer is a customer with a limit.
type Customer struct {
	Name string
	// Rate is the limit in tokens a second, above 0, and Burst what may be used at once
	// beyond it, in tokens.
	Rate  float64
	Burst float64
}

// ID identifies a customer in messages.
func (c Customer) ID() uint64 {
	return xxhash.Sum64String(c.Name)
}

// GroupOf returns the group of the customer with the ID.
func GroupOf(id uint64) int {
	return int(id % Groups)
}

// Bounds are the settings of the upper bound: what a customer uses over all VMs in each span
// of Window is at most (rate x Window + burst) x (1 + Overshoot) + Slack.
type Bounds struct {
	Window    time.Duration
	Overshoot float64
	// Slack is in tokens.
	Slack float64
}

// The time that the overshoot leaves, Overshoot x Window, is divided among the delays at which
// tokens may be spent after they have accrued: 5/8 for their validity, 1/8 for the jitter of
// datagrams, and the rest for the store of the token buckets, because on average half an
// exchange interval of the accrued tokens is on its way to the coordinator. With a window of
// 8 s and an overshoot of 0.1 these are 500, 100 and 200 ms.
const (
	maxTokenValidity = 500 * time.Millisecond
	maxJitter        = 100 * time.Millisecond
	// maxStore bounds what a token bucket stores, in time at the customer's rate. It is
	// below the time after which a VM no longer counts in the others' shares.
	maxStore = 10 * time.Second
)

func (b Bounds) headroom() time.Duration {
	return time.Duration(b.Overshoot * float64(b.Window))
}

// TokenValidity is how long tokens may be spent after the ask for them was first sent.
func (b Bounds) TokenValidity() time.Duration {
	return min(maxTokenValidity, b.headroom()*5/8)
}

// jitter is how much accrued time a coordinator credits beyond the time that it observed
// between two datagrams of a VM.
func (b Bounds) jitter() time.Duration {
	return min(maxJitter, b.headroom()/8)
}

// maxDebt is the debt that all coordinators together may allow a customer, in tokens. The
// other half of the slack is stored for requests above the burst.
func (b Bounds) maxDebt() float64 {
	return b.Slack / 2
}

// store returns what may be stored for a customer in all places together, in seconds at its
// rate. largest is the largest cost that was asked for lately.
func (b Bounds) store(c Customer, largest float64) float64 {
	// The room of a token bucket may be as old as refreshInterval.
	extra := max(b.headroom()-b.TokenValidity()-b.jitter()-refreshInterval, 0).Seconds()
	tokens := c.Burst*(1+b.Overshoot) + min(b.Slack/2, largest)
	return min(tokens/c.Rate+extra, maxStore.Seconds())
}
