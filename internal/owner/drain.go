package owner

import (
	"context"
	"fmt"
	"time"

	"github.com/barleylift/barleylift/internal/ownership"
)

// drainPollInterval is the time between two checks whether all calls have ended.
const drainPollInterval = 20 * time.Millisecond

// releaseTimeout bounds the release of one engine.
const releaseTimeout = 2 * time.Second

// Drain refuses new calls and waits for waiting and running calls to end. An
// engine is released as soon as no call waits for it; its successor does not
// interrupt the calls that still run. Drain then acknowledges the end of each
// tenure. It returns an error when ctx ends first.
func (p *Pool) Drain(ctx context.Context) error {
	p.mu.Lock()
	p.draining = true
	p.mu.Unlock()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		p.handOver()
		left := p.countBusy()
		if left == 0 {
			return p.endTenures(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("owner: %d engines still serve calls: %w", left, ctx.Err())
		}
	}
}

// handOver ends the tenures at which no call waits and no load is in progress,
// and submits the release of their engines to the workers.
func (p *Pool) handOver() {
	if p.config.Release == nil {
		return
	}
	for _, engine := range p.retireReleasable() {
		p.releasing.Add(1)
		p.workers.submit(false, func() {
			defer p.releasing.Done()
			p.release(engine)
		})
	}
}

// release releases the ownership of an engine. If that fails, the ownership
// ends with the lease.
func (p *Pool) release(engine string) {
	ctx, cancel := context.WithTimeout(p.ctx, releaseTimeout)
	defer cancel()
	if err := p.config.Release(ctx, engine); err != nil {
		p.config.Log.Warn("releasing an engine failed; its ownership ends with the lease", "engine", engine, "error", err)
	}
}

func (p *Pool) retireReleasable() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var engines []string
	for engine, t := range p.tenures {
		if t.isReleasable() {
			engines = append(engines, engine)
			delete(p.holdings, engine)
			p.retire(engine, "drained")
		}
	}
	return engines
}

func (p *Pool) countBusy() int {
	left := 0
	for _, t := range p.all() {
		if !t.idle() {
			left++
		}
	}
	return left
}

// endTenures waits for pending releases, ends all tenures and writes their
// acknowledgements.
func (p *Pool) endTenures(ctx context.Context) error {
	p.releasing.Wait()
	p.mu.Lock()
	for engine := range p.tenures {
		p.retire(engine, "drained")
	}
	p.holdings = map[string]ownership.Holding{}
	p.mu.Unlock()
	for _, t := range p.all() {
		if err := t.acknowledge(ctx); err != nil {
			return err
		}
	}
	return nil
}

// HandoverReady reports whether no call waits or runs at the engine and no load
// is in progress, so that another daemon can take it over.
func (p *Pool) HandoverReady(engine string) bool {
	for _, t := range p.all() {
		if t.name == engine && !t.idle() {
			return false
		}
	}
	return true
}
