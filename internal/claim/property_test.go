package claim

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"pgregory.net/rapid"
)

// step is one event of a random run. All choices are drawn before the run, which
// makes the run depend on nothing else.
type step struct {
	kind        stepKind
	daemon      int
	customer    string
	key         string
	body        string
	tolerance   time.Duration
	cancelAfter time.Duration
	pause       time.Duration
	fault       txnFault
	behaviour   sendBehaviour
}

type stepKind int

const (
	stepCall stepKind = iota
	stepTakeover
	stepNotifyLost
	stepKill
	stepKVFault
	stepService
	stepPause
	stepLease
	stepDrain
	stepKinds
)

const propertyDaemons = 2

func drawStep(t *rapid.T) step {
	// Half of the steps are calls.
	kind := stepKind(rapid.IntRange(-int(stepKinds), int(stepKinds)-1).Draw(t, "kind"))
	return step{
		kind:        max(kind, stepCall),
		daemon:      rapid.IntRange(0, propertyDaemons-1).Draw(t, "daemon"),
		customer:    rapid.SampledFrom([]string{"cragbook", "pixelgate"}).Draw(t, "customer"),
		key:         rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"),
		body:        rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "body"),
		tolerance:   rapid.SampledFrom([]time.Duration{20 * time.Millisecond, time.Second, 10 * time.Second}).Draw(t, "tolerance"),
		cancelAfter: rapid.SampledFrom([]time.Duration{0, 0, 10 * time.Millisecond, time.Second}).Draw(t, "cancelAfter"),
		pause:       rapid.SampledFrom([]time.Duration{0, time.Millisecond, 150 * time.Millisecond, 4 * time.Second}).Draw(t, "pause"),
		fault:       txnFault(rapid.IntRange(0, int(txnFaults)-1).Draw(t, "fault")),
		behaviour:   sendBehaviour(rapid.IntRange(0, int(sendBehaviours)-1).Draw(t, "behaviour")),
	}
}

// callResult is the result that one caller received.
type callResult struct {
	keyed    call.KeyedRequest
	response call.KeyedResponse
	result   call.Result
}

// run executes steps in a cluster and collects the callers' results.
type run struct {
	*cluster
	t           *testing.T
	group       sync.WaitGroup
	mu          sync.Mutex
	callResults []callResult
}

func (r *run) execute(steps []step) {
	for _, shard := range propertyShards() {
		r.gain(r.daemons[0], shard)
	}
	for _, s := range steps {
		r.step(s)
		time.Sleep(s.pause)
	}
	r.group.Wait()
	time.Sleep(2 * txnDelay)
	r.stop()
}

func propertyShards() []string {
	added := make(map[string]bool)
	var shards []string
	for _, customer := range []string{"cragbook", "pixelgate"} {
		for _, key := range []string{"k1", "k2"} {
			shard := Shard(customer, "ticks", key)
			if !added[shard] {
				added[shard] = true
				shards = append(shards, shard)
			}
		}
	}
	return shards
}

func (r *run) step(s step) {
	d := r.daemons[s.daemon]
	shard := Shard(s.customer, "ticks", s.key)
	switch s.kind {
	case stepCall:
		r.call(d, s)
	case stepTakeover:
		r.gain(d, shard)
	case stepNotifyLost:
		if holding, ok := d.holdings[shard]; ok {
			d.pool.Lost(holding)
		}
	case stepKill:
		d.kv.kill()
		r.retired = append(r.retired, d)
		r.daemons[s.daemon] = r.newDaemon(r.t)
	case stepKVFault:
		d.kv.inject(s.fault)
	case stepService:
		r.service.mu.Lock()
		r.service.behaviours = append(r.service.behaviours, s.behaviour)
		r.service.mu.Unlock()
	case stepDrain:
		r.retired = append(r.retired, d)
		r.daemons[s.daemon] = r.newDaemon(r.t)
		r.group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			_ = d.pool.Drain(ctx)
		})
	case stepLease:
		d.view.setInvalid(s.fault%2 == 0)
	}
}

func (r *run) call(d *daemon, s step) {
	keyed := newKeyed(s.customer, s.key, s.body)
	keyed.Tolerance = s.tolerance
	ctx, cancel := context.WithCancel(context.Background())
	if s.cancelAfter > 0 {
		time.AfterFunc(s.cancelAfter, cancel)
	}
	r.group.Go(func() {
		defer cancel()
		response, result := d.pool.Execute(ctx, keyed)
		if d.kv.isDead() {
			// The caller of a dead daemon receives no result.
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.callResults = append(r.callResults, callResult{keyed, response, result})
	})
}

// check returns a description of the first violation, or an empty string.
func (r *run) check() string {
	for key, n := range r.service.byKey {
		if n > 1 {
			return fmt.Sprintf("key %s was executed %d times", key, n)
		}
	}
	for _, e := range r.callResults {
		byKey, byID := r.service.executions(e.keyed)
		switch e.result.Outcome {
		case call.NotRun, call.Rejected:
			if byID != 0 {
				return fmt.Sprintf("call %+v got %v but ran", e.keyed, e.result)
			}
		case call.Done:
			if byKey != 1 || !bytes.Equal(e.response.Body, responseFor(e.keyed)) {
				return fmt.Sprintf("call %+v got done with %q after %d executions", e.keyed, e.response.Body, byKey)
			}
		case call.Unknown, call.Incomplete:
		default:
			return fmt.Sprintf("call %+v got %v", e.keyed, e.result)
		}
	}
	return ""
}

// TestAtMostOnceUnderRandomFaults checks that no call runs twice and no result
// contradicts the executions, under random calls, lost and late replies of the
// key-value service, takeovers, daemon crashes, stale owners and service faults.
func TestAtMostOnceUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 40).Draw(rt, "steps")
		var violation string
		synctest.Test(t, func(t *testing.T) {
			r := &run{cluster: newCluster(t, propertyDaemons, 2), t: t}
			r.execute(steps)
			violation = r.check()
		})
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}
