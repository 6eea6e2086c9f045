package orders

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/fleet"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
)

// An owner that claims an engine within a pause that the engine has asked its VM for, or
// learns of a later process that has, admits nothing there until the pause is over.
func TestOwnerKeepsToPauseThatBeganBeforeItsClaim(t *testing.T) {
	pausedUntil := time.Duration(0)
	pool, err := New(Config{
		Client: &unreachableClient{}, Holder: "vm",
		MayOrder:     func(string) (fleet.Token, bool) { return 1, true },
		PausedUntil:  func(string) time.Duration { return pausedUntil },
		ReportStatus: func(string, AdmissionStatus) {},
		Log:          slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	if err != nil {
		t.Fatal(err)
	}
	assignment := Assignment{Engine: topology.Upstream{ID: "e", Incarnation: 1, Slots: 4}, Spec: residency.Spec{Capacity: 2, Model: "base"}}
	admit := func(w *worker, incarnation int64) residency.Status {
		w.allowed = true
		w.engine.ApplyReport(clock.Boot(), topology.EngineReport{Incarnation: incarnation, Models: []topology.HeldModel{{
			Name: "base", Version: 1, Adapters: []topology.HeldAdapter{{Name: climb.Name, Version: 1}},
		}}})
		return w.ask(clock.Boot(), uint64(incarnation), climb, time.Second).Status
	}
	w := newWorker(pool, assignment)
	if status := admit(w, 1); status != residency.Ready {
		t.Fatalf("status %d without a pause", status)
	}
	pausedUntil = clock.Boot() + time.Hour
	if status := admit(newWorker(pool, assignment), 1); status != residency.Declined {
		t.Errorf("claimed in a pause: status %d", status)
	}
	assignment.Engine.Incarnation = 2
	w.update(assignment)
	if status := admit(w, 2); status != residency.Declined {
		t.Errorf("a later process that has asked for a pause: status %d", status)
	}
	pausedUntil = 0
	assignment.Engine.Incarnation = 3
	if status := admit(newWorker(pool, assignment), 3); status != residency.Ready {
		t.Errorf("a process without a pause after one with a pause: status %d", status)
	}
}
