package mirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/infra"
)

// silentKV does not answer reads that began while it was silent, also not when
// it is back.
type silentKV struct {
	*fake.KV
	back time.Time
	// takes is how long a read takes.
	takes time.Duration
}

func (k *silentKV) Range(ctx context.Context, prefix string) (infra.RangeResult, error) {
	wait := time.After(k.takes)
	if time.Now().Before(k.back) {
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
// and a service that all read at once must not be asked for ever in vain.
func TestFirstReadComesSoonAfterTheReturn(t *testing.T) {
	tests := []struct {
		name        string
		down, takes time.Duration
		most        time.Duration
	}{
		{"short outage", 700 * time.Millisecond, 5 * time.Millisecond, firstReadWait + maxPause},
		{"outage of two seconds", 2 * time.Second, 5 * time.Millisecond, firstReadWait + maxPause},
		{"slow service", 0, 1900 * time.Millisecond, 9 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := &silentKV{KV: fake.NewKV(), back: time.Now().Add(test.down), takes: test.takes}
				put(t, kv.KV, "p/a", "1")
				m, _ := start(t, kv)
				time.Sleep(test.down)
				returned := time.Now()
				for m.Revision() == 0 {
					time.Sleep(10 * time.Millisecond)
				}
				if took := time.Since(returned); took > test.most {
					t.Errorf("the first read came %v after the return, want at most %v", took, test.most)
				}
			})
		})
	}
}
