package claim

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/metrics"
	"github.com/barleylift/barleylift/internal/ownership"
	"github.com/prometheus/client_golang/prometheus"
)

var errInjected = errors.New("injected")

// txnFault is a fault injected into one transaction.
type txnFault int

const (
	txnOK txnFault = iota
	txnUnavailable
	txnReplyLost
	txnDelayed // reported as ambiguous and applied txnDelay later
	txnFaults
)

const txnDelay = 3 * time.Second

// faultyKV is one daemon's connection to the key-value service.
type faultyKV struct {
	*fake.KV
	mu     sync.Mutex
	faults []txnFault
	dead   bool
}

func (k *faultyKV) next() (txnFault, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	fault := txnOK
	if len(k.faults) > 0 {
		fault = k.faults[0]
		k.faults = k.faults[1:]
	}
	return fault, k.dead
}

func (k *faultyKV) inject(faults ...txnFault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = append(k.faults, faults...)
}

func (k *faultyKV) kill() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dead = true
}

func (k *faultyKV) Txn(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	fault, dead := k.next()
	if dead {
		return infra.TxnResult{}, &infra.Error{Op: "txn", Kind: infra.Ambiguous, Err: errInjected}
	}
	switch fault {
	case txnUnavailable:
		return infra.TxnResult{}, &infra.Error{Op: "txn", Kind: infra.Unavailable, Err: errInjected}
	case txnReplyLost:
		_, _ = k.KV.Txn(context.Background(), txn)
		return infra.TxnResult{}, &infra.Error{Op: "txn", Kind: infra.Ambiguous, Err: errInjected}
	case txnDelayed:
		time.AfterFunc(txnDelay, func() { _, _ = k.KV.Txn(context.Background(), txn) })
		return infra.TxnResult{}, &infra.Error{Op: "txn", Kind: infra.Ambiguous, Err: errInjected}
	}
	return k.KV.Txn(ctx, txn)
}

// fakeView is one daemon's view of its ownership, which may be out of date.
type fakeView struct {
	ownership.View
	mu      sync.Mutex
	tokens  map[string]ownership.Token
	invalid bool
}

func (v *fakeView) Holds(_ ownership.Kind, id string) (ownership.Token, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	token, ok := v.tokens[id]
	return token, ok && !v.invalid
}

func (v *fakeView) set(id string, token ownership.Token) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tokens[id] = token
}

func (v *fakeView) setInvalid(invalid bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.invalid = invalid
}

// sendBehaviour is how the service handles one call.
type sendBehaviour int

const (
	sendResponse sendBehaviour = iota
	sendSlowly
	sendRefuse
	sendLoseExecuted
	sendLoseUnexecuted
	sendTruncated
	sendBehaviours
)

// service counts the executions of calls from all daemons.
type service struct {
	mu           sync.Mutex
	behaviours   []sendBehaviour
	slowDuration time.Duration
	byKey        map[string]int
	byID         map[string]int
}

func (s *service) next() sendBehaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.behaviours) == 0 {
		return sendResponse
	}
	b := s.behaviours[0]
	s.behaviours = s.behaviours[1:]
	return b
}

func (s *service) execute(keyed call.KeyedRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byKey[keyed.Customer+"/"+keyed.Key]++
	s.byID[keyed.ID]++
}

func (s *service) executions(keyed call.KeyedRequest) (key, id int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey[keyed.Customer+"/"+keyed.Key], s.byID[keyed.ID]
}

// sender is one daemon's client of the service.
type sender struct {
	service *service
	kv      *faultyKV
}

func (s *sender) Send(_ context.Context, keyed call.KeyedRequest) SendResult {
	if s.kv.isDead() {
		return SendResult{Kind: SendUnknown, Failure: call.Failed(call.Unknown, call.CodeConnectionLost, "")}
	}
	behaviour := s.service.next()
	switch behaviour {
	case sendRefuse:
		return SendResult{Kind: SendNotRun, Failure: call.Failed(call.NotRun, call.CodeUpstreamError, "")}
	case sendLoseUnexecuted:
		return SendResult{Kind: SendUnknown, Failure: call.Failed(call.Unknown, call.CodeConnectionLost, "")}
	case sendSlowly:
		time.Sleep(s.service.slowDuration)
	}
	s.service.execute(keyed)
	result := SendResult{Kind: SendExecuted, Response: call.KeyedResponse{Status: 201, Body: responseFor(keyed)}}
	switch behaviour {
	case sendLoseExecuted:
		return SendResult{Kind: SendUnknown, Failure: call.Failed(call.Unknown, call.CodeConnectionLost, "")}
	case sendTruncated:
		result.Response.Body = nil
		result.Failure = call.Failed(call.Incomplete, call.CodeConnectionLost, "")
	}
	return result
}

