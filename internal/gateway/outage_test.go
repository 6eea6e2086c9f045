package gateway

import (
	"testing"
	"time"
)

// Registrations that are missing after an outage are waited for from when the service came
// back, not from when the daemon had its lease again: upstreams that leave in between would
// get requests for too long.
func TestOutageEndsWhenTheServiceIsBack(t *testing.T) {
	type step struct {
		at              time.Duration
		isLost          bool
		watchRegainedAt time.Duration
	}
	const s = time.Second
	tests := []struct {
		name  string
		steps []step
		want  time.Duration
	}{
		{"the watch finds it back, the lease later", []step{{10 * s, true, 0}, {11 * s, true, 0}, {12 * s, true, 12 * s}, {13 * s, false, 12 * s}, {14 * s, false, 12 * s}}, 12 * s},
		{"the lease alone has missed it", []step{{10 * s, true, 3 * s}, {13 * s, false, 3 * s}}, 13 * s},
		{"none", []step{{10 * s, false, 3 * s}}, 3 * s},
		{"a second one", []step{{10 * s, true, 0}, {12 * s, false, 11 * s}, {20 * s, true, 11 * s}, {23 * s, false, 11 * s}}, 23 * s},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var o storeOutage
			var got time.Duration
			for _, step := range test.steps {
				got = o.regainedAt(step.at, step.isLost, max(got, step.watchRegainedAt))
			}
			if got != test.want {
				t.Errorf("back at %v, want %v", got, test.want)
			}
		})
	}
}
