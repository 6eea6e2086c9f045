package owner

import (
	"context"
	"errors"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/engine"
	"github.com/barleylift/barleylift/internal/placement"
	"github.com/barleylift/barleylift/internal/queue"
	"github.com/barleylift/barleylift/internal/upstream"
)

// loadBackoff is how long calls for an adapter are refused after its load
// failed.
const loadBackoff = 2 * time.Second

// evictBackoff is the pause after a failed eviction before the next one.
const evictBackoff = time.Second

// errNoRoom is returned when no slot is empty and no adapter may be evicted.
var errNoRoom = errors.New("no slot is free")

// load is one load of an adapter, from its preparation to its end.
type load struct {
	adapter   call.AdapterRef
	pressure  float64
	startedAt time.Time
	// cancel cancels the load while it waits for its permit.
	cancel context.CancelFunc
}

// startLoad submits the load of an adapter to the workers. The caller holds
// t.mu.
func (t *tenure) startLoad(demand queue.Demand, now time.Time) {
	ctx, cancel := context.WithCancel(t.pool.ctx)
	l := &load{adapter: demand.Adapter, pressure: demand.Pressure, startedAt: now, cancel: cancel}
	t.loads[l.adapter] = l
	t.task(true, func(context.Context) {
		defer cancel()
		t.runLoad(ctx, l)
		t.endLoad(l)
	})
}

// endLoad removes a load and schedules the next one.
func (t *tenure) endLoad(l *load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.loads, l.adapter)
	t.schedule(time.Now())
}

// runLoad waits for a permit, evicts an adapter if needed and loads the new
// one.
func (t *tenure) runLoad(ctx context.Context, l *load) {
	release, err := t.permit(ctx, l)
	if err != nil {
		return
	}
	defer release()
	order, err := t.reserve(l)
	if err != nil {
		t.log.Debug("load not started", "adapter", l.adapter.String(), "error", err)
		return
	}
	result := t.client.Load(t.pool.ctx, l.adapter, int64(t.token))
	t.finishLoad(l, order, result)
}

// permit blocks until the load may begin. It fails only if the load was
// cancelled because no call waits for it any more.
func (t *tenure) permit(ctx context.Context, l *load) (release func(), err error) {
	if t.pool.config.Permits == nil {
		return func() {}, ctx.Err()
	}
	permit, err := t.pool.config.Permits.Acquire(ctx, PermitRequest{
		Store:    t.spec.WeightStore,
		Engine:   t.name,
		Adapter:  l.adapter,
		Pressure: l.pressure,
	})
	if ctx.Err() != nil {
		if err == nil {
			permit.Release()
		}
		return nil, ctx.Err()
	}
	if err != nil {
		t.log.Warn("acquiring a load permit failed; loading without one", "adapter", l.adapter.String(), "error", err)
		return func() {}, nil
	}
	return permit.Release, nil
}

// reserve returns the order for the load. It first evicts an adapter if no slot
// is empty.
func (t *tenure) reserve(l *load) (engine.OrderID, error) {
	for {
		order, victim, err := t.reserveOrEvict(l)
		if err != nil || order != 0 {
			return order, err
		}
		if err := t.evict(victim); err != nil {
			return 0, err
		}
	}
}

// eviction is an unload that has been decided on.
type eviction struct {
	adapter call.AdapterRef
	order   engine.OrderID
}

// reserveOrEvict begins the load if a slot is empty, otherwise an eviction.
func (t *tenure) reserveOrEvict(l *load) (engine.OrderID, eviction, error) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, closed := t.closedResult(); closed || !t.needsLoad(l.adapter) {
		return 0, eviction{}, errors.New("the load is no longer needed")
	}
	if order, ok := t.agg.BeginLoad(l.adapter, now); ok {
		return order, eviction{}, nil
	}
	slots := t.victims()
	residents := make([]placement.Resident, len(slots))
	for i, slot := range slots {
		residents[i] = placement.Resident{Adapter: slot.Adapter, LastUse: slot.LastUse, Uses: slot.Uses, LoadTime: slot.LoadTime}
	}
	index, ok := placement.PickVictim(now, residents)
	if !ok {
		return 0, eviction{}, errNoRoom
	}
	victim := slots[index].Adapter
	order, ok := t.agg.BeginUnload(victim, t.leaseValid(), now)
	if !ok {
		return 0, eviction{}, errNoRoom
	}
	return 0, eviction{adapter: victim, order: order}, nil
}

