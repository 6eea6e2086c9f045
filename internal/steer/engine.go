package steer

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/barleylift/barleylift/internal/placement"
	"github.com/barleylift/barleylift/internal/topology"
	"github.com/cespare/xxhash/v2"
)

// Constants of the choice of an engine.
const (
	// minSpreadQueue is the number of requests waiting for admission at the least
	// loaded holder from which on the adapter is spread: a quarter of a second of
	// prompts.
	minSpreadQueue = 3
	// minSpreadGain is how many fewer requests must wait at another engine to
	// make loading the adapter there worthwhile.
	minSpreadGain = 2
	// pendingLoadLimit is the number of pending loads at an engine from which on
	// no hot adapter is spread to it: about a second of loads.
	pendingLoadLimit = 8
	// maxPendingExcess is how many more loads than at the next engine may be pending
	// at an adapter's home before a cold adapter is loaded at the next one.
	maxPendingExcess = 8
	// loadCandidates is the number of engines, in rendezvous order, on which a
	// cold adapter may be loaded.
	loadCandidates = 4
	// maxQueueExcess is how many more requests than at the next engine may wait at
	// an adapter's home before a cold adapter is loaded at the next one.
	maxQueueExcess = 8
	// runningPerQueued is the number of running requests that count as one
	// waiting request: all share the engine's steps, but only prefills stretch
	// these.
	runningPerQueued = 16
)

// Engine is a snapshot of an engine for one choice.
type Engine struct {
	ID string
	// Running is the number of requests in flight there from all entries.
	Running int
	// Slots is the number of requests that the engine runs at once.
	Slots int
	// Holds is set if the adapter is ready there in the version needed or a newer
	// one.
	Holds bool
	// HoldsUsableOlder is set if it is ready there in an older version that may
	// still be used for a short time.
	HoldsUsableOlder bool
	// HoldsOlder is set if the engine holds the adapter in an older version: a
	// newer one is loaded there only after the requests on the older one have
	// ended, and no other order is carried out until then.
	HoldsOlder bool
	// LoadsPaused is set while no adapter should be loaded there, because the
	// engine's owner is silent or has just declined a request.
	LoadsPaused bool
	// RateLimited is set if the engine takes only some requests a second. It has room
	// for this one.
	RateLimited bool
	// PendingLoads is the number of adapters that are being loaded there or wait
	// for it.
	PendingLoads int
	// Queued is the number of requests that wait for room in its batch.
	Queued int
	// Suspect is set if requests to the engine have failed recently.
	Suspect bool

	// PrefillPerToken is the time that the engine takes to prefill a prompt token, as its
	// owner has learned it; 0 if the owner reports none.
	PrefillPerToken time.Duration
	// WaitingWork is the time that the prompts which waited there would take, as its owner
	// reported it WorkAge ago. Without a report WorkAge is very long.
	WaitingWork time.Duration
	WorkAge     time.Duration
	// OwnWork is the prefill time of the prompts that this entry has sent there since that
	// report.
	OwnWork time.Duration
	// PromptTokens is the number of tokens of the request's prompt that the engine would
	// still have to prefill.
	PromptTokens int
	// HeldLately is set if the engine does not hold the adapter but did lately: it loads
	// it again without the weight store.
	HeldLately bool
}

// Choice is an engine for a request.
type Choice struct {
	Engine string
	// NeedsLoad is set if the adapter must be loaded there first.
	NeedsLoad bool
	// SpreadTo is an engine on which the adapter should also be loaded, for later
	// requests; empty for none.
	SpreadTo string
	// Expected is the expected time to the first event, if the choice was made by it.
	Expected Expected
}

// PickEngine chooses the engine for a request for an adapter, or for the base
// model if the adapter's name is empty. It returns false if there is no engine.
// The random number differs between requests, so those that wait for a hot
// adapter together request its load on all engines to which it is spread.
func PickEngine(adapter topology.Adapter, engines []Engine, random uint64) (Choice, bool) {
	engines = excludeIfPossible(engines, isSuspect)
	if len(engines) == 0 {
		return Choice{}, false
	}
	if fleet := newFleetWork(engines); fleet.known && len(engines) >= minEnginesByTime {
		return fleet.pick(adapter, engines, random), true
	}
	return pickByCounts(adapter, engines, random), true
}

// minEnginesByTime is the number of engines from which on one is chosen by expected time. A
// weight store that feeds about ten engines carries some eight loads at once, and what binds
// there is which engine holds which adapter: by time, more adapters leave their homes and are
// loaded again, and fewer requests are in time than by counts.
const minEnginesByTime = 24

// pickByCounts chooses by numbers of requests, as no owner reports the pace of its
// engine.
func pickByCounts(adapter topology.Adapter, engines []Engine, random uint64) Choice {
	if adapter.Name == "" {
		return Choice{Engine: leastLoaded(engines, random).ID}
	}
	var holders, olderHolders []Engine
	for _, e := range engines {
		switch {
		case e.Holds:
			holders = append(holders, e)
		case e.HoldsUsableOlder:
			olderHolders = append(olderHolders, e)
		}
	}
	if len(holders) == 0 && len(olderHolders) == 0 {
		return Choice{Engine: loadTarget(adapter, excludeIfPossible(engines, holdsOlder)), NeedsLoad: true}
	}
	// A limited engine's turns go to requests for adapters that no other one holds.
	if others := slices.DeleteFunc(slices.Concat(holders, olderHolders), isRateLimited); len(others) > 0 {
		holders, olderHolders = excludeIfPossible(holders, isRateLimited), excludeIfPossible(olderHolders, isRateLimited)
	}
	best := leastLoadedHolder(holders, olderHolders, random)
	choice := Choice{Engine: best.ID}
	if len(holders) < len(olderHolders) {
		choice.SpreadTo = newVersionTarget(adapter, engines, len(olderHolders), random)
	} else {
		choice.SpreadTo = spreadTarget(adapter, engines, best, len(holders)+len(olderHolders), random)
	}
	return choice
}

