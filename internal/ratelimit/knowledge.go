package ratelimit

import "time"

// Knowledge is what the answers of one process of an upstream have said about its
// rate limit. The zero value is that no answer is known.
type Knowledge struct {
	// Rate is the number of requests a second that the process takes from all VMs
	// together, if Limited is set.
	Rate    float64
	Limited bool
	// SentAt and ReceivedAt are when the request to the decisive answer was sent
	// and when its head arrived: the process has said it between the two.
	SentAt     time.Duration
	ReceivedAt time.Duration
}

// Merged returns what is known after another answer. Answers on different
// connections overtake each other, so one that allows more counts only if it was
// certainly made later, and one that allows less unless it was certainly made
// earlier.
func (k Knowledge) Merged(other Knowledge) Knowledge {
	switch {
	case k.allowsMoreThan(other):
		if other.ReceivedAt > k.SentAt {
			return other
		}
	case other.allowsMoreThan(k):
		if other.SentAt >= k.ReceivedAt {
			return other
		}
	default:
		k.SentAt = max(k.SentAt, other.SentAt)
		k.ReceivedAt = max(k.ReceivedAt, other.ReceivedAt)
	}
	return k
}

// allowsMoreThan reports whether k allows a higher rate than other.
func (k Knowledge) allowsMoreThan(other Knowledge) bool {
	return other.Limited && (!k.Limited || k.Rate > other.Rate)
}

// Same reports whether both allow the same rate.
func (k Knowledge) Same(other Knowledge) bool {
	return k.Limited == other.Limited && (!k.Limited || k.Rate == other.Rate)
}
