package gateway

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/dissemination"
	"github.com/barleylift/barleylift/internal/mesh"
	"github.com/barleylift/barleylift/internal/quota"
)

// routeQuotas registers the messages of quotas with the router.
func (g *Gateway) routeQuotas() {
	g.quotas.send = func(vm string, kind uint32, message any) { g.router.Send(vm, dissemination.NewEntry(kind, message)) }
	g.router.AddNeed(g.quotas.inUse)
	g.router.ProduceRequests(dissemination.KindDelegation, g.delegations)
	g.router.ProduceReplies(dissemination.KindQuotaState, g.quotaState)
	g.router.Handle(dissemination.KindDelegation, g.receiveDelegation)
	g.router.Handle(dissemination.KindQuotaState, g.receiveQuotaState)
	g.router.Handle(dissemination.KindQuotaAsk, g.receiveQuotaAsk)
	g.router.Handle(dissemination.KindQuotaGrant, g.receiveQuotaGrant)
}

// Acquire implements relay.Quotas.
func (g *Gateway) Acquire(ctx context.Context, customer string, cost int64, priority int) quota.Decision {
	return g.quotas.acquire(ctx, customer, cost, priority)
}

// Return implements relay.Quotas.
func (g *Gateway) Return(customer string, cost int64, decision quota.Decision) {
	g.quotas.returnTokens(customer, cost, decision)
}

// delegations produces the entries about this VM's entitlement for a coordinator.
func (g *Gateway) delegations(to dissemination.Coordinator) []mesh.Entry {
	if !g.quotas.inUse() {
		return nil
	}
	g.quotas.mu.Lock()
	defer g.quotas.mu.Unlock()
	var entries []mesh.Entry
	for group := range quota.Groups {
		d := g.quotas.entitlement.Delegation(clock.Boot(), group, to.Incarnation)
		d.Version, d.Revision = g.quotas.table.Version(), g.mirror.Revision()
		entries = append(entries, dissemination.NewEntry(dissemination.KindDelegation, d))
	}
	return entries
}

var errQuotaMessage = errors.New("a number of the message is out of range")

func (g *Gateway) receiveDelegation(from dissemination.Sender, body []byte) error {
	d, err := dissemination.Decode[mesh.Delegation](body)
	if err != nil {
		return err
	}
	if !(d.Share >= 0 && d.Share <= 1) || !(d.Total >= 0) || math.IsInf(d.Total, 0) || d.Since < 0 || d.Group < 0 || d.Group >= quota.Groups {
		return errQuotaMessage
	}
	g.quotas.mu.Lock()
	defer g.quotas.mu.Unlock()
	if g.quotas.ledger.Hear(clock.Boot(), processOf(from), d) {
		g.quotas.memberCount.HearRevision(from.VM, from.Incarnation, d.Revision)
	}
	return nil
}

func processOf(from dissemination.Sender) quota.Process {
	return quota.Process{VM: from.VM, Incarnation: from.Incarnation}
}

// quotaState produces the reply to delegations.
func (g *Gateway) quotaState(dissemination.Sender) []mesh.Entry {
	if !g.quotas.inUse() {
		return nil
	}
	// The age is read before the state that it tells of.
	now, asOf := clock.Boot(), g.mirror.AsOf()
	state := mesh.QuotaState{SentAt: now.Milliseconds()}
	if asOf != 0 {
		state.Digest, state.Age = g.keeper.MembersDigest(), (now-asOf).Milliseconds()+1
	}
	g.quotas.mu.Lock()
	defer g.quotas.mu.Unlock()
	state.Confirmed, state.Members = g.quotas.memberCount.Confirmed(now), g.quotas.memberCount.N()
	return []mesh.Entry{dissemination.NewEntry(dissemination.KindQuotaState, state)}
}

// receiveQuotaState handles a coordinator's reply. A copy of the key-value service with the same
// members is as new as the coordinator's.
func (g *Gateway) receiveQuotaState(from dissemination.Sender, body []byte) error {
	state, err := dissemination.Decode[mesh.QuotaState](body)
	if err != nil || from.AskedAt == 0 {
		return err
	}
	if state.SentAt < 0 || state.Age < 0 || state.Age > maxStateAge || state.Members < 0 {
		return errQuotaMessage
	}
	now := clock.Boot()
	revision, _ := g.keeper.OwnKey()
	g.quotas.mu.Lock()
	defer g.quotas.mu.Unlock()
	e := g.quotas.entitlement
	isSame := revision != 0 && g.quotas.hasMembers && state.Digest != 0 && state.Digest == g.quotas.membersDigest
	e.HearClock(now, from.Incarnation, time.Duration(state.SentAt)*time.Millisecond)
	if isSame {
		asOf := from.AskedAt - time.Duration(state.Age)*time.Millisecond
		g.quotas.memberCount.RecordCopy(now, asOf)
		e.RecordProof(now, asOf)
	}
	e.Confirm(now, state.Confirmed, state.Members)
	return nil
}

func (g *Gateway) receiveQuotaAsk(from dissemination.Sender, body []byte) error {
	ask, err := dissemination.Decode[mesh.QuotaAsk](body)
	if err != nil {
		return err
	}
	g.quotas.mu.Lock()
	grant, ok := g.quotas.ledger.Ask(clock.Boot(), processOf(from), ask)
	g.quotas.mu.Unlock()
	if ok {
		g.quotas.send(from.VM, dissemination.KindQuotaGrant, grant)
	}
	return nil
}

func (g *Gateway) receiveQuotaGrant(from dissemination.Sender, body []byte) error {
	grant, err := dissemination.Decode[mesh.QuotaGrant](body)
	if err != nil {
		return err
	}
	q := g.quotas
	q.mu.Lock()
	q.deliver(q.tokenCache.Grant(clock.Boot(), processOf(from), grant))
	asks := q.step()
	q.mu.Unlock()
	q.sendAsks(asks)
	return nil
}
