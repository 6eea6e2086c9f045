package residency

import (
	"testing"
	"time"
)

// readyAfter requests one cold adapter at an engine whose reports lag and
// returns when it counts as ready, and the number of calls made until then.
func readyAfter(t *testing.T, reportLag time.Duration) (ready time.Duration, calls int) {
	t.Helper()
	f := newFakeEngine(t, 4)
	e := syncedEngine(4)
	const step = 5 * time.Millisecond
	for now := time.Duration(0); now < 5*time.Second; now += step {
		f.advance(now)
		f.reports = append(f.reports, f.report())
		e.RequestLoad(now, adapter(0), 1)
		if e.Status(adapter(0), 1) == Ready {
			if f.held[adapter(0)] != 1 {
				t.Fatalf("the adapter counts as ready at %v, before the engine holds it", now)
			}
			return now, calls
		}
		switch action := e.Next(now); {
		case action.FetchReport:
			calls++
			e.ApplyReport(now, f.reports[max(len(f.reports)-1-int(reportLag/step), 0)])
		case action.Order != nil:
			calls++
			e.ApplyOrderResult(now, *action.Order, f.carryOut(now, *action.Order))
		}
	}
	t.Fatal("the adapter never became ready")
	return 0, 0
}

// The load: one caller waits for a cold adapter at an engine whose reports are
// 250 ms old. It gets the adapter within 50 ms of the end of the load, not when
// a report shows it, and that takes few calls.
func TestLoadEndsWithoutWaitingForAReport(t *testing.T) {
	const maxDelay, maxCalls = 50 * time.Millisecond, 8
	ready, calls := readyAfter(t, 250*time.Millisecond)
	if ready > fakeLoadTime+maxDelay {
		t.Errorf("ready after %v, want at most %v after the load's end at %v", ready, maxDelay, fakeLoadTime)
	}
	if calls > maxCalls {
		t.Errorf("%d calls to the engine for one load, want at most %d", calls, maxCalls)
	}
}
