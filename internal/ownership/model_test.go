package ownership

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/infra"
	"pgregory.net/rapid"
)

const (
	modelTTL    = 15 * time.Second
	modelMargin = time.Second
	// unlimitedTTL keeps the fake service from ending leases itself.
	unlimitedTTL = 1000 * time.Hour
)

// model drives the tables of some daemons against the service by single
// steps, in any order: sending, arrival, reply, loss, delay and repetition of
// each call, slow watches, suspended VMs and ended leases.
type model struct {
	ctx       context.Context
	kv        *fake.KV
	events    <-chan infra.WatchBatch
	log       []infra.WatchBatch
	start     time.Time
	now       time.Time
	leaseEnds map[infra.LeaseID]time.Time
	daemons   []*modelDaemon
	// abandoned holds requests whose sender has given up; they may still reach
	// the service.
	abandoned []*request
	resources []Resource
	// lastTokens maps resources to the greatest token under which they were
	// validly held.
	lastTokens  map[resourceKey]Token
	lastHolders map[resourceKey]int
	gains       int
}

type modelDaemon struct {
	table         *table
	validity      validity
	suspended     time.Duration
	work          *request
	renewal       *request
	announce      *request
	pendingRead   *infra.RangeResult
	readGainCount uint64
	// notified maps resources to the tokens of gains that the listener was
	// notified of and that were not followed by a loss.
	notified map[resourceKey]Token
	// nextBatch is the index in the log of the next batch that the watch delivers.
	nextBatch int
}

type request struct {
	daemon  *modelDaemon
	txn     infra.Txn
	lease   infra.LeaseID
	renews  bool
	work    work
	sent    instant
	arrived bool
	result  infra.TxnResult
	err     error
}

func newModel(daemons, resources int) *model {
	start := time.Unix(1_000_000, 0)
	m := &model{
		ctx: context.Background(), kv: fake.NewKV(), start: start, now: start,
		leaseEnds:   make(map[infra.LeaseID]time.Time),
		resources:   engines(resources, 1),
		lastTokens:  make(map[resourceKey]Token),
		lastHolders: make(map[resourceKey]int),
	}
	m.events, _ = m.kv.Watch(m.ctx, "", 1)
	for i := range daemons {
		self := Member{Name: fmt.Sprintf("d%d", i), Zone: zoneName(0)}
		t := newTable(self, rules{takeoverStep: time.Second, releaseHoldOff: 5 * time.Second, writeRate: 200, groupSize: 2})
		t.setResources(start, m.resources)
		m.daemons = append(m.daemons, &modelDaemon{table: t, notified: make(map[resourceKey]Token)})
	}
	return m
}

func (m *model) instant(d *modelDaemon) instant {
	return instant{monotonic: m.now.Sub(m.start) - d.suspended, wall: m.now}
}

func (m *model) advance(by time.Duration) {
	m.now = m.now.Add(by)
	for lease, end := range m.leaseEnds {
		if !m.now.Before(end) {
			m.kv.ExpireLease(lease)
			delete(m.leaseEnds, lease)
		}
	}
	m.collectEvents()
}

// collectEvents appends the service's new revisions to the log.
func (m *model) collectEvents() {
	r, _ := m.kv.Range(m.ctx, "none")
	for int64(len(m.log)) < r.Revision-1 {
		m.log = append(m.log, <-m.events)
	}
}

// executeAtService executes a request at the service. Only the result of its
// first execution can reach the sender.
func (m *model) executeAtService(r *request) {
	var result infra.TxnResult
	var err error
	if r.renews {
		if _, err = m.kv.KeepAlive(m.ctx, r.lease); err == nil {
			m.leaseEnds[r.lease] = m.now.Add(modelTTL)
		}
	} else {
		result, err = m.kv.Txn(m.ctx, r.txn)
	}
	if !r.arrived {
		r.arrived, r.result, r.err = true, result, err
	}
	m.collectEvents()
}

func (m *model) sendAnnounce(d *modelDaemon) {
	if d.table.incarnation.revision != 0 || d.announce != nil {
		return
	}
	lease, _ := m.kv.Grant(m.ctx, unlimitedTTL)
	m.leaseEnds[lease] = m.now.Add(modelTTL)
	d.announce = &request{daemon: d, lease: lease, sent: m.instant(d), txn: announceTxn(lease, d.table.self, m.resources[:1])}
}

func (m *model) endAnnounce(d *modelDaemon) {
	r := d.announce
	d.announce = nil
	if r.err != nil || !r.result.Succeeded {
		return
	}
	d.validity = validity{}.renewed(r.sent, modelTTL, modelMargin)
	d.table.beginIncarnation(m.now, r.lease, r.result.Revision, 0)
	d.table.adopt(m.now, m.resources[0], Token(r.result.Revision))
}