func (k *faultyKV) isDead() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.dead
}

func responseFor(keyed call.KeyedRequest) []byte {
	return []byte("answer to " + keyed.Customer + "/" + keyed.Key + "/" + string(keyed.Body))
}

// daemon is one daemon with its pool.
type daemon struct {
	kv       *faultyKV
	view     *fakeView
	pool     *Pool
	holdings map[string]ownership.Holding
	// keepsShards is set if the daemon keeps its shards when it drains.
	keepsShards bool
}

// cluster is a key-value service, a plain service and a number of daemons.
type cluster struct {
	kv      *fake.KV
	service *service
	daemons []*daemon
	retired []*daemon
	// compactAfter is 0 for the default.
	compactAfter int

	mu     sync.Mutex
	owners map[string]*daemon
}

func newCluster(t testing.TB, daemons, compactAfter int) *cluster {
	c := &cluster{kv: fake.NewKV(), compactAfter: compactAfter, owners: make(map[string]*daemon), service: &service{slowDuration: 2 * time.Second, byKey: make(map[string]int), byID: make(map[string]int)}}
	for range daemons {
		c.daemons = append(c.daemons, c.newDaemon(t))
	}
	return c
}

func testSnapshot() *catalog.Snapshot {
	return catalog.NewSnapshot(1, catalog.Contents{Routes: []catalog.Route{{Name: "ticks", Retention: time.Hour}}})
}

func (c *cluster) newDaemon(t testing.TB) *daemon {
	t.Helper()
	kv := &faultyKV{KV: c.kv}
	d := &daemon{kv: kv, view: &fakeView{tokens: make(map[string]ownership.Token)}, holdings: make(map[string]ownership.Holding)}
	snapshot := testSnapshot()
	pool, err := NewPool(Config{
		KV: kv, View: d.view, Sender: &sender{service: c.service, kv: kv},
		Snapshot: func() *catalog.Snapshot { return snapshot },
		Metrics:  metrics.New(prometheus.NewRegistry()), Log: slog.New(slog.DiscardHandler), compactAfter: c.compactAfter,
		Forward: c.forward, Release: d.release,
	})
	if err != nil {
		t.Fatal(err)
	}
	d.pool = pool
	return d
}

// release stops the shard unless keepsShards is set.
func (d *daemon) release(_ context.Context, shard string) error {
	if !d.keepsShards {
		d.pool.Lost(d.holdings[shard])
	}
	return nil
}

// gain makes the daemon the owner of a shard in the key-value service and
// notifies its pool. A previous owner is not notified.
func (c *cluster) gain(d *daemon, shard string) {
	key := ownerPrefix + shard
	_, _ = c.kv.Txn(context.Background(), infra.Txn{Then: []infra.Op{infra.Delete(key)}})
	result, err := c.kv.Txn(context.Background(), infra.Txn{Then: []infra.Op{infra.Put(key, nil)}})
	if err != nil {
		panic(err)
	}
	token := ownership.Token(result.Revision)
	holding := ownership.Holding{Resource: ownership.Resource{Kind: ownership.KindClaim, ID: shard}, Token: token}
	d.view.set(shard, token)
	d.holdings[shard] = holding
	c.mu.Lock()
	c.owners[shard] = d
	c.mu.Unlock()
	d.pool.Gained(holding)
}

// forward passes outcomes to the current owner, like a call between daemons.
func (c *cluster) forward(_ context.Context, shard string, outcomes []Settlement) error {
	c.mu.Lock()
	owner := c.owners[shard]
	c.mu.Unlock()
	if owner.kv.isDead() || !owner.pool.RecordSettlements(shard, outcomes) {
		return errInjected
	}
	return nil
}

func (c *cluster) stop() {
	for _, d := range append(c.daemons, c.retired...) {
		d.pool.Stop()
	}
}

func newKeyed(customer, key, body string) call.KeyedRequest {
	return call.KeyedRequest{
		ID: call.NewID(), Customer: customer, Route: "ticks", Key: key,
		Method: "POST", Target: "/ticks", Body: []byte(body), Tolerance: 5 * time.Second,
	}
}
