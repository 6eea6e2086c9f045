package quota

import (
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/mesh"
)

// cacheFixture is a TokenCache with one customer of 1,000 tokens a second.
type cacheFixture struct {
	t        *testing.T
	w        *TokenCache
	e        *Entitlement
	now      time.Duration
	customer Customer
	next     uint64
}

var coordinator = Process{"vm-0", 9}

func newCacheFixture(t *testing.T, hasCoordinator bool) *cacheFixture {
	memberCount := NewMemberCount("vm-1")
	p := &cacheFixture{t: t, e: NewEntitlement(memberCount), now: time.Hour, customer: Customer{Name: "c", Rate: 1000, Burst: 1000}}
	memberCount.SetMembers(p.now, []Member{{VM: "vm-1", Counted: 1}}, true)
	p.e.RecordProof(p.now, p.now)
	p.e.SetOwnKey(p.now, 1, 1, true)
	p.w = NewTokenCache(testBounds, p.e)
	p.w.SetCustomers([]Customer{p.customer})
	p.w.SetCoordinator(p.now, p.group(), coordinator, hasCoordinator)
	return p
}

func (p *cacheFixture) group() int { return GroupOf(p.customer.ID()) }

func (p *cacheFixture) request(cost int64, priority int) Decision {
	p.next++
	return p.w.Request(p.now, Request{ID: p.next, Customer: p.customer.ID(), Cost: cost, Priority: priority})
}

// asks returns the asks that are sent now.
func (p *cacheFixture) asks() []SentAsk {
	asks, decisions, _ := p.w.Tick(p.now)
	if len(decisions) > 0 {
		p.t.Fatalf("unexpected decisions %+v", decisions)
	}
	return asks
}

func (p *cacheFixture) grant(seq uint64, admitted int, extra, retryAfter int64) []Decision {
	return p.w.Grant(p.now, coordinator, mesh.QuotaGrant{Seq: seq, Group: p.group(), Grants: []mesh.QuotaGrantedNeed{
		{Customer: p.customer.ID(), Admitted: admitted, Extra: extra, RetryAfter: retryAfter},
	}})
}

// A lost ask or grant must be repeated with the same number, and given up after a while for a
// new one, so that the coordinator takes the tokens once.
func TestAsksAreRepeatedAndGivenUp(t *testing.T) {
	p := newCacheFixture(t, true)
	p.request(100, 0)
	first := p.asks()
	if len(first) != 1 || len(p.asks()) != 0 {
		t.Fatalf("asks %+v", first)
	}
	p.now += repeatAfter
	if again := p.asks(); len(again) != 1 || again[0].Ask.Seq != first[0].Ask.Seq {
		t.Errorf("repeated as %+v", again)
	}
	p.now += giveUpAfter - repeatAfter
	if renewed := p.asks(); len(renewed) != 1 || renewed[0].Ask.Seq == first[0].Ask.Seq {
		t.Errorf("renewed as %+v", renewed)
	}
	// The answer to the first one still counts, once.
	if d := p.grant(first[0].Ask.Seq, 1, 0, 0); len(d) != 1 || d[0].Outcome != Admitted {
		t.Errorf("decisions %+v", d)
	}
	if p.grant(first[0].Ask.Seq, 1, 0, 0); p.w.accounts[p.customer.ID()].balance(p.now) != 0 {
		t.Error("a repeated grant counts twice")
	}
}

// A grant that comes after the validity of tokens, as after a freeze, must be dropped, and
// tokens must expire: both would add to another window.
func TestTokensExpire(t *testing.T) {
	p := newCacheFixture(t, true)
	p.request(100, 0)
	seq := p.asks()[0].Ask.Seq
	p.now += testBounds.TokenValidity()
	if d := p.grant(seq, 1, 1000, 0); len(d) != 0 || p.w.accounts[p.customer.ID()].balance(p.now) != 0 {
		t.Errorf("a late grant was taken: %+v", d)
	}
	p = newCacheFixture(t, true)
	p.request(100, 0)
	p.grant(p.asks()[0].Ask.Seq, 1, 1000, 0)
	if d := p.request(100, 0); d.Outcome != Admitted {
		t.Errorf("extra tokens are not used: %+v", d)
	}
	p.now += testBounds.TokenValidity()
	if d := p.request(100, 0); d.Outcome != Waiting {
		t.Errorf("tokens are used after they expired: %+v", d)
	}
}

// Tokens of a request that has not run must be usable again, but no longer than before.
func TestReturnedTokensKeepTheirExpiry(t *testing.T) {
	p := newCacheFixture(t, true)
	p.request(100, 0)
	d := p.grant(p.asks()[0].Ask.Seq, 1, 0, 0)[0]
	p.now += testBounds.TokenValidity() / 2
	p.w.Return(p.now, p.customer.ID(), 100, d)
	if again := p.request(100, 0); again.Outcome != Admitted {
		t.Errorf("returned tokens are not used: %+v", again)
	}
	p.now += testBounds.TokenValidity() / 2
	p.w.Return(p.now, p.customer.ID(), 100, d)
	if again := p.request(100, 0); again.Outcome == Admitted {
		t.Error("expired tokens were returned")
	}
}

// Without an answer a request must end after MaxWait, on the VM's own entitlement if that covers
// the whole cost, and otherwise undecided.
func TestRequestsEndWithoutACoordinator(t *testing.T) {
	silent := newCacheFixture(t, true)
	silent.now += 5 * time.Second
	silent.request(100, 0)
	silent.asks()
	silent.now += MaxWait
	if _, d, _ := silent.w.Tick(silent.now); len(d) != 1 || d[0].Outcome != Undecided || d[0].RetryAfter != retryUndecided {
		t.Errorf("while a coordinator is silent: %+v", d)
	}
	alone := newCacheFixture(t, false)
	if d := alone.request(100, 0); d.Outcome != Waiting {
		t.Errorf("without any entitlement: %+v", d)
	}
	alone.now += 5 * time.Second
	if d := alone.request(1000, 0); d.Outcome != Admitted || !d.Own {
		t.Errorf("with an entitlement of 1 s: %+v", d)
	}
	if d := alone.request(9000, 0); d.Outcome == Admitted {
		t.Error("the own entitlement ran into debt")
	}
	alone.w.SetCoordinator(alone.now, alone.group(), coordinator, true)
	alone.w.SetCoordinator(alone.now, alone.group(), coordinator, false)
	if alone.w.takeOwn(alone.now, alone.w.accounts[alone.customer.ID()], 1) {
		t.Error("entitlement was kept that had been delegated meanwhile")
	}
}

// The most urgent requests must get the tokens first, and a refusal must end those that are as
// urgent or less, but none that is more urgent.
func TestUrgentRequestsGoFirst(t *testing.T) {
	p := newCacheFixture(t, true)
	p.request(100, 2)
	p.request(200, 1)
	ask := p.asks()[0].Ask
	if costs := ask.Needs[0].Costs; len(costs) != 2 || costs[0] != 200 {
		t.Fatalf("asked for %v", costs)
	}
	p.request(300, 0)
	d := p.grant(ask.Seq, 0, 0, 5000)
	if len(d) != 2 || d[0].Outcome != OverQuota || d[0].RetryAfter < 5*time.Second || d[0].RetryAfter > 8*time.Second {
		t.Errorf("decisions %+v", d)
	}
	if d := p.request(50, 1); d.Outcome != OverQuota {
		t.Errorf("the next request of the priority: %+v", d)
	}
	if d := p.request(50, 0); d.Outcome != Waiting {
		t.Errorf("a more urgent request: %+v", d)
	}
}
