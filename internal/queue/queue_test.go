package queue

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/profile"
)

var start = time.Unix(1_700_000_000, 0)

func adapter(name string) call.AdapterRef {
	return call.AdapterRef{Name: name, Version: "1"}
}

func alwaysReady(call.AdapterRef) bool { return true }

type testQueue struct {
	*Queue
	next int
}

func newTestQueue(cfg Config) *testQueue {
	return &testQueue{Queue: New(cfg)}
}

func (q *testQueue) push(now time.Time, customer string, u profile.Urgency, cost int, tolerance time.Duration) (Refusal, bool) {
	q.next++
	return q.Push(now, Item{
		ID: fmt.Sprintf("%s-%d", customer, q.next), Customer: customer, Weight: 1, Urgency: u,
		Adapter: adapter("a"), Cost: cost, EnqueuedAt: now, Deadline: now.Add(tolerance),
	})
}

// serveAtRate pops n items, one per interval, so that the queue observes a rate.
func (q *testQueue) serveAtRate(now time.Time, n int, interval time.Duration) time.Time {
	for range n {
		now = now.Add(interval)
		q.Pop(now, alwaysReady)
	}
	return now
}

func TestBandServesCustomersByTokens(t *testing.T) {
	q := newTestQueue(Config{})
	for range 40 {
		q.push(start, "small", profile.Normal, 10, time.Hour)
		q.push(start, "large", profile.Normal, 100, time.Hour)
	}
	tokens := map[string]int{}
	for range 33 {
		item, _ := q.Pop(start, alwaysReady)
		tokens[item.Customer] += item.Cost
	}
	if difference := tokens["small"] - tokens["large"]; difference < -100 || difference > 100 {
		t.Errorf("tokens served %v differ by more than the largest call", tokens)
	}
}

func TestNewCustomerGetsNoCreditAndStarvesNoOther(t *testing.T) {
	q := newTestQueue(Config{})
	for range 100 {
		q.push(start, "old", profile.Normal, 10, time.Hour)
	}
	for range 50 {
		q.Pop(start, alwaysReady)
	}
	for range 20 {
		q.push(start, "new", profile.Normal, 10, time.Hour)
	}
	served := map[string]int{}
	for range 20 {
		item, _ := q.Pop(start, alwaysReady)
		served[item.Customer]++
	}
	if served["old"] < 9 || served["new"] < 9 {
		t.Errorf("after a customer joined, 20 pops served %v, want about half each", served)
	}
}

func TestUrgentFirstWithMinShareForLowerBands(t *testing.T) {
	q := newTestQueue(Config{})
	for range 400 {
		q.push(start, "a", profile.Critical, 10, time.Hour)
		q.push(start, "b", profile.Background, 10, time.Hour)
	}
	served := map[profile.Urgency]int{}
	for range 210 {
		item, _ := q.Pop(start, alwaysReady)
		served[item.Urgency]++
	}
	if low := served[profile.Background]; low < 9 || low > 11 {
		t.Errorf("background was served %d of 210, want about its minimum share of 5%%", low)
	}
}

func TestPopSkipsAdaptersThatAreNotReady(t *testing.T) {
	q := newTestQueue(Config{})
	for i, name := range []string{"cold", "warm", "cold", "warm"} {
		q.Push(start, Item{ID: fmt.Sprint(i), Customer: fmt.Sprint(i), Adapter: adapter(name), Deadline: start.Add(time.Hour), EnqueuedAt: start})
	}
	calls := 0
	warm := func(ref call.AdapterRef) bool {
		calls++
		return ref.Name == "warm"
	}
	for range 2 {
		if item, ok := q.Pop(start, warm); !ok || item.Adapter.Name != "warm" {
			t.Fatalf("popped %v, %v, want a call for the warm adapter", item, ok)
		}
	}
	calls = 0
	if _, ok := q.Pop(start, warm); ok || calls != 1 || q.Len() != 2 {
		t.Errorf("third pop = %v after %d readiness checks, %d waiting; want false, 1, 2", ok, calls, q.Len())
	}
}

