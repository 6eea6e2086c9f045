package gateway

import (
	"testing"
	"time"
)

// Registrations that expired in an outage are renewed within 2 s of its end. A daemon that had read only a
// part of what it missed, or that reads with pauses, took such upstreams for gone.
func TestRemovalAfterAnOutageNeedsACompleteCopy(t *testing.T) {
	const regainedAt, grace = 100 * time.Second, registrationGrace
	tests := map[string]struct {
		seenAt       time.Duration
		disconnected bool
		// now and asOf are relative to regainedAt.
		now, asOf  time.Duration
		over, asks bool
	}{
		"in calm, at once":                       {time.Minute, false, time.Minute, 0, true, false},
		"in the grace":                           {time.Second, false, grace - 1, grace - 1, false, false},
		"after it, copy of before":               {time.Second, false, grace, grace - 1, false, true},
		"after it, copy complete":                {time.Second, false, grace, grace, true, false},
		"forwarded while disconnected, in grace": {time.Minute, true, time.Minute + grace - 1, time.Minute + grace, false, false},
		"forwarded while disconnected, no proof": {time.Minute, true, time.Minute + grace, time.Minute, false, true},
		"forwarded while disconnected, complete": {time.Minute, true, time.Minute + grace, time.Minute + grace, true, false},
	}
	for name, test := range tests {
		r := newRemoval(regainedAt+test.seenAt, regainedAt, test.disconnected)
		now, asOf := regainedAt+test.now, regainedAt+test.asOf
		if over, asks := r.isOver(now, asOf), r.lacksProof(now, asOf); over != test.over || asks != test.asks {
			t.Errorf("%s: over %t, asks for a proof %t; want %t, %t", name, over, asks, test.over, test.asks)
		}
	}
}
