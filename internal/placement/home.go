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
	defaultIdleAfter      = 2 * time.Minute
	defaultShrinkAfter    = 30 * time.Second
	defaultSpreadPause    = 2 * time.Second
	defaultSpreadFill     = 1.0
	defaultSpreadDemand   = 2.0
	defaultBound          = 1.25
	defaultCandidates     = 4
	// spreadGain is the fill of a new replica, relative to the others, up to
	// which an adapter spreads when all engines are full.
	spreadGain = 0.75
)

// HomeConfig sets the rules of a home. Zero fields take defaults.
type HomeConfig struct {
	// MinCandidates is the least number of candidates of an adapter; 0 means 4.
	MinCandidates int
	// DemandHalfLife is the half-life of the observed demand; 0 means 10 s.
	DemandHalfLife time.Duration
	// IdleTimeout is when an adapter without calls is forgotten; 0 means 2 min.
	IdleTimeout time.Duration
	// MaxReplicas bounds the engines for one adapter; 0 means all candidates.
	MaxReplicas int
	// SpreadFill is the fill of an adapter's least loaded replica, calls over
	// capacity, from which another replica is added; 0 means 1.
	SpreadFill float64
	// SpreadDemand is the least demand for each replica, in calls a second,
	// at which another is added; 0 means 2. A replica is dropped when the
	// rest would carry less than half of it each.
	SpreadDemand float64
	// SpreadInterval is the least time between two added replicas; 0 means 2 s.
	SpreadInterval time.Duration
	// ShrinkDelay is how long the demand must be low before a replica is
	// dropped; 0 means 30 s.
	ShrinkDelay time.Duration
	// LoadBound is the fill, relative to the mean of the candidates, above which
	// a cold adapter passes over a candidate; 0 means 1.25.
	LoadBound float64
	// Seed makes the choices between two replicas repeatable.
	Seed uint64
}

// Home is the soft state of the adapters whose first candidate this daemon
// owns. Losing it costs loads, never a promise. It is not safe for concurrent use.
type Home struct {
	cfg    HomeConfig
	rand   *rand.Rand
	states map[call.AdapterRef]*list.Element
	// recent orders states by last activity, the most recent first.
	recent *list.List
}

// homeState is what a home knows of one adapter.
type homeState struct {
	adapter  call.AdapterRef
	demand   float64
	observed time.Time
	active   time.Time
	replicas int
	spread   time.Time
	// lowSince is when the demand became low; zero while it is not.
	lowSince time.Time
}

// NewHome returns a home without adapters.
func NewHome(cfg HomeConfig) *Home {
	return &Home{
		cfg:    cfg.withDefaults(),
		rand:   rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		states: make(map[call.AdapterRef]*list.Element),
		recent: list.New(),
	}
}

func (c HomeConfig) withDefaults() HomeConfig {
	setDefault(&c.MinCandidates, defaultCandidates)
	setDefault(&c.DemandHalfLife, defaultDemandHalfLife)
	setDefault(&c.IdleTimeout, defaultIdleAfter)
	setDefault(&c.MaxReplicas, math.MaxInt)
	setDefault(&c.SpreadFill, defaultSpreadFill)
	setDefault(&c.SpreadDemand, defaultSpreadDemand)
	setDefault(&c.SpreadInterval, defaultSpreadPause)
	setDefault(&c.ShrinkDelay, defaultShrinkAfter)
	setDefault(&c.LoadBound, defaultBound)
	return c
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Len returns the number of adapters that the home knows.
func (h *Home) Len() int {
	return len(h.states)
}

// Observe notes calls for an adapter.
func (h *Home) Observe(now time.Time, adapter call.AdapterRef, calls int) {
	h.forget(now)
	state := h.touch(now, adapter)
	state.demand = h.demandAt(now, state) + float64(calls)*math.Ln2/h.cfg.DemandHalfLife.Seconds()
	state.observed = now
}

// Demand returns the recent demand for an adapter in calls a second.
func (h *Home) Demand(now time.Time, adapter call.AdapterRef) float64 {
	if element, ok := h.states[adapter]; ok {
		return h.demandAt(now, element.Value.(*homeState))
	}
	return 0
}

func (h *Home) demandAt(now time.Time, state *homeState) float64 {
	elapsed := now.Sub(state.observed).Seconds()
	return state.demand * math.Exp2(-elapsed/h.cfg.DemandHalfLife.Seconds())
}

// touch returns the adapter's state as the most recent one.
func (h *Home) touch(now time.Time, adapter call.AdapterRef) *homeState {
	element, ok := h.states[adapter]
	if !ok {
		element = h.recent.PushFront(&homeState{adapter: adapter, replicas: 1, observed: now})
		h.states[adapter] = element
	}
	h.recent.MoveToFront(element)
	state := element.Value.(*homeState)
	state.active = now
	return state
}

// forget drops adapters that have been idle; each call of Observe or Locate
// pays for those that it drops and no more.
func (h *Home) forget(now time.Time) {
	for element := h.recent.Back(); element != nil; element = h.recent.Back() {
		state := element.Value.(*homeState)
		if now.Sub(state.active) < h.cfg.IdleTimeout {
			return
		}
		h.recent.Remove(element)
		delete(h.states, state.adapter)
	}
}
