package topology

import "time"

// Statement is what an upstream's answer says about later requests, whatever the
// answer is to.
type Statement struct {
	// Leaving is set if the process is about to end and wants no new requests.
	Leaving bool
	// Pause is how long the process wants nothing from this VM; 0 if not stated.
	Pause time.Duration
	// RateLimit is the number of requests a second that the process takes from all
	// VMs together, if HasRateLimit is set.
	RateLimit    float64
	HasRateLimit bool
	// MaxRefusals is the number of requests in a second that the process can refuse for
	// want of room without falling over, if HasMaxRefusals is set.
	MaxRefusals    int
	HasMaxRefusals bool
	// NoRoom is set if the answer refuses its request for want of room.
	NoRoom bool
	// Invalid describes a value that could not be decoded and is ignored; empty if
	// there is none.
	Invalid string
}
