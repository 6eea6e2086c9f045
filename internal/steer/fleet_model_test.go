package steer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/topology"
)

// playedLoad is one load of the test.
type playedLoad struct {
	name string
	// rate is relative to the usual one; the burst multiplies it in the middle.
	rate, burst float64
	// partial is set if owners report only to VMs that have sent to the engine within 3 s.
	partial bool
	// joins is the number of VMs that join in the middle, and restarts that of engines
	// that lose everything then.
	joins, restarts int
	// plain is set if requests need no adapter.
	plain bool
	// coldStart is set if each adapter is held by its home alone at first.
	coldStart bool
	stale     time.Duration
}

func (l playedLoad) requests(seed uint64) []*playedRequest {
	random := rand.New(rand.NewPCG(seed, 1))
	popularity := rand.NewZipf(random, playSkew, 1, playAdapters-1)
	var requests []*playedRequest
	for at := time.Duration(0); at < playWarmUp+playMeasured; {
		rate := playRate * l.rate
		if l.burst > 0 && at > playWarmUp+time.Second/2 && at < playWarmUp+3*time.Second {
			rate *= l.burst
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		mean := 1460.0
		if random.IntN(3) == 0 {
			mean = 650
		}
		const sigma = 0.9 // of a lognormal distribution; a prompt in a hundred is over five times the mean
		prompt := int(mean * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
		r := &playedRequest{at: at, vm: random.IntN(playVMs), adapter: int(popularity.Uint64()), prompt: max(prompt, 10), output: min(1+int(170*math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)), 600)}
		if l.plain {
			r.adapter = -1
		}
		requests = append(requests, r)
	}
	return requests
}

// fleet plays one load with one way to choose.
type fleet struct {
	load    playedLoad
	engines []*playedEngine
	fetches int
	// own holds, by VM and engine, the sends of the VM, and asked the waiting work that
	// the owner named in its last answer.
	own   [][][]ownSend
	asked [][]playedState
}

type ownSend struct {
	at     time.Duration
	tokens int
}

func newFleet(load playedLoad, seed uint64) *fleet {
	random := rand.New(rand.NewPCG(seed, 2))
	f := &fleet{load: load, own: make([][][]ownSend, playVMs), asked: make([][]playedState, playVMs)}
	for vm := range playVMs {
		f.own[vm], f.asked[vm] = make([][]ownSend, playEngines), make([]playedState, playEngines)
	}
	for i := range playEngines {
		e := &playedEngine{id: fmt.Sprint("e", i), pace: 0.6 + random.Float64(), slots: 24 + 8*random.IntN(4), places: 11 + random.IntN(6), fetching: -1,
			usedAt: map[int]time.Duration{}, using: map[int]int{}, waiting: map[int][]*playedRequest{}, loadEnds: map[int]time.Duration{}}
		e.perToken = time.Duration(float64(time.Millisecond) / playTokensPerMS / e.pace)
		for at := time.Duration(random.ExpFloat64() * 4e9); at < playWarmUp+playMeasured; at += time.Duration(random.ExpFloat64() * 4e9) {
			e.stalls = append(e.stalls, at)
		}
		f.engines = append(f.engines, e)
	}
	for a, homes := range playedHomes() {
		copies := 1
		if !load.coldStart {
			copies += int(playRate * load.rate * popularityOf(a) / playPerHolder)
		}
		for _, home := range homes[:min(copies, len(homes))] {
			if e := f.engines[home]; len(e.usedAt) < e.places {
				e.usedAt[a] = 0
			} else if len(e.recent) < playRecent/3 {
				e.recent = append(e.recent, a)
			}
		}
	}
	return f
}

// playedHomes returns the engines at which the most popular adapters may be at first.
var playedHomes = sync.OnceValue(func() [][]int {
	snapshot := make([]Engine, playEngines)
	for i := range snapshot {
		snapshot[i] = Engine{ID: fmt.Sprint("e", i)}
	}
	homes := make([][]int, 3000)
	for a := range homes {
		for _, e := range rendezvousOrder(playedAdapter(a), snapshot, max(30-a, 1)) {
			homes[a] = append(homes[a], slices.IndexFunc(snapshot, func(s Engine) bool { return s.ID == e.ID }))
		}
	}
	return homes
})

// popularityOf returns about the share of requests for the adapter of a rank from 0 on.
func popularityOf(rank int) float64 {
	const sum = 4.8 // of k^-1.2 for k up to 10,000
	return math.Pow(float64(rank+1), -playSkew) / sum
}

func playedAdapter(a int) topology.Adapter {
	if a < 0 {
		return topology.Adapter{Model: "m"}
	}
	return topology.Adapter{Model: "m", Name: fmt.Sprint("a", a)}
}

func (f *fleet) engineOf(id string) int {
	i, err := strconv.Atoi(id[1:])
	if err != nil {
		panic(err)
	}
	return i
}
