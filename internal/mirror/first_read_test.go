package mirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/infra"
)

// unresponsiveKV never answers reads that began before answersFrom, not even
// later.
type unresponsiveKV struct {
	*fake.KV
	answersFrom time.Time
	// readDuration is how long a read of all keys takes; other reads take 1 ms.
	readDuration time.Duration
	// reads counts the reads of all keys that were started.
	reads int
}

func (k *unresponsiveKV) Range(ctx context.Context, prefix string) (infra.RangeResult, error) {
	duration := time.Millisecond
	if prefix == "p/" {
		duration = k.readDuration
		k.reads++
	}
	wait := time.After(duration)
	if time.Now().Before(k.answersFrom) {
		wait = nil
	}
	select {
	case <-wait:
		return k.KV.Range(ctx, prefix)
	case <-ctx.Done():
		return infra.RangeResult{}, &infra.Error{Op: "range", Kind: infra.Unavailable, Err: ctx.Err()}
	}
}

// All daemons restart during an outage of the service. They refuse every request
// until they have read a configuration, so they must detect the recovery soon;
// and a read that is slow because all daemons read at once must not be aborted.
func TestFirstReadFollowsSoonAfterRecovery(t *testing.T) {
	tests := []struct {
		name                 string
		outage, readDuration time.Duration
		maxDelay             time.Duration
	}{
		{"short outage", 700 * time.Millisecond, 5 * time.Millisecond, probeTimeout + maxRetryPause},
		{"outage of two seconds", 2 * time.Second, 5 * time.Millisecond, probeTimeout + maxRetryPause},
		{"outage of five seconds", 5 * time.Second, 5 * time.Millisecond, 8*probeTimeout + maxRetryPause},
		{"slow service", 0, 3 * time.Second, 3*time.Second + probeTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := &unresponsiveKV{KV: fake.NewKV(), answersFrom: time.Now().Add(test.outage), readDuration: test.readDuration}
				put(t, kv.KV, "p/a", "1")
				m, _ := start(t, kv)
				time.Sleep(test.outage)
				recoveredAt := time.Now()
				for m.Revision() == 0 {
					time.Sleep(10 * time.Millisecond)
				}
				if kv.reads != 1 {
					t.Errorf("%d reads of all keys, want 1", kv.reads)
				}
				if delay := time.Since(recoveredAt); delay > test.maxDelay {
					t.Errorf("the first read succeeded %v after the recovery, want at most %v", delay, test.maxDelay)
				}
			})
		})
	}
}
