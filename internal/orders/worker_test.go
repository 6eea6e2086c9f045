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

// unreachableClient fails all calls while err is set.
type unreachableClient struct {
	mu    sync.Mutex
	err   error
	calls int
}

func (c *unreachableClient) answer() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	return c.err
}

func (c *unreachableClient) setError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
}

func (c *unreachableClient) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

func (c *unreachableClient) Report(context.Context, topology.Upstream) (topology.EngineReport, error) {
	err := c.answer()
	return topology.EngineReport{Incarnation: 1, Models: []topology.HeldModel{{
		Name: "base", Version: 1, Adapters: []topology.HeldAdapter{{Name: climb.Name, Version: 1}},
	}}}, err
}

func (c *unreachableClient) Order(context.Context, topology.Upstream, residency.Order, Sender, func() error) (residency.OrderResult, error) {
	return residency.Unanswered, c.answer()
}

// Flapping and replaced engines are unreachable for a while. Requests that wait
// there must be sent to other engines, the engine must not be called without
// pauses, and it must serve again once it answers.
func TestRequestsLeaveAnEngineThatCannotBeReached(t *testing.T) {
	for _, cause := range []error{ErrUnreachable, ErrOtherProcess} {
		t.Run(cause.Error(), func(t *testing.T) {
			t.Parallel()
			client := &unreachableClient{err: cause}
			reported := make(chan AdmissionStatus, 64)
			pool, err := New(Config{
				Client: client, Holder: "vm",
				MayOrder:     func(string) (fleet.Token, bool) { return 1, true },
				ReportStatus: func(_ string, status AdmissionStatus) { reported <- status },
				Log:          slog.New(slog.NewTextHandler(io.Discard, nil)),
			})
			if err != nil {
				t.Fatal(err)
			}
			engine := topology.Upstream{ID: "e", Incarnation: 1, Slots: 4}
			pool.Assign(t.Context(), []Assignment{{Engine: engine, Spec: residency.Spec{Capacity: 2, Model: "base"}}})
			request := func(ticket uint64) AdmissionStatus {
				return pool.RequestAdmission("e", admission.Request{
					Key: admission.Key{Entry: "vm", Ticket: ticket}, Adapter: climb, PromptTokens: 10, PauseObjective: time.Second,
					FirstEventDue: clock.Boot() + time.Second, Deadline: clock.Boot() + time.Minute,
				})
			}
			if status := request(1); status.Status == residency.Ready {
				t.Fatalf("status %v at an unreachable engine", status.Status)
			} else if status.Status == residency.Waiting {
				if status := <-reported; status.Status != residency.Unreachable {
					t.Errorf("reported status %d, want %d", status.Status, residency.Unreachable)
				}
			}
			before, start := client.count(), time.Now()
			time.Sleep(500 * time.Millisecond)
			if calls, limit := client.count()-before, 4+int(time.Since(start)/maxRetryPause); calls > limit {
				t.Errorf("%d calls to an unreachable engine, want at most %d", calls, limit)
			}
			client.setError(nil)
			for ticket := uint64(2); request(ticket).Status != residency.Ready; ticket++ {
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}

// newPool returns a pool with one engine, e, that holds the adapter climb.
func newPool(t *testing.T) *Pool {
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
	engine := topology.Upstream{ID: "e", Incarnation: 1, Slots: 4}
	pool.Assign(t.Context(), []Assignment{{Engine: engine, Spec: residency.Spec{Capacity: 8, Model: "base"}}})
	return pool
}

// The load: several requests wait for adapters that are being loaded, none for
// the engine's batch. Entries must not take the loads for a long queue: they
// would load the adapters that the engine holds at other engines too.
func TestRequestsForColdAdaptersDoNotCountAsQueued(t *testing.T) {
	pool := newPool(t)
	// A prompt of 400,000 tokens takes 22 s, so the next one can't join it.
	request := func(ticket uint64, adapter topology.Adapter) AdmissionStatus {
		return pool.RequestAdmission("e", admission.Request{
			Key: admission.Key{Entry: "vm", Ticket: ticket}, Adapter: adapter, PromptTokens: 400_000, PauseObjective: time.Second,
			FirstEventDue: clock.Boot() + time.Second, Deadline: clock.Boot() + time.Minute,
		})
	}
	for request(1, climb).Status != residency.Ready {
		time.Sleep(time.Millisecond)
	}
	for ticket, name := range map[uint64]string{2: "cold-1", 3: "cold-2", 4: "cold-3"} {
		if status := request(ticket, topology.Adapter{Model: "base", Name: name}); status.Status != residency.Waiting || status.Waiting != 0 {
			t.Errorf("request for %s: %+v, want it to wait, with no request waiting for the batch", name, status)
		}
	}
	if status := request(5, climb); status.Status != residency.Waiting || status.Waiting != 1 {
		t.Errorf("request for the held adapter: %+v, want one that waits for the batch", status)
	}
}

// The load: a hot adapter has been spread to an engine, and an entry that does
// not know it asks to spread it there again. It must learn that the adapter is
// ready, or it keeps sending all requests to the crowded holders that it knows.
func TestLoadRequestForAReadyAdapterIsAnswered(t *testing.T) {
	pool := newPool(t)
	for !pool.RequestLoad("e", climb, 1) {
		time.Sleep(time.Millisecond)
	}
	if pool.RequestLoad("e", climb, 2) || pool.RequestLoad("e", topology.Adapter{Model: "base", Name: "cold"}, 1) {
		t.Error("a newer version or another adapter counts as ready")
	}
	if pool.RequestLoad("unknown", climb, 1) {
		t.Error("an engine of another daemon counts as ready")
	}
}
