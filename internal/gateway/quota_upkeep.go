package gateway

import (
	"context"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/quota"
)

const (
	// upkeepInterval is the time between two looks at the members, the configuration and the
	// coordinators.
	upkeepInterval = 100 * time.Millisecond
	// announceInterval is the least time between two announcements of how many VMs this one
	// counts, of which there is one when the number has grown.
	announceInterval = 15 * time.Second
	countedTimeout   = 2 * time.Second
	// quotaProofAge is the age of the proof that this VM is counted from which on it asks
	// the key-value service itself: the coordinators' replies give one each 500 ms.
	quotaProofAge = 2 * time.Second
)

// needsOwnProof reports whether this VM has had no proof that it is counted for too long.
func (q *quotas) needsOwnProof() bool {
	if !q.inUse() {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	age, ok := q.entitlement.ProofAge(clock.Boot())
	return !ok || age > quotaProofAge
}

// runQuotas keeps quotas up to date until ctx ends.
func (g *Gateway) runQuotas(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.quotas.run(ctx)
	}()
	for clock.Sleep(ctx, upkeepInterval) {
		g.quotas.setTable(g.relay.Table())
		if g.quotas.inUse() {
			g.updateEntitlement()
			g.announceCounted(ctx)
		}
	}
	<-done
}

// updateEntitlement passes on what the copy of the key-value service tells of the members.
func (g *Gateway) updateEntitlement() {
	// The copy is at least as new as AsOf, which is therefore read first.
	asOf, digest := g.mirror.AsOf(), g.keeper.MembersDigest()
	members := g.keeper.Members()
	revision, counted := g.keeper.OwnKey()
	inUse := g.keeper.QuotasInUse()
	copyRevision := g.mirror.Revision()
	now := clock.Boot()
	q := g.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	if copyRevision == 0 {
		return
	}
	if !q.hasMembers || digest != q.membersDigest {
		q.entitlement.Advance(now)
		list := make([]quota.Member, 0, len(members))
		for _, m := range members {
			list = append(list, quota.Member{VM: m.Name, Incarnation: m.Incarnation, Counted: m.Counted})
		}
		q.memberCount.SetMembers(now, list, inUse)
		q.membersDigest, q.hasMembers = digest, true
	}
	q.memberCount.HearRevision(g.settings.Load().VM, g.incarnation, copyRevision)
	if asOf != 0 {
		q.memberCount.RecordCopy(now, asOf)
		if revision != 0 {
			q.entitlement.RecordProof(now, asOf)
		}
		q.entitlement.SetOwnKey(now, revision, counted, inUse)
	}
	if entitled := q.entitlement.Entitled(now); entitled != q.isEntitled {
		q.isEntitled = entitled
		g.log.Info("entitlement to customers' limits has changed", "entitled", entitled, "vms", q.entitlement.N(), "proof_age_ms", (now - asOf).Milliseconds())
	}
}

// announceCounted tells the process after this one that all VMs count this VM.
func (g *Gateway) announceCounted(ctx context.Context) {
	q := g.quotas
	now := clock.Boot()
	q.mu.Lock()
	n := q.entitlement.N()
	isUnannounced := !g.keeper.QuotasInUse() && q.hasMembers && (q.inUseAt == 0 || now-q.inUseAt >= countedTimeout)
	if isUnannounced {
		q.inUseAt = now
	}
	isDue := q.isEntitled && n > q.announced && (q.announcedAt == 0 || now-q.announcedAt >= announceInterval)
	if isDue {
		q.announcedAt = now
	}
	q.mu.Unlock()
	if !isDue && !isUnannounced {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, countedTimeout)
	defer cancel()
	if isUnannounced {
		if err := g.keeper.AnnounceQuotas(ctx); err != nil {
			g.log.Info("use of quotas not announced", "error", err)
		}
	}
	if !isDue {
		return
	}
	if err := g.keeper.SetCounted(ctx, n); err != nil {
		g.log.Info("number of counted VMs not announced", "vms", n, "error", err)
		return
	}
	q.mu.Lock()
	q.announced = n
	q.mu.Unlock()
}

// followCoordinators makes the entitlement and the asks go to the coordinators of the groups.
func (g *Gateway) followCoordinators() {
	now := clock.Boot()
	q := g.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.ids) == 0 {
		return
	}
	for group := range quota.Groups {
		c, ok := g.coordinators.Of(group)
		q.tokenCache.SetCoordinator(now, group, quota.Process{VM: c.VM, Incarnation: c.Incarnation}, ok)
		if former := q.targets[group]; former != c.VM {
			q.targets[group] = c.VM
			q.log.Info("coordinator of a group of customers has changed", "group", group, "coordinator", c.VM, "former", former)
			if !ok || former == "" {
				q.log.Info("spending of the own entitlement has begun or ended", "group", group, "own", !ok, "share", q.entitlement.Delegation(now, group, 0).Share, "vms", q.entitlement.N())
			}
		}
	}
}

// quotaStatus is the state of quotas, for operators.
type quotaStatus struct {
	// VMs is the number of VMs that share the limits as this one counts them, and Entitled is
	// set while it is entitled to one part of them.
	VMs      int  `json:"vms"`
	Entitled bool `json:"entitled"`
	// Coordinators lists the coordinators by group; empty while this VM spends its own
	// entitlement.
	Coordinators []string `json:"coordinators"`
	// Delegated lists the parts of the limits that VMs delegate to this one, by group.
	Delegated []float64 `json:"delegated"`
}

// quotaStatus returns the state of quotas; nil if no customer has a limit.
func (g *Gateway) quotaStatus() *quotaStatus {
	q := g.quotas
	now := clock.Boot()
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.ids) == 0 {
		return nil
	}
	status := &quotaStatus{VMs: q.entitlement.N(), Entitled: q.entitlement.Entitled(now), Coordinators: q.targets[:]}
	status.Coordinators = append([]string(nil), status.Coordinators...)
	for group := range quota.Groups {
		status.Delegated = append(status.Delegated, q.ledger.Share(now, group))
	}
	return status
}
