package capacity

import "math"

// Sizes of the target.
const (
	Daemons              = 510.0
	Engines              = 2700.0
	Adapters             = 31000.0
	Regions              = 4.0
	Zones                = 9.0
	CallsPerSecond       = 6300.0
	TokensPerSecond      = 1.6e6
	ChangesPerDay        = 1800.0
	WakingSharePerHour   = 0.17
	secondsPerHour       = 3600.0
	secondsPerDay        = 86400.0
	DaemonsPerRegion     = Daemons / Regions
	EnginesPerDaemon     = Engines / Daemons
	CallsPerDaemon       = CallsPerSecond / Daemons
	TokensPerDaemon      = TokensPerSecond / Daemons
	tokensPerCall        = TokensPerSecond / CallsPerSecond
	slowestTokenSeconds  = 0.032
	activeCallsPerDaemon = CallsPerDaemon * tokensPerCall * slowestTokenSeconds
	regionPeers          = DaemonsPerRegion - 1
)

// Limits of the target. Where the platform's specification gives no exact rate,
// the limit is the rate that the fleet tests use.
const (
	// MaxCorePercent is the share of one core for control work.
	MaxCorePercent = 4.0
	// MaxMemoryMB is the memory of a daemon.
	MaxMemoryMB = 256.0
	// MaxBytesPerSecond is the control traffic of a daemon in both directions.
	MaxBytesPerSecond = 4000.0
	// MaxWritesPerSecond is the rate of writes to the key-value service; the
	// platform permits several hundred.
	MaxWritesPerSecond = 300.0
	// MaxReadsPerSecond is the rate of reads from the key-value service.
	MaxReadsPerSecond = 2000.0
	// MaxPropagationSeconds is the time until a change is in force everywhere.
	MaxPropagationSeconds = 16.0
	// MaxFirstTokenMillis is the 95th percentile of the time to the first token.
	MaxFirstTokenMillis = 730.0
	// MaxTokenGapMillis is the 95th percentile of the time between tokens.
	MaxTokenGapMillis = 32.0
)

// Settings of the daemon that the tables depend on.
const (
	// headPollSeconds is the time between two reads of the head by a daemon.
	headPollSeconds = 30.0
	// replyLifetimeSeconds and loadLifetimeSeconds are the times for which package
	// locate caches a home's replies and the loads of remote engines.
	replyLifetimeSeconds = 2.0
	loadLifetimeSeconds  = 1.0
	// fleetGossipSeconds is the time between two gossip exchanges with a daemon
	// from the whole fleet.
	fleetGossipSeconds = 68.0
	claimShards        = 16.0
	// maxShardBytes is the limit for the size of a claim shard, by the shard's own
	// estimate.
	maxShardBytes = 64 << 20
	// maxCallsInFlight is the default limit for the calls of one entry.
	maxCallsInFlight = 2048.0
	// gcHeapFactor is the ratio of heap to live heap that Go's garbage collector
	// reaches by default.
	gcHeapFactor = 2.0
	// exampleSlotsPerEngine and exampleLoadsPerSecond are the adapter slots of an
	// engine and the loads/s of a weight store in current deployments.
	exampleSlotsPerEngine = 3.0
	exampleLoadsPerSecond = 2.0
)

// zipfShares returns each adapter's share of the calls by a Zipf distribution with
// exponent 1.
func zipfShares() []float64 {
	shares := make([]float64, int(Adapters))
	total := 0.0
	for i := range shares {
		shares[i] = 1 / float64(i+1)
		total += shares[i]
	}
	for i := range shares {
		shares[i] /= total
	}
	return shares
}

// zipfExchangeRates returns the exchanges/s that a daemon begins with homes and,
// as a home, with owners. A cache with TTL t that is queried r times a second for
// an item misses r/(1+r*t) times a second.
func zipfExchangeRates() (homeRate, ownerRate float64) {
	locatesPerCall := LocateExchanges.Value
	for _, share := range zipfShares() {
		missesPerSecond := CallsPerDaemon * share / (1 + CallsPerDaemon*share*replyLifetimeSeconds)
		homeRate += missesPerSecond
		queriesPerSecond := missesPerSecond * DaemonsPerRegion
		ownerRate += queriesPerSecond / (1 + queriesPerSecond*loadLifetimeSeconds)
	}
	return homeRate * locatesPerCall, ownerRate * EngineLoadExchanges.Value / DaemonsPerRegion
}

// roundToThreeDigits rounds to three significant digits, the precision of the
// measurements.
func roundToThreeDigits(v float64) float64 {
	if v == 0 {
		return 0
	}
	scale := math.Pow(10, 2-math.Floor(math.Log10(math.Abs(v))))
	return math.Round(v*scale) / scale
}