func (m *model) sendWork(d *modelDaemon) {
	if d.work != nil {
		return
	}
	valid := d.validity.validAt(m.instant(d))
	w, _ := d.table.nextWork(m.now, permission{read: valid, create: valid})
	if len(w.items) > 0 {
		d.work = &request{daemon: d, work: w, txn: d.table.workTxn(w)}
	}
}

func (m *model) endWork(d *modelDaemon, lost bool) {
	r := d.work
	d.work = nil
	switch {
	case lost:
		m.abandoned = append(m.abandoned, r)
		d.table.applyFailure(m.now, r.work, infra.Ambiguous, time.Second)
	case r.err != nil:
		d.table.applyFailure(m.now, r.work, errorKind(r.err), time.Second)
	default:
		_ = d.table.applyResult(m.now, r.work, r.result)
	}
}

func (m *model) endRenewal(d *modelDaemon, lost bool) {
	r := d.renewal
	d.renewal = nil
	switch {
	case lost:
		m.abandoned = append(m.abandoned, r)
	case d.table.incarnation.lease != r.lease:
	case r.err != nil:
		d.validity = validity{}
		d.table.endIncarnation(m.now)
	default:
		d.validity = d.validity.renewed(r.sent, modelTTL, modelMargin)
	}
}

// deliverBatches delivers the next n batches of the log to a daemon's watches.
func (m *model) deliverBatches(d *modelDaemon, n int) {
	for ; n > 0 && d.nextBatch < len(m.log); n-- {
		for _, e := range m.log[d.nextBatch].Events {
			m.deliverEvent(d, e)
		}
		d.nextBatch++
	}
}

func (m *model) deliverEvent(d *modelDaemon, e infra.WatchEvent) {
	key, owner := parseOwnerKey(e.Entry.Key)
	switch {
	case owner && e.Deleted:
		d.table.applyOwnerKey(m.now, ownerKeyState{key: key, deleted: true, modRevision: e.Entry.ModRevision})
	case owner:
		state, _ := parseOwner(e.Entry)
		d.table.applyOwnerKey(m.now, state)
	case e.Deleted:
		d.table.removeMember(m.now, e.Entry.Key[len(membersPrefix):])
	default:
		member, _ := parseMember(e.Entry)
		d.table.putMember(m.now, member)
	}
}

// sendRead reads the owner keys; endRead applies them to the daemon's table.
func (m *model) sendRead(d *modelDaemon) {
	d.readGainCount = d.table.gainCount
	r, _ := m.kv.Range(m.ctx, ownersPrefix)
	d.pendingRead = &r
}

func (m *model) endRead(d *modelDaemon) {
	var keys []ownerKeyState
	for _, e := range d.pendingRead.Entries {
		state, _ := parseOwner(e)
		keys = append(keys, state)
	}
	d.table.resetOwners(m.now, keys, d.pendingRead.Revision, d.readGainCount)
	d.nextBatch = int(d.pendingRead.Revision) - 1
	d.pendingRead = nil
}

// drainEvents acts as a listener that returns at once. It requires that gains
// and losses of a resource alternate and carry the same token.
func (m *model) drainEvents(t *rapid.T, d *modelDaemon) {
	for events := d.table.drainEvents(); len(events) > 0; events = d.table.drainEvents() {
		for _, n := range events {
			key := keyOf(n.holding.Resource)
			if want := map[bool]Token{false: n.holding.Token}[n.gained]; d.notified[key] != want {
				t.Fatalf("%s was notified of %+v after token %d", d.table.self.Name, n, d.notified[key])
			}
			if n.gained {
				m.gains++
				d.notified[key] = n.holding.Token
			} else {
				delete(d.notified, key)
				d.table.lossDelivered(m.now, n.holding)
			}
		}
	}
}

// check requires that no resource has two valid holders, that a valid holder's
// key exists with its token, and that tokens only grow.
func (m *model) check(t *rapid.T) {
	for _, d := range m.daemons {
		m.drainEvents(t, d)
	}
	for _, r := range m.resources {
		key := keyOf(r)
		var holders []int
		for i, d := range m.daemons {
			s := d.table.resources[key]
			if s == nil || s.phase != held || !d.validity.validAt(m.instant(d)) {
				continue
			}
			holders = append(holders, i)
			if e, _ := m.kv.Get(m.ctx, ownerKey(key)); Token(e.CreateRevision) != s.token {
				t.Fatalf("d%d holds %s with token %d; the key has %d", i, r.ID, s.token, e.CreateRevision)
			}
			last, known := m.lastTokens[key]
			if s.token < last || (known && s.token == last && m.lastHolders[key] != i) {
				t.Fatalf("d%d holds %s with token %d after %d", i, r.ID, s.token, last)
			}
			m.lastTokens[key], m.lastHolders[key] = s.token, i
		}
		if len(holders) > 1 {
			t.Fatalf("%s is validly held by daemons %v", r.ID, holders)
		}
	}
}

