package orders

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/admission"
	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/fleet"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
)

// slowOrderClient reports an engine that holds climb, and answers no order before released.
type slowOrderClient struct {
	unreachableClient
	ordered, released chan struct{}
}

func (c *slowOrderClient) Order(ctx context.Context, _ topology.Upstream, _ residency.Order, _ Sender, _ func() error) (residency.OrderResult, error) {
	select {
	case c.ordered <- struct{}{}:
	default:
	}
	<-c.released
	return residency.Unanswered, ctx.Err()
}

// A request behind another one is admitted when its time has come, without any further
// message and while the engine has yet to answer an order: waits used to end only with the
// next message about the engine.
func TestRequestsAreAdmittedWhileAnOrderIsUnanswered(t *testing.T) {
	client := &slowOrderClient{ordered: make(chan struct{}, 1), released: make(chan struct{})}
	defer close(client.released)
	reported := make(chan AdmissionStatus, 16)
	pool, err := New(Config{
		Client: client, Holder: "vm",
		MayOrder:     func(string) (fleet.Token, bool) { return 1, true },
		ReportStatus: func(_ string, status AdmissionStatus) { reported <- status },
		Log:          slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	if err != nil {
		t.Fatal(err)
	}
	pool.Assign(t.Context(), []Assignment{{Engine: topology.Upstream{ID: "e", Incarnation: 1, Slots: 8}, Spec: residency.Spec{Capacity: 8, Model: "base"}}})
	request := func(ticket uint64, adapter topology.Adapter) AdmissionStatus {
		return pool.RequestAdmission("e", admission.Request{
			Key: admission.Key{Entry: "vm", Ticket: ticket}, Adapter: adapter, PromptTokens: 3000, PauseObjective: 300 * time.Millisecond,
			FirstEventDue: clock.Boot() + time.Minute, Deadline: clock.Boot() + time.Hour,
		})
	}
	for request(1, climb).Status != residency.Ready {
		time.Sleep(time.Millisecond)
	}
	request(1000, topology.Adapter{Model: "base", Name: "cold"})
	<-client.ordered
	if status := request(2000, climb); status.Status != residency.Waiting {
		t.Fatalf("status %+v behind another prompt, want it to wait", status)
	}
	for status := range reported {
		if status.Ticket == 2000 {
			if status.Status != residency.Ready {
				t.Errorf("reported %+v", status)
			}
			return
		}
	}
}
