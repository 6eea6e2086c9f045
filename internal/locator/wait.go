package locator

import (
	"context"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/orders"
	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
)

// Time constants of asks.
const (
	// askAgain is the time between two asks for one adapter; asks and answers
	// are datagrams that may be lost.
	askAgain = 150 * time.Millisecond
	// askSilence is how long an owner may leave asks unanswered.
	askSilence = 400 * time.Millisecond
)

// waitKey is what requests wait for.
type waitKey struct {
	engine  string
	adapter topology.Adapter
	version int64
}

// wait is shared by all requests of this entry that wait for one adapter at
// one engine.
type wait struct {
	weight   float64
	waiters  int
	answered time.Duration
	// ended is closed when status is final.
	ended  chan struct{}
	status residency.Status
	closed bool
}

// Await asks for an adapter at an engine and waits until it is ready, the
// engine can't take it, its owner is silent, or ctx ends. Weight is the value
// of the request.
func (l *Locator) Await(ctx context.Context, engine string, adapter topology.Adapter, weight float64) residency.Status {
	key := waitKey{engine: engine, adapter: adapter, version: l.Needed(adapter)}
	w, first := l.join(key, weight)
	if first {
		// The asks go on for as long as any request waits.
		go l.askUntilEnded(key, w)
	}
	defer l.leave(key, w, weight)
	select {
	case <-w.ended:
		l.mu.Lock()
		defer l.mu.Unlock()
		return w.status
	case <-ctx.Done():
		return residency.Waiting
	}
}

// Request asks once for an adapter without waiting for it.
func (l *Locator) Request(engine string, adapter topology.Adapter, weight float64) {
	version := l.Needed(adapter)
	key := waitKey{engine: engine, adapter: adapter, version: version}
	l.mu.Lock()
	waited := l.waits[key] != nil
	l.mu.Unlock()
	if !waited {
		l.config.Ask(engine, adapter, version, weight)
	}
}

func (l *Locator) join(key waitKey, weight float64) (*wait, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.waits[key]
	first := w == nil
	if first {
		w = &wait{ended: make(chan struct{}), answered: clock.Boot()}
		l.waits[key] = w
	}
	w.waiters++
	w.weight += weight
	return w, first
}

func (l *Locator) leave(key waitKey, w *wait, weight float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.waiters--
	w.weight -= weight
	if w.waiters == 0 {
		l.end(key, w, residency.Waiting)
	}
}

// end makes a status final. The caller holds mu, because the waits change.
func (l *Locator) end(key waitKey, w *wait, status residency.Status) {
	if w.closed {
		return
	}
	w.closed = true
	w.status = status
	close(w.ended)
	if l.waits[key] == w {
		delete(l.waits, key)
	}
}

// askUntilEnded repeats the ask until the wait has ended or the owner is silent.
func (l *Locator) askUntilEnded(key waitKey, w *wait) {
	ticker := time.NewTicker(askAgain)
	defer ticker.Stop()
	for {
		l.mu.Lock()
		weight := w.weight
		silent := clock.Boot()-w.answered > askSilence
		if silent {
			l.ownerSilent(key, w)
		}
		l.mu.Unlock()
		if silent {
			return
		}
		if !l.config.Ask(key.engine, key.adapter, key.version, weight) {
			l.mu.Lock()
			l.ownerSilent(key, w)
			l.mu.Unlock()
			return
		}
		select {
		case <-w.ended:
			return
		case <-ticker.C:
		}
	}
}

// ownerSilent sends the waiting requests elsewhere. The caller holds mu,
// because the waits change.
func (l *Locator) ownerSilent(key waitKey, w *wait) {
	if v := l.views[key.engine]; v != nil && !w.closed {
		v.orderlessUntil = clock.Boot() + ownerSilence
		l.log.Info("owner of engine is silent or unknown, trying other engines", "engine", key.engine, "adapter", key.adapter.String())
	}
	l.end(key, w, residency.Elsewhere)
}

// Told takes over an owner's news about an adapter.
func (l *Locator) Told(news orders.News) {
	key := waitKey{engine: news.Engine, adapter: news.Adapter, version: news.Version}
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.views[news.Engine]
	if v != nil && news.Status == residency.Ready {
		v.held[news.Adapter] = max(v.held[news.Adapter], news.Version)
	}
	w := l.waits[key]
	if w == nil {
		return
	}
	w.answered = clock.Boot()
	if news.Status == residency.Waiting {
		return
	}
	if v != nil && news.Status == residency.Elsewhere {
		v.orderlessUntil = clock.Boot() + declinedPause
	}
	l.end(key, w, news.Status)
}

// declinedPause is how long an engine whose owner declined an adapter is
// passed over for adapters that must be loaded.
const declinedPause = 300 * time.Millisecond
