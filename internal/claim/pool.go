package claim

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/ownership"
)

// Pool runs the claim shards that this daemon owns. It implements
// ownership.Listener for ownership.KindClaim and is safe for concurrent use.
type Pool struct {
	config Config
	log    *slog.Logger
	// ctx ends when the pool is stopped.
	ctx    context.Context
	cancel context.CancelFunc
	// work counts the in-flight calls and the outcomes to be written,
	// orphanWork the outcomes in orphans.
	work       workCounter
	orphanWork workCounter
	// running tracks the goroutines of all shards and calls.
	running sync.WaitGroup

	// mu guards the fields below. It is locked before any shard.mu.
	mu       sync.Mutex
	draining bool
	shards   map[string]*shard
	// orphans holds, by shard, outcomes that arrived after this daemon had
	// lost the shard. They are forwarded to the shard's owner, or recorded
	// here if this daemon gains the shard again.
	orphans     map[string][]Settlement
	orphanCount int
	forwarding  bool // forwardOrphans is running
}

// NewPool returns a pool without shards.
func NewPool(config Config) (*Pool, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		config:  config,
		log:     config.Log.With("part", "claims"),
		ctx:     ctx,
		cancel:  cancel,
		shards:  make(map[string]*shard),
		orphans: make(map[string][]Settlement),
	}, nil
}

// Shard returns the identifier of the shard that owns a customer's key on a route.
func (p *Pool) Shard(customer, route, key string) string {
	return Shard(customer, route, key)
}

// Resources returns the claim shards as ownership resources.
func (p *Pool) Resources() []ownership.Resource {
	return Resources()
}

// Gained starts a shard. The shard serves calls once its claims are loaded.
func (p *Pool) Gained(holding ownership.Holding) {
	if holding.Resource.Kind != ownership.KindClaim {
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	s := newShard(p, holding, cancel)
	p.mu.Lock()
	old := p.shards[holding.Resource.ID]
	p.shards[holding.Resource.ID] = s
	p.mu.Unlock()
	if old != nil {
		old.stop()
	}
	p.running.Go(func() { s.run(ctx) })
}

// Lost stops a shard. Calls that were not sent end as not run; calls that were
// sent run to their end.
func (p *Pool) Lost(holding ownership.Holding) {
	if holding.Resource.Kind != ownership.KindClaim {
		return
	}
	p.mu.Lock()
	s := p.shards[holding.Resource.ID]
	if s == nil || s.token != holding.Token {
		p.mu.Unlock()
		return
	}
	delete(p.shards, holding.Resource.ID)
	p.mu.Unlock()
	s.stop()
}

// Execute runs a keyed call whose shard this daemon owns, or returns the
// response recorded for its key. Until the claim is committed it waits for at
// most the call's tolerance; after sending, until the Sender returns. If ctx ends
// after sending, the outcome is still recorded.
func (p *Pool) Execute(ctx context.Context, keyed call.KeyedRequest) (call.KeyedResponse, call.Result) {
	if keyed.Key == "" || len(keyed.Key) > MaxKeyBytes {
		message := fmt.Sprintf("the idempotency key must have 1 to %d bytes", MaxKeyBytes)
		return call.KeyedResponse{}, call.Failed(call.Rejected, call.CodeBadRequest, message)
	}
	tolerance := keyed.Tolerance
	if tolerance <= 0 {
		tolerance = DefaultTolerance
	}
	timer := time.NewTimer(tolerance)
	defer timer.Stop()
	id := NewID(keyed.Customer, keyed.Route, keyed.Key)
	p.mu.Lock()
	s := p.shards[shardOf(id)]
	p.mu.Unlock()
	if s == nil {
		return call.KeyedResponse{}, notOwner()
	}
	select {
	case <-s.ready:
		return s.execute(ctx, id, keyed, timer.C)
	case <-timer.C:
		return call.KeyedResponse{}, notRun(call.CodePlatformDown, "the claims of this key are still being loaded", retryAfterPlatform)
	case <-ctx.Done():
		return call.KeyedResponse{}, notRun(call.CodeCancelled, "the caller has gone", 0)
	}
}

func notOwner() call.Result {
	return notRun(call.CodeNotOwner, "this daemon does not own the key's claims", retryAfterOwner)
}

// Stop stops all shards and waits for their goroutines, including those of the
// calls that were sent.
func (p *Pool) Stop() {
	p.mu.Lock()
	shards := p.shards
	p.shards = make(map[string]*shard)
	p.mu.Unlock()
	for _, s := range shards {
		s.stop()
	}
	p.cancel()
	p.running.Wait()
}

// Retained returns the number of claims retained in all shards of this daemon,
// and their estimated memory in bytes.
func (p *Pool) Retained() (claims int, bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.shards {
		s.mu.Lock()
		claims += s.ledger.Len()
		bytes += s.ledger.Bytes()
		s.mu.Unlock()
	}
	return claims, bytes
}

func (p *Pool) isDraining() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.draining
}
