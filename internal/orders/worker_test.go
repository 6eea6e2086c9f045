package orders

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/admission"
	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/fleet"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
)

var climb = topology.Adapter{Model: "base", Name: "climb"}

// absentClient reaches nobody until the engine is back.
type absentClient struct {
	mu    sync.Mutex
	err   error
	calls int
}

func (c *absentClient) answer() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	return c.err
}

func (c *absentClient) set(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
}

func (c *absentClient) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

func (c *absentClient) Report(context.Context, topology.Upstream) (topology.EngineReport, error) {
	err := c.answer()
	return topology.EngineReport{Incarnation: 1, Models: []topology.HeldModel{{
		Name: "base", Version: 1, Adapters: []topology.HeldAdapter{{Name: climb.Name, Version: 1}},
	}}}, err
}

func (c *absentClient) Order(context.Context, topology.Upstream, residency.Order, Sender, func() error) (residency.OrderResult, error) {
	return residency.Unanswered, c.answer()
}

// The load of flapping and replaced engines: a request that waits at one which
// nobody answers for is sent elsewhere, the engine is not called without a rest,
// and it serves again once it is back.
func TestRequestsLeaveAnEngineThatCannotBeReached(t *testing.T) {
	for _, cause := range []error{ErrUnreachable, ErrOtherProcess} {
		t.Run(cause.Error(), func(t *testing.T) {
			t.Parallel()
			client := &absentClient{err: cause}
			told := make(chan AdmissionStatus, 64)
			pool, err := New(Config{
				Client: client, Holder: "vm",
				MayOrder:     func(string) (fleet.Token, bool) { return 1, true },
				ReportStatus: func(_ string, news AdmissionStatus) { told <- news },
				Log:          slog.New(slog.NewTextHandler(io.Discard, nil)),
			})
			if err != nil {
				t.Fatal(err)
			}
			engine := topology.Upstream{ID: "e", Incarnation: 1, Slots: 4}
			pool.Assign(t.Context(), []Assignment{{Engine: engine, Spec: residency.Spec{Capacity: 2, Model: "base"}}})
			ask := func(ticket uint64) AdmissionStatus {
				return pool.RequestAdmission("e", admission.Request{
					Key: admission.Key{Entry: "vm", Ticket: ticket}, Adapter: climb, PromptTokens: 10, PauseObjective: time.Second,
					FirstEventDue: clock.Boot() + time.Second, Deadline: clock.Boot() + time.Minute,
				})
			}
			if news := ask(1); news.Status == residency.Ready {
				t.Fatalf("status %v at an engine that nobody has reached", news.Status)
			} else if news.Status == residency.Waiting {
				if news := <-told; news.Status != residency.Unreachable {
					t.Errorf("told status %d, want %d", news.Status, residency.Unreachable)
				}
			}
			before, from := client.count(), time.Now()
			time.Sleep(500 * time.Millisecond)
			if calls, most := client.count()-before, 4+int(time.Since(from)/maxAbsentPause); calls > most {
				t.Errorf("%d calls to an absent engine, want at most %d", calls, most)
			}
			client.set(nil)
			for ticket := uint64(2); ask(ticket).Status != residency.Ready; ticket++ {
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}
