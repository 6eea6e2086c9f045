package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/residency"
)

// Entries state lengths, weights and deadlines; whatever arrives, the gate must keep within the
// engine's slots and forget what has ended: a sum that overflows would admit everything or
// nothing.
func FuzzGateKeepsItsBounds(f *testing.F) {
	for seed := range uint64(10) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 17))
		any64 := func() int64 { return int64(random.Uint64()) >> random.IntN(64) }
		weights := []float64{0, 1, 1e6, -1, math.Inf(1), math.NaN(), math.MaxFloat64}
		g := NewGate()
		var admitted []Key
		now := time.Minute
		for i := range uint64(300) {
			now += time.Duration(random.IntN(50)) * time.Millisecond
			g.Enqueue(now, Request{
				Key: Key{Ticket: i}, PromptTokens: int(any64()), Priority: int(any64()), PauseObjective: time.Duration(any64()), FirstEventDue: time.Duration(any64()),
				Deadline: time.Duration(any64()), Customer: uint64(random.IntN(4)), Weight: weights[random.IntN(len(weights))],
			})
			for _, d := range g.Next(now, 3-len(admitted), always) {
				if d.Status == residency.Ready {
					admitted = append(admitted, d.Key)
				}
			}
			if len(admitted) > 3 {
				t.Fatalf("%d requests at 3 slots", len(admitted))
			}
			if len(admitted) > 0 && random.IntN(2) == 0 {
				if random.IntN(2) == 0 {
					g.Release(now, admitted[0])
				}
				g.Withdraw(admitted[0])
				admitted = admitted[1:]
			}
			if g.pacer.unreported < 0 || g.NextCheckDelay(now) <= 0 || g.WaitingWork(now, always) < 0 || math.IsNaN(float64(g.fair.classes[0].virtualTime)) {
				t.Fatalf("unreported %v, next check in %v, waiting work %v", g.pacer.unreported, g.NextCheckDelay(now), g.WaitingWork(now, always))
			}
		}
	})
}
