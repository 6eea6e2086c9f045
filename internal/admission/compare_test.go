package admission

import (
	"testing"
	"time"
)

// modelEngines are the engines of the deployments, with and without a fixed part in the
// time to the first event.
var modelEngines = []struct {
	name   string
	engine modelEngine
}{
	{"pace 1", modelEngine{pace: 1}},
	{"pace 1, 80 ms", modelEngine{pace: 1, overhead: 80 * time.Millisecond}},
	{"pace 1.6, 80 ms", modelEngine{pace: 1 / 1.6, overhead: 80 * time.Millisecond}},
	{"pace 0.6", modelEngine{pace: 1 / 0.6}},
	{"pace 0.6, 80 ms", modelEngine{pace: 1 / 0.6, overhead: 80 * time.Millisecond}},
	{"pace 1, 80 ms, stalls", modelEngine{pace: 1, overhead: 80 * time.Millisecond, stallEvery: 10 * time.Second}},
}

// compareGates runs loads of which prompts occupy a share rho of the engine's time through
// the former gate and the present one.
func compareGates(e modelEngine, rho float64) (former, now modelResult) {
	e.slots, e.objective, e.pauseObjective = 24, 800*time.Millisecond, 300*time.Millisecond
	perSecond := rho / (1180 / modelTokensPerMS / 1000 * e.pace)
	for seed := range uint64(2) {
		former = former.plus(e.summarize(e.run(newFormerGate(), poisson(seed, perSecond, 40*time.Second), seed), nil))
		now = now.plus(e.summarize(e.run(NewGate(), poisson(seed, perSecond, 40*time.Second), seed), nil))
	}
	return former, now
}

// Deployments under a light load must be served as well as before the overhead was learned
// apart, and engines with a fixed part of 80 ms, a third busy, better.
func TestGateServesMoreThanBefore(t *testing.T) {
	for _, test := range modelEngines {
		for _, rho := range []float64{0.1, 0.33} {
			former, now := compareGates(test.engine, rho)
			t.Logf("%s, rho %.2f, before: %v", test.name, rho, former)
			t.Logf("%s, rho %.2f, now:    %v", test.name, rho, now)
			if now.good < former.good {
				t.Errorf("%s, rho %.2f: %d of %d requests within all objectives, %d before", test.name, rho, now.good, now.all, former.good)
			}
		}
	}
}
