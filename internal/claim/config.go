package claim

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/metrics"
	"github.com/barleylift/barleylift/internal/ownership"
)

// ShardCount is the number of claim shards. It limits the commit rate to
// ShardCount / CommitInterval. Keys map to shards by this number, so changing it
// loses the claims that are retained at that time.
const ShardCount = 16

// Defaults of a Config.
const (
	// DefaultCommitInterval is the mean time between two commits of a busy shard.
	DefaultCommitInterval = 100 * time.Millisecond
	// DefaultMaxShardBytes bounds the memory of one shard's retained claims in bytes.
	DefaultMaxShardBytes = 64 << 20
	// DefaultTolerance is the delay tolerance of calls that state none.
	DefaultTolerance = 10 * time.Second
)

// Limits of a Pool.
const (
	// MaxKeyBytes bounds an idempotency key in bytes.
	MaxKeyBytes = 255
	// commitBurst is the number of commits that a shard may make at once after
	// a pause, so that the claims of a quiet shard do not wait.
	commitBurst = 5
	// maxInflightBytes bounds the total body size of the in-flight calls of one shard.
	maxInflightBytes = 32 << 20
	// maxInflightCalls bounds the number of in-flight calls of one shard.
	maxInflightCalls = 16384
	// maxSendDelay bounds the time from building a commit to sending its
	// calls. It must stay below the shortest retention: a call must not be
	// sent after its claim has expired and the key is free again.
	maxSendDelay = 30 * time.Second
	// maxOrphans bounds the outcomes kept for shards that this daemon has lost.
	maxOrphans = 4096
	// sweepInterval is the time between two removals of expired claims.
	sweepInterval = 30 * time.Second
)

// Retry delays suggested to the caller when a call did not run.
const (
	retryAfterOwner    = time.Second
	retryAfterPlatform = 2 * time.Second
	retryAfterFull     = time.Minute
)

// Config holds the dependencies and limits of a Pool.
type Config struct {
	KV       infra.KV
	View     ownership.View
	Sender   Sender
	Snapshot func() *catalog.Snapshot
	Metrics  *metrics.Set
	Log      *slog.Logger
	// Release releases the ownership of a drained shard, so its next owner
	// need not wait until the rest of the daemon has drained. If it is nil, the
	// user of the pool releases the shards after Drain.
	Release func(ctx context.Context, shard string) error
	// Forward sends outcomes to the current owner of their shard, which passes
	// them to Pool.RecordSettlements. If it is nil, they are kept until this
	// daemon gains the shard.
	Forward func(ctx context.Context, shard string, outcomes []Settlement) error
	// CommitInterval is the mean time between two commits of a busy shard; 0
	// for DefaultCommitInterval.
	CommitInterval time.Duration
	// MaxShardBytes bounds the memory of one shard's retained claims; 0 for
	// DefaultMaxShardBytes.
	MaxShardBytes int64
	// Now is the clock for retention; nil for time.Now.
	Now func() time.Time

	// compactAfter is the number of small segments that start a compaction; 0
	// for defaultCompactAfter.
	compactAfter int
}

func (c *Config) check() error {
	switch {
	case c.KV == nil:
		return errors.New("claim: KV is missing")
	case c.View == nil:
		return errors.New("claim: View is missing")
	case c.Sender == nil:
		return errors.New("claim: Sender is missing")
	case c.Snapshot == nil:
		return errors.New("claim: Snapshot is missing")
	case c.Metrics == nil:
		return errors.New("claim: Metrics is missing")
	case c.Log == nil:
		return errors.New("claim: Log is missing")
	case c.CommitInterval < 0:
		return fmt.Errorf("claim: CommitInterval %v: want 0 or more", c.CommitInterval)
	case c.MaxShardBytes < 0:
		return fmt.Errorf("claim: MaxShardBytes %d: want 0 or more", c.MaxShardBytes)
	}
	c.setDefaults()
	return nil
}

func (c *Config) setDefaults() {
	if c.CommitInterval == 0 {
		c.CommitInterval = DefaultCommitInterval
	}
	if c.MaxShardBytes == 0 {
		c.MaxShardBytes = DefaultMaxShardBytes
	}
	if c.compactAfter == 0 {
		c.compactAfter = defaultCompactAfter
	}
	if c.Now == nil {
		c.Now = time.Now
	}
}

// retention returns how long a response of the route is kept, and whether the
// route is configured.
func (c *Config) retention(route string) (time.Duration, bool) {
	snapshot := c.Snapshot()
	if snapshot == nil {
		return 0, false
	}
	for _, r := range snapshot.Routes {
		if r.Name != route {
			continue
		}
		if r.Retention > 0 {
			return max(r.Retention, 2*maxSendDelay), true
		}
		return catalog.DefaultRetention, true
	}
	return 0, false
}

// Shard returns the identifier of the shard that owns a customer's key on a route.
func Shard(customer, route, key string) string {
	return shardOf(NewID(customer, route, key))
}

func shardOf(id ID) string {
	return shardName(int(id[0]) % ShardCount)
}

func shardName(n int) string {
	return strconv.Itoa(n)
}

// Resources returns the claim shards as ownership resources.
func Resources() []ownership.Resource {
	resources := make([]ownership.Resource, ShardCount)
	for n := range resources {
		resources[n] = ownership.Resource{Kind: ownership.KindClaim, ID: shardName(n)}
	}
	return resources
}

func notRun(code call.Code, message string, retryAfter time.Duration) call.Result {
	return call.Failed(call.NotRun, code, message).WithRetryAfter(retryAfter)
}
