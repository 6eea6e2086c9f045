package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/topology"
)

// rack is a number of engines that end together.
const rack = 12

// endRack ends engines within some milliseconds, and settles. requestsOf returns the requests
// of an engine.
func (e *events) endRack(requestsOf func(engine int) []Request) {
	for engine := range rack {
		e.engine++
		process := Process{ID: fmt.Sprint("lm-", e.engine), Incarnation: 1}
		for _, request := range requestsOf(engine) {
			e.recordCrash(process, Failure{Request: request, Begun: true, SentAt: e.now - 2*time.Second, At: e.now})
		}
		e.pass(3 * time.Millisecond)
	}
	e.settle()
}

// Requests that were at an engine of one rack and went on at one of the next were refused, most
// of them alone at their two engines.
func TestRequestsThatOutliveTwoRacksAreNotBlocked(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		e := newEvents()
		var requests []Request
		for n := range 200 {
			requests = append(requests, Request{Fingerprint: Fingerprint(1000 + n), Prompt: prompt(topology.PromptPart(random.IntN(150)), topology.PromptPart(10_000+n))})
		}
		for range 4 {
			random.Shuffle(len(requests), func(i, j int) { requests[i], requests[j] = requests[j], requests[i] })
			e.endRack(func(engine int) []Request {
				return requests[engine*len(requests)/rack : (engine+1)*len(requests)/rack]
			})
			e.pass(3 * time.Second)
		}
		if blocked := e.table.Blocks(); len(blocked) > 0 {
			t.Errorf("seed %d: %d blocked after four racks ended, first %v", seed, len(blocked), blocked[0].Key)
		}
	}
}

func TestPartAtMostEnginesOfARackCounts(t *testing.T) {
	const part topology.PromptPart = 0xbad
	e := newEvents()
	for n := range 3 {
		e.endRack(func(engine int) []Request {
			id := 100*n + engine
			return []Request{{Fingerprint: Fingerprint(1000 + id), Prompt: prompt(part, topology.PromptPart(10_000+id))}}
		})
		e.pass(time.Second)
	}
	if !e.isBlocked(part) {
		t.Error("a part at all engines that ended three times isn't blocked")
	}
}

func TestRequestThatCrashesEnginesBeforeAndAfterARacksEndIsBlocked(t *testing.T) {
	e := newEvents()
	e.end(time.Second, bad)
	e.pass(time.Second)
	e.endRack(func(engine int) []Request { return []Request{{Fingerprint: Fingerprint(1000 + engine)}} })
	e.pass(time.Second)
	e.end(time.Second, bad)
	if blocked := e.blockedRequests(); len(blocked) != 1 || blocked[0] != bad {
		t.Errorf("blocked %v, want %v", blocked, bad)
	}
}

// BenchmarkReportsOfARacksEnd measures the reports of requests at a rack's engines while a part
// is blocked.
func BenchmarkReportsOfARacksEnd(b *testing.B) {
	for b.Loop() {
		e := newEvents()
		for range 3 {
			e.crash(prompt(0xbad, 1), prompt(0xbad, 2))
			e.pass(time.Second)
		}
		e.endRack(func(engine int) []Request {
			var requests []Request
			for n := range 30 {
				id := 100*engine + n
				requests = append(requests, Request{Fingerprint: Fingerprint(1000 + id), Prompt: prompt(topology.PromptPart(id%50), topology.PromptPart(10_000+id))})
			}
			return requests
		})
	}
}
