package pausing

import (
	"math"
	"time"
)

const (
	// Max bounds one pause, so that a wrong value does not take an upstream away
	// for hours. It can ask again.
	Max = 10 * time.Minute
	// MaxWait is how long a request waits for the end of a pause. A longer wait
	// is left to the caller, whose connection would be held in vain.
	MaxWait = 250 * time.Millisecond
	// rampShare is the length of the ramp as a share of the pause, within the
	// bounds that follow.
	rampShare = 0.5
	minRamp   = 300 * time.Millisecond
	maxRamp   = 5 * time.Second
)

// Pause is a time in which an upstream gets nothing, and the ramp after it, in
// which it gets a growing share of the requests. Times are readings of one
// monotonic clock. The zero value is no pause.
type Pause struct {
	began time.Duration
	until time.Duration
}

// Extended returns the pause after the upstream has asked at now for one of a
// length. Of two pauses the later end holds.
func (p Pause) Extended(now, length time.Duration) Pause {
	until := now + min(length, Max)
	if !p.Active(now) {
		return Pause{began: now, until: until}
	}
	p.until = max(p.until, until)
	return p
}

// Active reports whether the upstream gets nothing.
func (p Pause) Active(now time.Duration) bool {
	return now < p.until
}

// Over reports whether the upstream gets all requests.
func (p Pause) Over(now time.Duration) bool {
	return now >= p.until+p.ramp()
}

// Until returns the end of the pause, when the ramp begins.
func (p Pause) Until() time.Duration {
	return p.until
}

// Takes reports whether a request may be sent to the upstream. random is a number
// of the request.
func (p Pause) Takes(now time.Duration, random uint64) bool {
	return now >= p.TakesAt(random)
}

// TakesAt returns from when on a request may be sent to the upstream: times of
// different requests are spread evenly over the ramp.
func (p Pause) TakesAt(random uint64) time.Duration {
	fraction := float64(random) / math.MaxUint64
	return p.until + time.Duration(fraction*float64(p.ramp()))
}

// ReturnAt returns when the caller of a refused request should come back: when
// the upstream gets all requests, at times of different requests spread evenly.
func (p Pause) ReturnAt(random uint64) time.Duration {
	return p.TakesAt(random) + p.ramp()
}

func (p Pause) ramp() time.Duration {
	if p.until == 0 {
		return 0
	}
	return min(max(time.Duration(rampShare*float64(p.until-p.began)), minRamp), maxRamp)
}
