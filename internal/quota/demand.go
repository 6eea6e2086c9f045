package quota

import (
	"math"
	"time"
)

const (
	// extraTime is the time whose requests extra tokens cover.
	extraTime = 200 * time.Millisecond
	// extraInterval is the least time between two asks for extra tokens of one customer.
	extraInterval = 50 * time.Millisecond
	// demandTime is the time constant of the average of the demand.
	demandTime = 300 * time.Millisecond
	// frequentRequests is the number of requests in extraTime from which on extra tokens are
	// wanted: for fewer they would mostly expire.
	frequentRequests = 2
	// recentTime is how long a customer counts as active after its last request.
	recentTime = 2 * time.Second
)

// demand is the average of what a customer's requests on one VM cost.
type demand struct {
	// tokens and requests are sums that decay with demandTime.
	tokens, requests float64
	at               time.Duration
}

func (d *demand) add(now time.Duration, cost int64) {
	d.decay(now)
	d.tokens += float64(cost)
	d.requests++
	d.at = now
}

func (d *demand) decay(now time.Duration) {
	if factor := math.Exp(-(now - d.at).Seconds() / demandTime.Seconds()); factor < 1 {
		d.tokens *= factor
		d.requests *= factor
	}
}

// isRecent reports whether there was a request lately.
func (d *demand) isRecent(now time.Duration) bool {
	return d.at != 0 && now-d.at < recentTime
}

// factor returns what the sums are to be multiplied by to get those of extraTime.
func (d *demand) factor(now time.Duration) float64 {
	return math.Exp(-(now-d.at).Seconds()/demandTime.Seconds()) * extraTime.Seconds() / demandTime.Seconds()
}

func (d *demand) isFrequent(now time.Duration) bool {
	return d.requests*d.factor(now) >= frequentRequests
}

// extra returns the tokens wanted for the requests of the next extraTime.
func (d *demand) extra(now time.Duration) int64 {
	if !d.isFrequent(now) {
		return 0
	}
	return int64(d.tokens * d.factor(now))
}
