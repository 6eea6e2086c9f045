package placement

import (
	"container/list"
	"math"
	"math/rand/v2"
	"time"

	"github.com/barleylift/barleylift/internal/call"
)

const (
	defaultDemandHalfLife = 10 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
	defaultShrinkDelay    = 30 * time.Second
	defaultSpreadInterval = 2 * time.Second
	defaultSpreadFill     = 1.0
	defaultSpreadDemand   = 2.0
	defaultLoadBound      = 1.25
	defaultMinCandidates  = 4
	// maxRelativeFill is the greatest fill of a new replica, relative to the
	// least filled existing one, at which an adapter spreads when all engines
	// are full.
	maxRelativeFill = 0.75
)

// HomeConfig sets the rules of a home. Zero fields take defaults.
type HomeConfig struct {
	// MinCandidates is the minimum number of candidates of an adapter; 0 means 4.
	MinCandidates int
	// DemandHalfLife is the half-life of the observed demand; 0 means 10 s.
	DemandHalfLife time.Duration
	// IdleTimeout is how long an adapter without calls is kept; 0 means 2 min.
	IdleTimeout time.Duration
	// MaxReplicas is the maximum number of replicas of an adapter; 0 means all
	// candidates.
	MaxReplicas int
	// SpreadFill is the fill (calls divided by capacity) of an adapter's least
	// filled replica at which another replica is added; 0 means 1.
	SpreadFill float64
	// SpreadDemand is the minimum demand per replica, in calls per second, at
	// which another is added; 0 means 2. A replica is dropped when each of the
	// others would get less than half of it.
	SpreadDemand float64
	// SpreadInterval, divided by the number of replicas, is the minimum time
	// between two added replicas; 0 means 2 s.
	SpreadInterval time.Duration
	// ShrinkDelay is how long the demand must be low before a replica is
	// dropped; 0 means 30 s.
	ShrinkDelay time.Duration
	// LoadBound is the fill, relative to the mean of the candidates, above which
	// a candidate is skipped for an adapter without replicas; 0 means 1.25.
	LoadBound float64
	// Seed seeds the random choice between two replicas.
	Seed uint64
}

// Home is the soft state of the adapters whose first candidate this daemon
// owns. If it is lost, adapters may be loaded again; no guarantee depends on it.
// It is not safe for concurrent use.
type Home struct {
	cfg     HomeConfig
	rand    *rand.Rand
	records map[call.AdapterRef]*list.Element
	// recent lists the records by last activity, the most recent first.
	recent *list.List
}

// adapterRecord is the state of one adapter at its home.
type adapterRecord struct {
	adapter    call.AdapterRef
	demand     float64
	observedAt time.Time
	lastActive time.Time
	replicas   int
	lastSpread time.Time
	// lowSince is when the demand became low; zero if it is not.
	lowSince time.Time
}

// NewHome returns a home without adapters.
func NewHome(cfg HomeConfig) *Home {
	return &Home{
		cfg:     cfg.withDefaults(),
		rand:    rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		records: make(map[call.AdapterRef]*list.Element),
		recent:  list.New(),
	}
}

func (c HomeConfig) withDefaults() HomeConfig {
	setDefault(&c.MinCandidates, defaultMinCandidates)
	setDefault(&c.DemandHalfLife, defaultDemandHalfLife)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	setDefault(&c.MaxReplicas, math.MaxInt)
	setDefault(&c.SpreadFill, defaultSpreadFill)
	setDefault(&c.SpreadDemand, defaultSpreadDemand)
	setDefault(&c.SpreadInterval, defaultSpreadInterval)
	setDefault(&c.ShrinkDelay, defaultShrinkDelay)
	setDefault(&c.LoadBound, defaultLoadBound)
	return c
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Len returns the number of adapters that the home has records of.
func (h *Home) Len() int {
	return len(h.records)
}

// Observe records calls for an adapter.
func (h *Home) Observe(now time.Time, adapter call.AdapterRef, calls int) {
	h.expireIdle(now)
	record := h.touch(now, adapter)
	record.demand = h.demandAt(now, record) + float64(calls)*math.Ln2/h.cfg.DemandHalfLife.Seconds()
	record.observedAt = now
}

// Demand returns the recent demand for an adapter in calls per second.
func (h *Home) Demand(now time.Time, adapter call.AdapterRef) float64 {
	if element, ok := h.records[adapter]; ok {
		return h.demandAt(now, element.Value.(*adapterRecord))
	}
	return 0
}

func (h *Home) demandAt(now time.Time, record *adapterRecord) float64 {
	elapsed := now.Sub(record.observedAt).Seconds()
	return record.demand * math.Exp2(-elapsed/h.cfg.DemandHalfLife.Seconds())
}

// touch returns the adapter's record, creating it if needed, and marks it as the
// most recently active.
func (h *Home) touch(now time.Time, adapter call.AdapterRef) *adapterRecord {
	element, ok := h.records[adapter]
	if !ok {
		element = h.recent.PushFront(&adapterRecord{adapter: adapter, replicas: 1, observedAt: now})
		h.records[adapter] = element
	}
	h.recent.MoveToFront(element)
	record := element.Value.(*adapterRecord)
	record.lastActive = now
	return record
}

// expireIdle drops adapters that have been idle for IdleTimeout. Its cost is
// proportional to the number dropped.
func (h *Home) expireIdle(now time.Time) {
	for element := h.recent.Back(); element != nil; element = h.recent.Back() {
		record := element.Value.(*adapterRecord)
		if now.Sub(record.lastActive) < h.cfg.IdleTimeout {
			return
		}
		h.recent.Remove(element)
		delete(h.records, record.adapter)
	}
}
