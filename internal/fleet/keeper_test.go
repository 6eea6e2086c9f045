package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/mirror"
)

// faultyKV is one daemon's way to the key-value service.
type faultyKV struct {
	infra.KV
	mu          sync.Mutex // guards the fields below
	refuseCalls bool
	loseReplies bool
}

var (
	errRefused   = &infra.Error{Op: "test", Kind: infra.Unavailable, Err: errors.New("turned away")}
	errReplyLost = &infra.Error{Op: "test", Kind: infra.Ambiguous, Err: errors.New("the reply is lost")}
)

func (l *faultyKV) faults() (refused, lose bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refuseCalls, l.loseReplies
}

func (l *faultyKV) setFaults(refused, lose bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuseCalls, l.loseReplies = refused, lose
}

func (l *faultyKV) Range(ctx context.Context, prefix string) (infra.RangeResult, error) {
	if refused, _ := l.faults(); refused {
		return infra.RangeResult{}, errRefused
	}
	return l.KV.Range(ctx, prefix)
}

func (l *faultyKV) Grant(ctx context.Context, ttl time.Duration) (infra.LeaseID, error) {
	if refused, _ := l.faults(); refused {
		return 0, errRefused
	}
	return l.KV.Grant(ctx, ttl)
}

func (l *faultyKV) KeepAlive(ctx context.Context, lease infra.LeaseID) (time.Duration, error) {
	if refused, _ := l.faults(); refused {
		return 0, errRefused
	}
	return l.KV.KeepAlive(ctx, lease)
}

// Txn may lose the reply of a write, which then takes effect some seconds later.
func (l *faultyKV) Txn(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	refused, lose := l.faults()
	if refused {
		return infra.TxnResult{}, errRefused
	}
	if lose {
		time.AfterFunc(rand.N(5*time.Second), func() { _, _ = l.KV.Txn(context.WithoutCancel(ctx), txn) })
		return infra.TxnResult{}, errReplyLost
	}
	return l.KV.Txn(ctx, txn)
}

// Watch breaks while the service turns the daemon away.
func (l *faultyKV) Watch(ctx context.Context, prefix string, from int64) (<-chan infra.WatchBatch, error) {
	if refused, _ := l.faults(); refused {
		return nil, errRefused
	}
	inner, cancel := context.WithCancel(ctx)
	batches, err := l.KV.Watch(inner, prefix, from)
	if err != nil {
		cancel()
		return nil, err
	}
	out := make(chan infra.WatchBatch)
	go func() {
		defer cancel()
		defer close(out)
		ticker := time.NewTicker(20 * time.Millisecond)
		defer ticker.Stop()
		for {
			batch := infra.WatchBatch{}
			select {
			case next, ok := <-batches:
				if !ok {
					return
				}
				batch = next
			case <-ticker.C:
				if refused, _ := l.faults(); !refused {
					continue
				}
				batch.Err = errRefused
			case <-ctx.Done():
				return
			}
			select {
			case out <- batch:
			case <-ctx.Done():
				return
			}
			if batch.Err != nil {
				return
			}
		}
	}()
	return out, nil
}

// orderHistory checks the orders to one engine.
type orderHistory struct {
	lastHolder string
	lastToken  Token
	lastAt     time.Duration
	count      int
}

// Orders of two daemons to one engine are the quiet time apart and under rising
// tokens, whatever the key-value service does to the daemons.
func TestOrdersOfTwoDaemonsAreTheQuietTimeApart(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFaultSchedule(t, seed) })
		})
	}
}

const (
	testDaemons = 4
	testEngines = 4
)

func runFaultSchedule(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	origin := time.Now()
	now := func() time.Duration { return time.Since(origin) + time.Second }
	kv := fake.NewKV()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var engines []string
	for e := range testEngines {
		engines = append(engines, fmt.Sprint("engine-", e))
	}
	var links []*faultyKV
	var keepers []*Keeper
	for d := range testDaemons {
		l := &faultyKV{KV: kv}
		k, err := NewKeeper(KeeperConfig{
			KV: l, Prefix: "p/", Self: Member{Name: fmt.Sprint("vm-", d), Incarnation: 1}, Timing: testTiming,
			Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Now: now,
		})
		if err != nil {
			t.Fatal(err)
		}
		m, err := mirror.New(mirror.Config{KV: l, Apply: k.Apply, Log: k.log})
		if err != nil {
			t.Fatal(err)
		}
		k.SetEngines(engines)
		go m.Run(ctx)
		go k.Run(ctx)
		links, keepers = append(links, l), append(keepers, k)
	}
	books := make(map[string]*orderHistory)
	for _, id := range engines {
		books[id] = &orderHistory{}
	}
	for range 3000 { // a minute in steps of 20 ms
		time.Sleep(20 * time.Millisecond)
		injectRandomFault(random, kv, links, keepers)
		for _, id := range engines {
			for _, k := range keepers {
				if token, ok := k.MayOrder(id); ok {
					books[id].record(t, id, k.Self().Name, token, now())
				}
			}
		}
	}
	for id, book := range books {
		if book.count == 0 {
			t.Errorf("engine %s got no order", id)
		}
	}
	cancel()
	synctest.Wait()
}

// injectRandomFault changes what the service does to a daemon now and then.
func injectRandomFault(random *rand.Rand, kv *fake.KV, links []*faultyKV, keepers []*Keeper) {
	if random.IntN(50) != 0 {
		return
	}
	d := random.IntN(len(links))
	switch random.IntN(6) {
	case 0:
		links[d].setFaults(true, false)
	case 1:
		// The service drops the daemon's keys at the moment at which it turns it away.
		links[d].setFaults(true, false)
		keepers[d].mu.RLock()
		lease := keepers[d].lease
		keepers[d].mu.RUnlock()
		kv.ExpireLease(lease)
	case 2:
		links[d].setFaults(false, true)
	case 3:
		kv.ExpireAllLeases()
	default:
		links[d].setFaults(false, false)
	}
}

func (b *orderHistory) record(t *testing.T, engine, holder string, token Token, at time.Duration) {
	b.count++
	if b.lastHolder != "" && b.lastHolder != holder {
		if gap := at - b.lastAt; gap < testTiming.QuietTime {
			t.Errorf("%s: an order of %s %v after one of %s", engine, holder, gap, b.lastHolder)
		}
		if token <= b.lastToken {
			t.Errorf("%s: token %d of %s after token %d", engine, token, holder, b.lastToken)
		}
	}
	b.lastHolder, b.lastToken, b.lastAt = holder, token, at
}
