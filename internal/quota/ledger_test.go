package quota

import (
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/mesh"
)

// bench is a Ledger with one customer of 1,000 tokens a second and VMs that delegate to it.
type bench struct {
	t        *testing.T
	l        *Ledger
	now      time.Duration
	customer Customer
	total    float64
	seq      uint64
}

const benchIncarnation = 42

func newBench(t *testing.T) *bench {
	b := &bench{t: t, l: NewLedger(testBounds, benchIncarnation), now: time.Hour, customer: Customer{Name: "c", Rate: 1000, Burst: 1000}}
	b.l.SetCustomers(b.now, []Customer{b.customer})
	return b
}

func (b *bench) group() int { return GroupOf(b.customer.ID()) }

// delegation returns what one VM with the whole entitlement tells at sentAt.
func (b *bench) delegation(sentAt time.Duration) mesh.Delegation {
	return mesh.Delegation{To: benchIncarnation, Group: b.group(), Share: 1, Total: b.total, Since: int64(1000 * b.total), SentAt: sentAt.Milliseconds()}
}

var delegator = Process{"vm-1", 7}

// delegate lets a VM delegate for a time, with an exchange every 500 ms.
func (b *bench) delegate(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now += 500 * time.Millisecond
		b.total += 0.5
		b.l.Hear(b.now, delegator, b.delegation(b.now))
	}
}

func (b *bench) level() float64 {
	b.l.refresh(b.now, b.group())
	c := b.l.buckets[b.group()][b.customer.ID()]
	b.l.update(b.now, b.group(), c)
	return c.level
}

func (b *bench) ask(costs []int64, extra int64) mesh.QuotaGrantedNeed {
	b.t.Helper()
	b.seq++
	grant, ok := b.l.Ask(b.now, delegator, mesh.QuotaAsk{Seq: b.seq, Group: b.group(), Needs: []mesh.QuotaNeed{{Customer: b.customer.ID(), Costs: costs, Extra: extra}}})
	if !ok || len(grant.Grants) != 1 {
		b.t.Fatalf("no grant: %+v", grant)
	}
	return grant.Grants[0]
}

// A coordinator that was frozen or cut off must have nothing left: the VMs have gone on with
// another one, and what waits in its socket was delegated before.
func TestCoordinatorThatComesBackHasNothing(t *testing.T) {
	const frozen = 6 * time.Second
	tests := []struct {
		name string
		// buffered are the times after the freeze began at which the datagrams in the socket
		// were sent.
		buffered []time.Duration
		echo     bool
	}{
		{"nothing in the socket", nil, true},
		{"datagrams in the socket", []time.Duration{100, 600, 1100}, true},
		{"datagrams of VMs that don't know its clock", []time.Duration{100, 600, 1100}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t)
			b.delegate(10 * time.Second)
			if b.level() < 1000 {
				t.Fatalf("level %.0f before the freeze", b.level())
			}
			began := b.now
			b.now += frozen
			for _, after := range test.buffered {
				b.total += 0.5
				d := b.delegation(began + after*time.Millisecond)
				if !test.echo {
					d.SentAt = 0
				}
				b.l.Hear(b.now, delegator, d)
				b.now += time.Millisecond
			}
			if granted := b.ask([]int64{1}, 0); granted.Admitted != 0 {
				t.Errorf("granted with a level of %.0f after the freeze", b.level())
			}
		})
	}
}

// Repeated and late delegations must credit nothing twice, and a lost one must cost nothing.
func TestDelegationsAreCreditedOnce(t *testing.T) {
	b := newBench(t)
	b.delegate(2 * time.Second)
	b.ask([]int64{int64(b.level())}, 0)
	before := b.level()
	old := b.delegation(b.now)
	b.now += 500 * time.Millisecond
	b.total += 0.5 // this one is lost
	b.now += 500 * time.Millisecond
	b.total += 0.5
	for range 3 {
		b.l.Hear(b.now, delegator, b.delegation(b.now))
		b.l.Hear(b.now, delegator, old)
	}
	if added := b.level() - before; added < 990 || added > 1010 {
		t.Errorf("%.0f tokens were credited for a second of 1,000, want 1,000", added)
	}
	other := b.delegation(b.now)
	other.To++
	if b.l.Hear(b.now, delegator, other) {
		t.Error("a delegation to the process before this one was taken")
	}
}

