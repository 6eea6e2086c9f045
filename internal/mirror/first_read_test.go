package mirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/infra"
)

// unresponsiveKV does not answer reads that began while it was silent, also not when
// it is back.
type unresponsiveKV struct {
	*fake.KV
	answersFrom time.Time
	// readDuration is how long a read of all keys readDuration; one of few keys readDuration little.
	readDuration time.Duration
	// reads counts the reads of all keys that began.
	reads int
}

func (k *unresponsiveKV) Range(ctx context.Context, prefix string) (infra.RangeResult, error) {
	takes := time.Millisecond
	if prefix == "p/" {
		takes = k.readDuration
		k.reads++
	}
	wait := time.After(takes)
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

// The load of an outage at a restart of all daemons: they refuse every request
// until they know a configuration, so the service's return must be found soon;
// and a read that takes long because all daemons read at once is not given up.
func TestFirstReadComesSoonAfterTheReturn(t *testing.T) {
	tests := []struct {
		name        string
		down, takes time.Duration
		most        time.Duration
	}{
		{"short outage", 700 * time.Millisecond, 5 * time.Millisecond, probeTimeout + maxRetryPause},
		{"outage of two seconds", 2 * time.Second, 5 * time.Millisecond, probeTimeout + maxRetryPause},
		{"outage of five seconds", 5 * time.Second, 5 * time.Millisecond, 8*probeTimeout + maxRetryPause},
		{"slow service", 0, 3 * time.Second, 3*time.Second + probeTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := &unresponsiveKV{KV: fake.NewKV(), answersFrom: time.Now().Add(test.down), readDuration: test.takes}
				put(t, kv.KV, "p/a", "1")
				m, _ := start(t, kv)
				time.Sleep(test.down)
				returned := time.Now()
				for m.Revision() == 0 {
					time.Sleep(10 * time.Millisecond)
				}
				if kv.reads != 1 {
					t.Errorf("%d reads of all keys, want 1", kv.reads)
				}
				if took := time.Since(returned); took > test.most {
					t.Errorf("the first read came %v after the return, want at most %v", took, test.most)
				}
			})
		})
	}
}