func TestPushRefusesWithAccurateRetryAfter(t *testing.T) {
	q := newTestQueue(Config{})
	for range 100 {
		q.push(start, "a", profile.Normal, 100, time.Hour)
	}
	now := q.serveAtRate(start, 20, 100*time.Millisecond)
	refusal, ok := q.push(now, "a", profile.Normal, 100, 2*time.Second)
	if ok || refusal.Code != call.CodeExpectedWait {
		t.Fatalf("a call expected to wait 8 s was accepted with a tolerance of 2 s")
	}
	if wait := q.ExpectedWait(now, Item{Customer: "b", Urgency: profile.Normal}); wait > 0 {
		t.Errorf("a customer with nothing waiting would wait %v for another's backlog", wait)
	}
	later := now.Add(refusal.RetryAfter)
	for at := now.Add(100 * time.Millisecond); !at.After(later); at = at.Add(100 * time.Millisecond) {
		q.Pop(at, alwaysReady)
	}
	if _, ok := q.push(later, "a", profile.Normal, 100, 2*time.Second); !ok {
		t.Errorf("the call was refused again after the returned retry delay of %v, with no new call ahead of it", refusal.RetryAfter)
	}
}

func TestColdBacklogDoesNotCountAsWait(t *testing.T) {
	q := newTestQueue(Config{})
	for range 100 {
		q.push(start, "a", profile.Normal, 100, time.Hour)
	}
	now := q.serveAtRate(start, 20, 100*time.Millisecond)
	q.Pop(now, func(call.AdapterRef) bool { return false })
	warm := Item{ID: "warm", Customer: "a", Adapter: adapter("warm"), Cost: 100, Urgency: profile.Normal, Deadline: now.Add(time.Second)}
	if _, ok := q.Push(now, warm); !ok {
		t.Error("calls for an adapter that is not loaded added to the expected wait of a call for another one")
	}
	cold := warm
	cold.ID, cold.LoadWait = "cold", 2*time.Second
	if _, ok := q.Push(now, cold); ok {
		t.Error("a call whose load takes longer than its tolerance was accepted")
	}
}

func TestUrgentArrivalShedsLessUrgentAtOnce(t *testing.T) {
	q := newTestQueue(Config{})
	for range 40 {
		q.push(start, "warm-up", profile.Critical, 100, time.Hour)
	}
	now := q.serveAtRate(start, 40, 100*time.Millisecond)
	for range 8 {
		if _, ok := q.push(now, "low", profile.Normal, 100, time.Second); !ok {
			t.Fatal("refused a call that could be served in time")
		}
	}
	for range 10 {
		q.push(now, "urgent", profile.High, 100, 5*time.Second)
	}
	shed := q.DrainShed()
	if len(shed) == 0 {
		t.Fatal("no call was shed though urgent ones made it late")
	}
	for _, item := range shed {
		if item.Urgency != profile.Normal {
			t.Errorf("shed %v of urgency %v", item.ID, item.Urgency)
		}
	}
	if len(q.Expire(now.Add(2*time.Second))) != 8-len(shed) {
		t.Error("an item was returned twice or not at all")
	}
}

func TestFullQueueDisplacesLeastUrgentOnly(t *testing.T) {
	q := newTestQueue(Config{MaxWaiting: 2})
	q.push(start, "a", profile.Normal, 1, time.Hour)
	q.push(start, "b", profile.Background, 1, time.Hour)
	if _, ok := q.push(start, "c", profile.Background, 1, time.Hour); ok {
		t.Error("an arrival displaced an item as urgent as itself")
	}
	if _, ok := q.push(start, "d", profile.High, 1, time.Hour); !ok {
		t.Error("an urgent arrival was refused")
	}
	if shed := q.DrainShed(); len(shed) != 1 || shed[0].Customer != "b" {
		t.Errorf("shed %v, want the background item", shed)
	}
}

func TestDemandsSumPressure(t *testing.T) {
	q := newTestQueue(Config{})
	q.push(start, "a", profile.Normal, 1, time.Hour)
	q.push(start.Add(time.Second), "b", profile.Critical, 1, time.Hour)
	demands := q.Demands(start.Add(3 * time.Second))
	want := Demand{Adapter: adapter("a"), Waiting: 2, OldestEnqueuedAt: start, MaxUrgency: profile.Critical, Pressure: 2*3 + 4*2}
	if len(demands) != 1 || demands[0] != want {
		t.Errorf("demands %v, want %v", demands, want)
	}
}