// An ask whose answer was lost must get the same answer again, and a late one none: each would
// take the tokens again.
func TestRepeatedAsksGetTheSameGrant(t *testing.T) {
	b := newBench(t)
	b.delegate(10 * time.Second)
	ask := func(seq uint64) (mesh.QuotaGrant, bool) {
		return b.l.Ask(b.now, delegator, mesh.QuotaAsk{Seq: seq, Group: b.group(), Needs: []mesh.QuotaNeed{{Customer: b.customer.ID(), Costs: []int64{300}}}})
	}
	first, _ := ask(5)
	level := b.level()
	again, ok := ask(5)
	if !ok || again.Grants[0] != first.Grants[0] || b.level() != level {
		t.Errorf("got %+v and then %+v, level %.0f and then %.0f", first, again, level, b.level())
	}
	if _, ok := ask(4); ok || b.level() != level {
		t.Error("an older ask was answered")
	}
}

// A request above the burst must pass, at the cost of one debt within the slack, and only where
// no other coordinator can have one in the same window.
func TestLargeRequestsPassWithOneDebt(t *testing.T) {
	b := newBench(t)
	b.delegate(3 * time.Second)
	if granted := b.ask([]int64{5000}, 0); granted.Admitted != 0 {
		t.Error("a coordinator without settled VMs has run into debt")
	}
	settled := newBench(t)
	settled.delegate(20 * time.Second)
	for range 2 {
		settled.ask([]int64{100000}, 0)
	}
	if granted := settled.ask([]int64{100000}, 0); granted.Admitted != 0 || granted.RetryAfter != maxRetryAfter.Milliseconds() {
		t.Errorf("a request that the bound can't bear: %+v", granted)
	}
	if granted := settled.ask([]int64{5000}, 0); granted.Admitted != 1 || granted.Level >= 0 {
		t.Errorf("a request of 5 times the burst: %+v", granted)
	}
	granted := settled.ask([]int64{1}, 0)
	if owed := -settled.level(); granted.Admitted != 0 || granted.RetryAfter < int64(owed) || float64(granted.RetryAfter) > 1.2*owed+110000 {
		t.Errorf("with a debt of %.0f at 1,000 a second: %+v", owed, granted)
	}
}

// Extra tokens must not take what waiting requests of other VMs could have.
func TestExtraTokensLeaveHalfOfTheBurst(t *testing.T) {
	b := newBench(t)
	b.delegate(10 * time.Second)
	if granted := b.ask(nil, 5000); granted.Extra <= 0 || b.level() < 499 {
		t.Errorf("got %d extra tokens, level %.0f", granted.Extra, b.level())
	}
	if granted := b.ask(nil, 5000); granted.Extra != 0 {
		t.Errorf("got %d extra tokens below half of the burst", granted.Extra)
	}
}

// A lowered limit must bind at once what is stored, and a customer that is unknown here must not
// be refused for it.
func TestCustomersChange(t *testing.T) {
	b := newBench(t)
	b.delegate(10 * time.Second)
	b.l.SetCustomers(b.now, []Customer{{Name: "c", Rate: 100, Burst: 100}})
	if b.level() > 200 {
		t.Errorf("level %.0f after the limit was lowered to 100 with a burst of 100", b.level())
	}
	b.l.SetCustomers(b.now, nil)
	grant, ok := b.l.Ask(b.now, delegator, mesh.QuotaAsk{Seq: 99, Group: b.group(), Needs: []mesh.QuotaNeed{{Customer: b.customer.ID(), Costs: []int64{1}}}})
	if !ok || len(grant.Grants) != 0 {
		t.Errorf("grant for an unknown customer: %+v", grant)
	}
}