// modelSteps is the number of events in one run.
const modelSteps = "200"

// TestOwnershipModel guards against two valid holders of a resource, and tokens
// that do not grow, under random sequences of events.
func TestOwnershipModel(t *testing.T) {
	if err := flag.Set("rapid.steps", modelSteps); err != nil {
		t.Fatal(err)
	}
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(3, 3)
		pick := func(t *rapid.T) *modelDaemon { return rapid.SampledFrom(m.daemons).Draw(t, "daemon") }
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"advance": func(t *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(1, 6).Draw(t, "seconds")) * time.Second)
			},
			"suspend": func(t *rapid.T) {
				by := time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second
				pick(t).suspended += by
				m.advance(by)
			},
			"announce": func(t *rapid.T) { m.sendAnnounce(pick(t)) },
			"round":    func(t *rapid.T) { m.runFaultFree(pick(t)) },
			"work":     func(t *rapid.T) { m.sendWork(pick(t)) },
			"renew": func(t *rapid.T) {
				if d := pick(t); d.renewal == nil && d.table.incarnation.lease != 0 {
					d.renewal = &request{daemon: d, renews: true, lease: d.table.incarnation.lease, sent: m.instant(d)}
				}
			},
			"arrive": func(t *rapid.T) {
				if r := m.drawRequest(t, pick(t)); r != nil {
					m.executeAtService(r)
				}
			},
			"late": func(t *rapid.T) {
				if len(m.abandoned) > 0 {
					m.executeAtService(rapid.SampledFrom(m.abandoned).Draw(t, "request"))
				}
			},
			"reply": func(t *rapid.T) { m.deliverReplies(pick(t)) },
			"lose":  func(t *rapid.T) { m.abandonRequest(t, pick(t)) },
			"watch": func(t *rapid.T) { m.deliverBatches(pick(t), rapid.IntRange(1, 5).Draw(t, "batches")) },
			"read": func(t *rapid.T) {
				if d := pick(t); d.pendingRead == nil {
					m.sendRead(d)
				} else {
					m.endRead(d)
				}
			},
			"release": func(t *rapid.T) {
				pick(t).table.requestRelease(keyOf(rapid.SampledFrom(m.resources).Draw(t, "resource")))
			},
			"configure": func(t *rapid.T) {
				pick(t).table.setResources(m.now, m.resources[:rapid.IntRange(1, len(m.resources)).Draw(t, "count")])
			},
		})
		total += m.gains
	})
	if total == 0 {
		t.Error("no run gained a resource")
	}
	t.Logf("%d gains", total)
}

func (m *model) drawRequest(t *rapid.T, d *modelDaemon) *request {
	open := slices.DeleteFunc([]*request{d.work, d.renewal, d.announce}, func(r *request) bool { return r == nil })
	if len(open) == 0 {
		return nil
	}
	return rapid.SampledFrom(open).Draw(t, "request")
}

// runFaultFree lets a daemon run for a second without faults.
func (m *model) runFaultFree(d *modelDaemon) {
	m.sendAnnounce(d)
	m.sendWork(d)
	for _, r := range []*request{d.announce, d.renewal, d.work} {
		if r != nil && !r.arrived {
			m.executeAtService(r)
		}
	}
	m.deliverReplies(d)
	m.deliverBatches(d, len(m.log))
	m.advance(time.Second)
}

// deliverReplies delivers the results of all executed requests to a daemon.
func (m *model) deliverReplies(d *modelDaemon) {
	if d.announce != nil && d.announce.arrived {
		m.endAnnounce(d)
	}
	if d.renewal != nil && d.renewal.arrived {
		m.endRenewal(d, false)
	}
	if d.work != nil && d.work.arrived {
		m.endWork(d, false)
	}
}

// abandonRequest makes a daemon give up one request, which may still reach the
// service.
func (m *model) abandonRequest(t *rapid.T, d *modelDaemon) {
	switch r := m.drawRequest(t, d); {
	case r == nil:
	case r == d.work:
		m.endWork(d, true)
	case r == d.renewal:
		m.endRenewal(d, true)
	default:
		d.announce = nil
		m.abandoned = append(m.abandoned, r)
	}
}