func TestServiceAtOtherEnginesCounts(t *testing.T) {
	q := New(Config{})
	ledger := NewLedger()
	push := func(id int, customer string) {
		q.Push(start, Item{
			ID: fmt.Sprint(id), Customer: customer, Weight: 1, Cost: 10, Adapter: adapter("a"),
			EnqueuedAt: start, Deadline: start.Add(time.Hour), ServedElsewhere: ledger.ServedElsewhere(customer, "here"),
		})
	}
	for i := range 20 {
		push(2*i, "here only")
		push(2*i+1, "everywhere")
		ledger.RecordServed("everywhere", "there", 10)
		ledger.RecordServed("everywhere", "here", 10)
	}
	served := map[string]int{}
	for range 12 {
		item, _ := q.Pop(start, alwaysReady)
		served[item.Customer]++
	}
	if served["here only"] < 11 {
		t.Errorf("served %v, want the customer without service at other engines first", served)
	}
	if got := ledger.ServedElsewhere("everywhere", "here"); got != 10 {
		t.Errorf("%d tokens at other engines since the last call, want 10", got)
	}
}

func TestBacklogCountsEachCustomerUpToItsShare(t *testing.T) {
	q := newTestQueue(Config{})
	for range 100 {
		q.push(start, "long", profile.Normal, 10, time.Hour)
	}
	for range 3 {
		q.push(start, "short", profile.High, 10, time.Hour)
	}
	if got := q.Backlog(16); got != 8+3 {
		t.Errorf("backlog %d of a batch of 16 and two customers, want 11", got)
	}
}

// TestEveryItemLeavesOnce checks under random operations that each accepted
// item leaves the queue exactly once and that the sums stay consistent.
func TestEveryItemLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{MaxWaiting: 20})
		now, next := start, 0
		accepted := map[string]bool{}
		leave := func(id string) {
			if !accepted[id] {
				t.Fatalf("item %s left twice or was never accepted", id)
			}
			delete(accepted, id)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				item := Item{
					ID: fmt.Sprint(next), Customer: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "customer")), Weight: 1,
					Urgency: profile.Urgency(rapid.IntRange(0, 3).Draw(t, "urgency")),
					Adapter: adapter(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "adapter"))),
					Cost:    rapid.IntRange(1, 100).Draw(t, "cost"), EnqueuedAt: now,
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "tolerance")) * time.Millisecond),
				}
				if _, ok := q.Push(now, item); ok {
					accepted[item.ID] = true
				}
			},
			"pop": func(t *rapid.T) {
				mask := rapid.IntRange(0, 15).Draw(t, "ready")
				item, ok := q.Pop(now, func(ref call.AdapterRef) bool { return mask&(1<<(ref.Name[0]-'0')) != 0 })
				if ok {
					leave(item.ID)
					q.AdjustCharge(item.Customer, 1, item.Urgency, rapid.IntRange(-50, 50).Draw(t, "served"))
				}
			},
			"expire": func(*rapid.T) {
				for _, item := range q.Expire(now) {
					leave(item.ID)
				}
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "elapsed")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for _, item := range q.DrainShed() {
					leave(item.ID)
				}
				waiting, cost := 0, 0
				for _, d := range q.Demands(now) {
					waiting += d.Waiting
				}
				for i := range q.bands {
					b := &q.bands[i]
					cost += b.cost
					if b.blockedCost < 0 || b.blockedCost > b.cost {
						t.Fatalf("band %d: %d of %d tokens blocked", i, b.blockedCost, b.cost)
					}
				}
				if q.Len() != len(accepted) || waiting != len(accepted) || (cost == 0) != (len(accepted) == 0) {
					t.Fatalf("length %d, demands %d, cost %d, want %d items", q.Len(), waiting, cost, len(accepted))
				}
			},
		})
	})
}

func BenchmarkPushPop(b *testing.B) {
	for _, waiting := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprint("waiting=", waiting), func(b *testing.B) {
			q := New(Config{MaxWaiting: waiting + 1})
			item := Item{Weight: 1, Cost: 100, EnqueuedAt: start, Deadline: start.Add(time.Hour)}
			push := func(i int) {
				item.ID = fmt.Sprint(i)
				item.Customer = fmt.Sprint("customer-", i*7919%1000)
				item.Adapter = adapter(fmt.Sprint(i * 104729 % 32))
				item.Urgency = profile.Urgency(i % 4)
				q.Push(start, item)
			}
			for i := range waiting {
				push(i)
			}
			b.ReportAllocs()
			i := waiting
			for b.Loop() {
				push(i)
				q.Pop(start, alwaysReady)
				i++
			}
		})
	}
}
