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
	for seed := range uint64(3) {
		former = former.plus(e.summarize(e.run(newFormerGate(), poisson(seed, perSecond, 40*time.Second), seed), nil))
		now = now.plus(e.summarize(e.run(NewGate(), poisson(seed, perSecond, 40*time.Second), seed), nil))
	}
	return former, now
}

// From a light load to one beyond what an engine with a pause objective can serve, no fewer
// requests may be within all objectives than before, and at a light load none may wait
// longer.
func TestGateServesMoreThanBefore(t *testing.T) {
	for _, test := range modelEngines {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for _, rho := range []float64{0.1, 0.33, 0.6} {
				former, now := compareGates(test.engine, rho)
				t.Logf("rho %.2f, before: %v", rho, former)
				t.Logf("rho %.2f, now:    %v", rho, now)
				if now.good < former.good {
					t.Errorf("rho %.2f: %d of %d requests within all objectives, %d before", rho, now.good, now.all, former.good)
				}
				if rho == 0.1 && (now.wait > former.wait || now.first90 > former.first90) {
					t.Errorf("rho %.2f: waits of %v and first events within %v, before %v and %v", rho, now.wait, now.first90, former.wait, former.first90)
				}
			}
		})
	}
}
