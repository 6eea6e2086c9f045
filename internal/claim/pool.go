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
	// work counts the calls under way and the outcomes to be written,
	// orphanWork the outcomes that are kept.
	work       workCounter
	orphanWork workCounter
	// running counts the goroutines of all shards and calls.
	running sync.WaitGroup

	// mu guards the fields below. It is taken before any shard's mutex.
	mu       sync.Mutex
	draining bool
	shards   map[string]*shard
	// orphans holds outcomes by shard that this daemon learned after it had
	// lost the shard. They are forwarded to its owner, or written if this
	// daemon gains the shard again.
	orphans     map[string][]Settlement
	orphanCount int
	forwarding  bool // forwardOrphans runs
}

// NewPool returns a pool that owns no shard.
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

// Resources returns the claim shards as things to be owned.
func (p *Pool) Resources() []ownership.Resource {
	return Resources()
}

// Gained starts a shard: it loads the shard's claims before it serves.
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

// Lost stops a shard. Calls whose claims were not sent end as not run; calls
// that were sent go on to their end.
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

// Execute runs a keyed call whose shard this daemon owns, or returns what is
// recorded for its key. While the claim is not committed it waits for at most
// the call's tolerance; after sending, until the Sender returns. If ctx ends
// after sending, the outcome is recorded nevertheless.
func (p *Pool) Execute(ctx context.Context, keyed call.Keyed) (call.Answer, call.Result) {
	if keyed.Key == "" || len(keyed.Key) > MaxKeyBytes {
		message := fmt.Sprintf("the idempotency key must have 1 to %d bytes", MaxKeyBytes)
		return call.Answer{}, call.Failed(call.Rejected, call.CodeBadRequest, message)
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
		return call.Answer{}, notOwner()
	}
	select {
	case <-s.ready:
		return s.execute(ctx, id, keyed, timer.C)
	case <-timer.C:
		return call.Answer{}, notRun(call.CodePlatformDown, "the claims of this key are still being loaded", retryAfterPlatform)
	case <-ctx.Done():
		return call.Answer{}, notRun(call.CodeCancelled, "the caller has gone", 0)
	}
}

func notOwner() call.Result {
	return notRun(call.CodeNotOwner, "this daemon does not own the key's claims", retryAfterOwner)
}

// Stop stops all shards and waits for their goroutines, and so for the calls
// that were sent.
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

// Retained returns the number of claims that this daemon retains over all of
// its shards, and their estimated memory in bytes.
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