// leastLoadedHolder returns the least loaded holder of the version in force, or
// one of the older version if that has clearly less load.
func leastLoadedHolder(holders, olderHolders []Engine, random uint64) Engine {
	if len(olderHolders) == 0 {
		return leastLoaded(holders, random)
	}
	older := leastLoaded(olderHolders, random)
	if len(holders) == 0 {
		return older
	}
	newer := leastLoaded(holders, random)
	if older.load()+1 < newer.load() {
		return older
	}
	return newer
}

// excludeIfPossible returns a new slice without the excluded engines, or with
// all of them if no other is left.
func excludeIfPossible(engines []Engine, isExcluded func(Engine) bool) []Engine {
	kept := slices.DeleteFunc(slices.Clone(engines), isExcluded)
	if len(kept) == 0 {
		return slices.Clone(engines)
	}
	return kept
}

func holdsOlder(e Engine) bool    { return e.HoldsOlder }
func isSuspect(e Engine) bool     { return e.Suspect }
func isRateLimited(e Engine) bool { return e.RateLimited }
func loadsPaused(e Engine) bool   { return e.LoadsPaused }

// newVersionTarget returns an engine on which to load a new version while the
// older one still serves: one of the first n without the older version, as those
// with it would first have to end its requests. If n is the number of holders of
// the older version, as many hold the new one of a hot adapter when the older one
// may no longer be used.
func newVersionTarget(adapter topology.Adapter, engines []Engine, n int, random uint64) string {
	available := slices.DeleteFunc(excludeIfPossible(excludeIfPossible(engines, isRateLimited), holdsOlder), loadsPaused)
	if len(available) == 0 {
		return loadTarget(adapter, engines)
	}
	candidates := rendezvousOrder(adapter, available, n)
	return candidates[random%uint64(len(candidates))].ID
}

// leastLoaded returns the engine with the least load. Among equal ones the random
// number decides: an entry knows no load of engines that it has not used lately,
// and hundreds of entries would all choose the same one.
func leastLoaded(engines []Engine, random uint64) Engine {
	return slices.MinFunc(engines, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.load(), b.load()), cmp.Compare(a.tieBreaker(random), b.tieBreaker(random)))
	})
}

// tieBreaker orders engines of equal load differently for each random number.
func (e Engine) tieBreaker(random uint64) uint64 {
	return xxhash.Sum64String(e.ID + strconv.FormatUint(random, 16))
}

// load returns the engine's load, in waiting requests.
func (e Engine) load() float64 {
	load := float64(e.Queued) + float64(e.Running)/runningPerQueued
	if e.Slots > 0 && e.Running >= e.Slots {
		load += float64(e.Running - e.Slots + 1)
	}
	return load
}

// rendezvousOrder returns the first n engines in the adapter's rendezvous order.
func rendezvousOrder(adapter topology.Adapter, engines []Engine, n int) []Engine {
	byID := make(map[string]Engine, len(engines))
	candidates := make([]placement.Candidate, len(engines))
	for i, e := range engines {
		byID[e.ID] = e
		candidates[i] = placement.Candidate{Engine: e.ID}
	}
	ranked := placement.Rank(candidates, adapter.String(), n)
	ordered := make([]Engine, len(ranked))
	for i, c := range ranked {
		ordered[i] = byID[c.Engine]
	}
	return ordered
}

// loadTarget returns the engine on which to load a cold adapter: the first in
// its rendezvous order that accepts loads and is not far busier than the next.
func loadTarget(adapter topology.Adapter, engines []Engine) string {
	ordered := rendezvousOrder(adapter, engines, loadCandidates)
	for i, e := range ordered {
		if e.LoadsPaused {
			continue
		}
		if i+1 < len(ordered) && !ordered[i+1].LoadsPaused && e.isBusierThan(ordered[i+1]) {
			continue
		}
		return e.ID
	}
	fewestLoads := slices.MinFunc(ordered, func(a, b Engine) int {
		if a.LoadsPaused != b.LoadsPaused {
			if b.LoadsPaused {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.PendingLoads, b.PendingLoads)
	})
	return fewestLoads.ID
}

// isBusierThan reports whether the engine has so much more to do than the other
// that a cold adapter is better loaded there. Where all engines have many loads
// pending, the weight store is the bottleneck, and an adapter loaded at a second
// engine only takes the place of another adapter's load.
func (e Engine) isBusierThan(other Engine) bool {
	return e.PendingLoads >= other.PendingLoads+maxPendingExcess || e.load() > other.load()+maxQueueExcess
}

// spreadTarget returns the engine on which a hot adapter should also be loaded,
// or "" for none; best is the least loaded of its holders. The adapter is spread
// to at most as many engines at a time as hold it, so its holders can double
// with each round of loads while requests wait at all of them.
func spreadTarget(adapter topology.Adapter, engines []Engine, best Engine, holders int, random uint64) string {
	if best.Queued < minSpreadQueue {
		return ""
	}
	var available []Engine
	for _, e := range engines {
		if !e.Holds && !e.HoldsOlder && !e.LoadsPaused && !e.RateLimited && e.PendingLoads < pendingLoadLimit && e.load()+minSpreadGain <= best.load() {
			available = append(available, e)
		}
	}
	// Rendezvous order makes all entries choose the same engines.
	n := min(best.Queued/minSpreadQueue, holders)
	candidates := rendezvousOrder(adapter, available, n)
	if len(candidates) == 0 {
		return ""
	}
	return candidates[random%uint64(len(candidates))].ID
}
