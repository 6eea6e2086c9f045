package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Whatever arrives when, prompts that an engine prefills without the steps of an event
// between them take no longer than a batch may, or are a single prompt. An engine that prefills
// as the model says is compared; on a slow one the same holds by its learned pace.
func FuzzBatchesStayWithinThePauseObjective(f *testing.F) {
	for seed := range uint64(20) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 11))
		p := newPacer()
		p.model.perToken = time.Duration(20+random.IntN(100)) * time.Microsecond
		objective := time.Duration(300+100*random.IntN(2)) * time.Millisecond
		steps := eventSteps * time.Duration(float64(stepTime)*min(max(float64(p.model.perToken)/float64(stepTimePerToken), minPaceFactor), maxPaceFactor))
		var idleAt, work time.Duration
		prompts := 0
		for now := time.Minute; now < time.Minute+10*time.Second; now += time.Duration(random.IntN(60)) * time.Millisecond {
			tokens := random.IntN(4000)
			if !p.fits(now, tokens, objective) {
				continue
			}
			took := p.admit(now, tokens, objective)
			p.end(took)
			if now >= idleAt+steps {
				work, prompts = 0, 0
			}
			work += took
			prompts++
			idleAt = max(idleAt, now) + took
			if prompts > 1 && work > batchLimit(objective) {
				t.Fatalf("%v of prefill by %d prompts without a gap, want at most %v", work, prompts, batchLimit(objective))
			}
		}
	})
}