// evict sends the order for an eviction. On engines that ignore fencing tokens
// it records the intent before it sends the order.
func (t *tenure) evict(e eviction) error {
	if !t.spec.ChecksFencing {
		if err := t.writeIntent(t.pool.ctx, e); err != nil {
			t.finishUnload(e, upstream.OrderResult{Status: upstream.OrderNotSent, Message: err.Error()})
			return err
		}
	}
	result := t.client.Unload(t.pool.ctx, e.adapter, int64(t.token))
	t.finishUnload(e, result)
	if result.Status != upstream.OrderConfirmed {
		return errNoRoom
	}
	return nil
}

func (t *tenure) finishUnload(e eviction, result upstream.OrderResult) {
	t.pool.config.Metrics.Eviction(t.name, result.Status.String())
	t.mu.Lock()
	defer t.mu.Unlock()
	t.agg.EndUnload(e.order, replyOf(result.Status), result.BootID, time.Now())
	t.handleOrderResult("unload", e.adapter, result)
	if result.Status == upstream.OrderConfirmed {
		t.clearIntent(e)
		return
	}
	t.evictNotBefore = time.Now().Add(evictBackoff)
}

func (t *tenure) finishLoad(l *load, order engine.OrderID, result upstream.OrderResult) {
	now := time.Now()
	t.pool.config.Metrics.Load(t.name, result.Status.String())
	t.mu.Lock()
	defer t.mu.Unlock()
	t.agg.EndLoad(order, replyOf(result.Status), result.BootID, now)
	t.handleOrderResult("load", l.adapter, result)
	switch result.Status {
	case upstream.OrderConfirmed:
		t.stall.Observe(now, now.Sub(l.startedAt))
		delete(t.failedUntil, l.adapter)
	case upstream.OrderRefused, upstream.OrderNotSent:
		t.handleLoadFailure(l.adapter, now)
	}
}

// handleOrderResult handles an order that was not confirmed: it logs the
// failure, refuses the waiting calls if the engine has a newer owner, and
// requests a report. The caller holds t.mu.
func (t *tenure) handleOrderResult(kind string, adapter call.AdapterRef, result upstream.OrderResult) {
	if result.Status == upstream.OrderConfirmed {
		return
	}
	t.log.Warn("order failed", "order", kind, "adapter", adapter.String(), "status", result.Status.String(), "error", result.Message)
	if result.Status == upstream.OrderFenced {
		t.handleFenced()
	}
	t.readReport()
}

// handleLoadFailure refuses the calls that wait for an adapter whose load
// failed, so they can try another engine. The caller holds t.mu.
func (t *tenure) handleLoadFailure(adapter call.AdapterRef, now time.Time) {
	t.failedUntil[adapter] = now.Add(loadBackoff)
	d := t.demands[adapter]
	if d == nil {
		return
	}
	for w := range d.waiters {
		t.queue.Remove(w.item.ID)
		t.refuse(w, loadFailed(adapter, loadBackoff))
	}
}

func loadFailed(adapter call.AdapterRef, after time.Duration) call.Result {
	return call.Failed(call.NotRun, call.CodeLoadFailed, "adapter "+adapter.String()+" could not be loaded").WithRetryAfter(after)
}

func replyOf(status upstream.OrderStatus) engine.Reply {
	switch status {
	case upstream.OrderConfirmed:
		return engine.ReplyConfirmed
	case upstream.OrderRefused:
		return engine.ReplyRefused
	case upstream.OrderFenced:
		return engine.ReplyFenced
	case upstream.OrderNotSent:
		return engine.ReplyNotSent
	default:
		return engine.ReplyLost
	}
}
