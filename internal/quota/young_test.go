package quota

import (
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/mesh"
)

// Guards against callers that are sent away for ten seconds and more although their customer is
// within its rate: a coordinator that has just begun has heard of no VM, refused all requests
// with its longest time, and counted them as promised.
func TestNewCoordinatorAsksToComeBackSoon(t *testing.T) {
	customer := Customer{Name: "acme", Rate: 30000, Burst: 30000}
	ledger := NewLedger(Bounds{Window: 8 * time.Second, Overshoot: 0.1, Slack: 11000}, 1)
	now := time.Minute
	ledger.SetCustomers(now, []Customer{customer})
	group := GroupOf(customer.ID())
	for seq := range uint64(20) {
		grant, ok := ledger.Ask(now, Process{VM: "vm", Incarnation: 1}, mesh.QuotaAsk{
			Seq: seq + 1, Group: group, Needs: []mesh.QuotaNeed{{Customer: customer.ID(), Costs: []int64{2000}}},
		})
		if !ok || len(grant.Grants) != 1 || grant.Grants[0].Admitted != 0 {
			t.Fatalf("grant %+v, want one that admits nothing", grant)
		}
		if after := time.Duration(grant.Grants[0].RetryAfter) * time.Millisecond; after != youngRetryAfter {
			t.Errorf("ask %d: come back after %v, want %v", seq+1, after, youngRetryAfter)
		}
		now += 10 * time.Millisecond
	}
}
