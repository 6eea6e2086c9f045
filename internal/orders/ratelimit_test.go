package orders

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/admission"
	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/fleet"
	"github.com/barleylift/barleylift/internal/ratelimit"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
)

// newLimitedWorker returns a worker that does not run, of an engine that holds climb
// and has a bucket of two requests at now.
func newLimitedWorker(t *testing.T, now time.Duration) *worker {
	t.Helper()
	pool, err := New(Config{
		Client: &unreachableClient{}, Holder: "vm",
		MayOrder:     func(string) (fleet.Token, bool) { return 1, true },
		ReportStatus: func(string, AdmissionStatus) {},
		Log:          slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	if err != nil {
		t.Fatal(err)
	}
	w := newWorker(pool, Assignment{
		Engine: topology.Upstream{ID: "e", Incarnation: 1, Slots: 64}, Spec: residency.Spec{Capacity: 4, Model: "base"},
	})
	w.allowed = true
	w.engine.ApplyReport(now, topology.EngineReport{Incarnation: 1, Models: []topology.HeldModel{{
		Name: "base", Version: 1, Adapters: []topology.HeldAdapter{{Name: climb.Name, Version: 1}},
	}}})
	w.recordRateLimit(now-time.Minute, 1, ratelimit.Knowledge{Rate: 8, Limited: true, ReceivedAt: now - time.Minute})
	return w
}

func (w *worker) ask(now time.Duration, ticket uint64, adapter topology.Adapter, patience time.Duration) AdmissionStatus {
	return w.requestAdmission(now, admission.Request{
		Key: admission.Key{Entry: "vm", Ticket: ticket}, Adapter: adapter, FirstEventDue: now + time.Second, Deadline: now + time.Minute, TurnBy: now + patience,
	})
}

// Two daemons that admit requests would each admit the whole rate: one that may not
// send orders admits none to an engine with a rate limit.
func TestOnlyTheOwnerAdmitsToALimitedEngine(t *testing.T) {
	now := clock.Boot()
	w := newLimitedWorker(t, now)
	w.allowed = false
	if status := w.ask(now, 1, climb, ratelimit.MaxWait); status.Status != residency.NoRoom || status.RoomIn <= 0 {
		t.Errorf("without permission: %+v", status)
	}
	w.allowed = true
	if status := w.ask(now, 2, climb, ratelimit.MaxWait); status.Status != residency.Ready {
		t.Errorf("with permission: %+v", status)
	}
	w.recordRateLimit(now, 2, ratelimit.Knowledge{SentAt: now, ReceivedAt: now})
	if !w.limiter.Limited() {
		t.Error("an answer of another process ended the limit")
	}
	// A report may name the later process before its registration does.
	w.engine.ApplyReport(now, topology.EngineReport{Incarnation: 2})
	w.update(Assignment{Engine: topology.Upstream{ID: "e", Incarnation: 2, Slots: 64}, Spec: residency.Spec{Capacity: 4, Model: "base"}})
	if w.limiter.Limited() {
		t.Error("the limit of an earlier process holds for a later one")
	}
}

// A request whose adapter is being loaded keeps its turn: others get none that it
// needs, and are declined at once.
func TestRequestsThatWaitForALoadKeepTheirTurns(t *testing.T) {
	now := clock.Boot()
	w := newLimitedWorker(t, now)
	cold := topology.Adapter{Model: "base", Name: "cold"}
	for ticket := range uint64(2) {
		if status := w.ask(now, ticket, cold, ratelimit.MaxLoadWait); status.Status != residency.Waiting {
			t.Fatalf("request for a cold adapter: %+v", status)
		}
	}
	if status := w.ask(now, 2, climb, 100*time.Millisecond); status.Status != residency.NoRoom {
		t.Errorf("request for a held adapter takes a kept turn: %+v", status)
	}
	w.handleProgress(now, admission.Key{Entry: "vm", Ticket: 0}, AdmissionProgress{Ended: true})
	if status := w.ask(now+admissionPause, 3, climb, 100*time.Millisecond); status.Status != residency.Ready {
		t.Errorf("request for a held adapter after a turn was given up: %+v", status)
	}
}

// admissionPause is longer than the gate waits after an admission that has ended.
const admissionPause = 50 * time.Millisecond
