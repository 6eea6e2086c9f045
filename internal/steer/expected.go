package steer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Constants of the expected time to the first event.
const (
	// loadTime is the time of a load from the weight store while that is not overloaded, and
	// reloadTime that of an adapter that the engine held lately; from the engines' sheets.
	loadTime   = 288 * time.Millisecond
	reloadTime = 29 * time.Millisecond
	// fleetLoads is the number of loads in flight over all engines from which on each takes
	// longer in proportion: the smaller one of the deployments'.
	fleetLoads = 48
	// meanPromptTokens converts counts of requests to work where an owner reports no pace.
	meanPromptTokens = 1200
	// reportMemory is the age at which what a report says of waiting work counts 1/e, and
	// the mean of the engines compared the rest. In the played loads 1 s serves more in time
	// than 0.3 s or 3 s: most of a queue is gone by then, but not that of an engine that is
	// slow or holds a hot adapter.
	reportMemory = time.Second
	// stepTokens is the number of prompt tokens that take as long to prefill as one step
	// of the engine, and firstEventSteps the steps until the first event of three tokens.
	stepTokens, firstEventSteps = 200, 3
	// runTime is how long a request occupies a slot of an engine of average pace: 170
	// output tokens in steps of 10 ms, with the prefills of others between them.
	runTime = 2 * time.Second
	// sampleSpread is the difference of expected times at which an engine is chosen e times
	// as rarely. In the played loads 20 ms makes VMs with the same reports crowd at one
	// engine, and 200 ms sends too many to slow ones.
	sampleSpread = 80 * time.Millisecond
)

// Expected is an expected time to the first event and its parts.
type Expected struct {
	// Wait is the time that the engine needs for what it has to do before, Load that of the
	// adapter's load, and Prefill that of the request's own prompt up to its first event.
	Wait, Load, Prefill time.Duration
	// PromptTokens is the number of prompt tokens behind Prefill, and Age that of the
	// owner's report.
	PromptTokens int
	Age          time.Duration
}

// Total returns the time to the first event.
func (x Expected) Total() time.Duration { return x.Wait + x.Load + x.Prefill }

// fleetWork holds what the expected times at single engines depend on.
type fleetWork struct {
	// known is set if an engine's pace is known.
	known bool
	// perToken is the mean prefill time per token of engines whose pace is known. It
	// stands for that of the others.
	perToken time.Duration
	// loadTime is the time of one load from the weight store.
	loadTime time.Duration
	// meanWork is the mean of the waiting work of the engines compared.
	meanWork float64
}

func newFleetWork(engines []Engine) fleetWork {
	var sum time.Duration
	known, loading := 0, 0
	for _, e := range engines {
		if e.PrefillPerToken > 0 {
			sum += e.PrefillPerToken
			known++
		}
		// An engine fetches one adapter at a time.
		loading += min(e.PendingLoads, 1)
	}
	f := fleetWork{loadTime: time.Duration(float64(loadTime) * max(1, float64(loading)/fleetLoads))}
	if known > 0 {
		f.known, f.perToken = true, sum/time.Duration(known)
	}
	return f.among(engines)
}

// among returns f for a comparison of the engines.
func (f fleetWork) among(engines []Engine) fleetWork {
	sum, weights := 0.0, 0.0
	for _, e := range engines {
		weight := e.reportWeight()
		sum += weight * f.reportedWork(e)
		weights += weight
	}
	f.meanWork = sum / max(weights, math.SmallestNonzeroFloat64)
	return f
}

// reportWeight returns how much the last report of the engine's owner still counts.
func (e Engine) reportWeight() float64 {
	return math.Exp(-float64(e.WorkAge) / float64(reportMemory))
}

// reportedWork returns the waiting work of an engine at its owner's last report.
func (f fleetWork) reportedWork(e Engine) float64 {
	if e.PrefillPerToken > 0 {
		return float64(e.WaitingWork)
	}
	return float64(e.Queued*meanPromptTokens) * float64(f.perToken)
}

// paceOf returns the prefill time per token at an engine.
func (f fleetWork) paceOf(e Engine) time.Duration {
	if e.PrefillPerToken > 0 {
		return e.PrefillPerToken
	}
	return f.perToken
}

// expected returns the expected time to a request's first event at an engine.
func (f fleetWork) expected(e Engine, needsLoad bool) Expected {
	pace := f.paceOf(e)
	x := Expected{Wait: f.wait(e), Prefill: time.Duration(e.PromptTokens+firstEventSteps*stepTokens) * pace, PromptTokens: e.PromptTokens, Age: e.WorkAge}
	if needsLoad {
		x.Load = f.load(e)
	}
	return x
}

// wait returns the time that an engine needs for the work before a new request.
func (f fleetWork) wait(e Engine) time.Duration {
	work := f.meanWork + (f.reportedWork(e)-f.meanWork)*e.reportWeight()
	wait := e.OwnWork + time.Duration(work)
	if e.Slots > 0 && e.Running >= e.Slots {
		wait += time.Duration(float64(runTime) * float64(e.Running-e.Slots+1) / float64(e.Slots))
	}
	return wait
}

// load returns the time until an engine has loaded an adapter.
func (f fleetWork) load(e Engine) time.Duration {
	if e.HeldLately {
		return reloadTime
	}
	return time.Duration(e.PendingLoads+1) * f.loadTime
}

// sample returns an engine at random: faster ones in proportion to their pace, and those
// with a longer wait the more rarely. If all entries took the best one of reports that are a
// second old, they would all take the same.
func (f fleetWork) sample(engines []Engine, random uint64) Engine {
	best, bestKey := 0, math.Inf(1)
	for i, e := range engines {
		x := f.expected(e, false)
		// The least of exponential variables falls on each in proportion to its weight.
		weight := math.Exp(-float64(x.Wait+x.Prefill)/float64(sampleSpread)) / float64(f.paceOf(e))
		key := exponential(e.ID, random) / weight
		if key < bestKey {
			best, bestKey = i, key
		}
	}
	return engines[best]
}

// exponential returns an exponential variable of an engine and a random number.
func exponential(id string, random uint64) float64 {
	hash := xxhash.Sum64String(id) ^ random
	// The finalizer of MurmurHash3 makes all bits depend on all others.
	hash = (hash ^ hash>>33) * 0xff51afd7ed558ccd
	hash = (hash ^ hash>>33) * 0xc4ceb9fe1a85ec53
	hash ^= hash >> 33
	const bits = 53
	return -math.Log((float64(hash>>(64-bits)) + 0.5) / (1 << bits))
}
