package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/queue"
)

// Constants of the order of admissions where requests have customers.
const (
	// priorityCount is the number of priorities that are kept apart; less urgent ones
	// count as the last.
	priorityCount = 8
	// minClassShare is the share that a less urgent class gets of the capacity that its
	// part of the demand stands for, while more urgent requests would take all. In
	// relation to the demand, a class is never served better than a more urgent one.
	minClassShare = 0.25
	// classShareDecay lowers that share with each priority: each is credited for the
	// service of all more urgent ones, of which the last has the most.
	classShareDecay = 0.75
	// minLateShare is the share of the admitted tokens that goes to requests which miss
	// their objective: a late answer is worth 10 to 30 in 100 of a timely one.
	minLateShare = 0.1
	// maxCredit is the most tokens that a share saves up: one long prompt. A longer one
	// needs no more, and leaves a debt.
	maxCredit = 4096
	// demandHalfLife is the half-life of the demand of a class.
	demandHalfLife = 5 * time.Second
	// maxCustomers is the number of customers of a class from which on those without
	// debt are dropped.
	maxCustomers = 4096
)

// fairOrder orders requests by class, and within a class by weighted shares of customers.
type fairOrder struct {
	classes    [priorityCount]class
	lateCredit float64
}

// class holds the requests of one priority.
type class struct {
	virtualTime queue.VirtualTime
	// counters holds the tokens per weight that each customer was charged.
	counters map[uint64]float64
	// credit is the tokens that the class may be admitted before more urgent ones.
	credit float64
	// demand is the decayed sum of the tokens of its requests, as of demandAt.
	demand   float64
	demandAt time.Duration
}

func classOf(w *waiter) int {
	return min(max(w.Priority, 0), priorityCount-1)
}

// cost returns the cost of a request in tokens.
func cost(w *waiter) float64 {
	return float64(max(w.PromptTokens, 1))
}

// arrive counts the demand of a new request.
func (o *fairOrder) arrive(now time.Duration, w *waiter) {
	c := &o.classes[classOf(w)]
	c.demand = c.demandNow(now) + cost(w)
	c.demandAt = now
}

func (c *class) demandNow(now time.Duration) float64 {
	return c.demand * math.Exp2(-(now-c.demandAt).Seconds()/demandHalfLife.Seconds())
}

// resetIdle drops the customers of classes in which none waits, as internal/queue does: while
// nothing waits, no customer is kept from service.
func (o *fairOrder) resetIdle(waiting map[Key]*waiter) {
	var waits [priorityCount]bool
	for _, w := range waiting {
		waits[classOf(w)] = true
	}
	for i := range o.classes {
		if c := &o.classes[i]; !waits[i] {
			clear(c.counters)
			c.virtualTime = 0
		}
	}
}

// choice is the head of a class, and whether credits pay for it.
type choice struct {
	w            *waiter
	late, credit bool
}

// pick returns the request to admit next.
func (o *fairOrder) pick(ready []*waiter, isLate func(*waiter) bool) choice {
	var timely, late [priorityCount]*waiter
	for _, w := range ready {
		heads := &timely
		if isLate(w) {
			heads = &late
		}
		i := classOf(w)
		if heads[i] == nil || o.classes[i].compare(w, heads[i]) < 0 {
			heads[i] = w
		}
	}
	firstLate := firstOf(late)
	if firstLate != nil && o.lateCredit >= min(cost(firstLate), maxCredit) {
		return choice{w: firstLate, late: true, credit: true}
	}
	for i, w := range timely {
		if w != nil && o.classes[i].credit >= min(cost(w), maxCredit) {
			return choice{w: w, credit: true}
		}
	}
	if w := firstOf(timely); w != nil {
		return choice{w: w}
	}
	return choice{w: firstLate, late: true}
}

// firstOf returns the most urgent head; nil for none.
func firstOf(heads [priorityCount]*waiter) *waiter {
	for _, w := range heads {
		if w != nil {
			return w
		}
	}
	return nil
}

// compare orders requests of a class: those that go on with a stream first, then by the counters
// of their customers, then by when they are due.
func (c *class) compare(a, b *waiter) int {
	if a.Customer != b.Customer {
		byCounter := cmp.Compare(c.virtualTime.Raise(c.counters[a.Customer]), c.virtualTime.Raise(c.counters[b.Customer]))
		return cmp.Or(compareResumes(a, b), byCounter, cmp.Compare(a.FirstEventDue, b.FirstEventDue), cmp.Compare(a.Customer, b.Customer))
	}
	return compareDue(a, b)
}

// admit charges an admitted request, and credits the less urgent classes by their demand: also
// one of which none waits, as its requests may have been declined.
func (o *fairOrder) admit(now time.Duration, picked choice, ready []*waiter, isLate func(*waiter) bool) {
	tokens := cost(picked.w)
	own := classOf(picked.w)
	o.classes[own].charge(picked.w.Customer, tokens/weightOf(picked.w, ready))
	switch {
	case picked.late && picked.credit:
		o.lateCredit -= tokens
	case picked.credit:
		o.classes[own].credit -= tokens
	}
	lateWaits := slices.ContainsFunc(ready, func(w *waiter) bool { return w != picked.w && isLate(w) })
	if lateWaits && !picked.late {
		o.lateCredit = min(o.lateCredit+minLateShare*tokens, maxCredit)
	}
	var demands [priorityCount]float64
	total := 0.0
	for i := range o.classes {
		demands[i] = o.classes[i].demandNow(now)
		total += demands[i]
	}
	for i := own + 1; i < priorityCount && total > 0; i++ {
		c := &o.classes[i]
		share := minClassShare * math.Pow(classShareDecay, float64(i-1)) * demands[i] / total
		c.credit = min(c.credit+share*tokens, maxCredit)
	}
}

func (c *class) charge(customer uint64, charge float64) {
	if c.counters == nil {
		c.counters = make(map[uint64]float64)
	}
	if len(c.counters) >= maxCustomers {
		for other, counter := range c.counters {
			if counter <= float64(c.virtualTime) {
				delete(c.counters, other)
			}
		}
	}
	c.counters[customer] = c.virtualTime.Serve(c.counters[customer], charge)
}

// weightOf returns the weight of a request's customer. Requests without one, for example of
// an entry of an earlier build, get the mean weight of those that wait.
func weightOf(w *waiter, ready []*waiter) float64 {
	if w.Weight > 0 {
		return w.Weight
	}
	sum, n := 0.0, 0
	for _, other := range ready {
		if other.Weight > 0 {
			sum += other.Weight
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// maxWeight bounds the weights that entries state; it is above all rates.
const maxWeight = 1e12

// boundedWeight returns a weight that can be calculated with; 0 for one that is none.
func boundedWeight(weight float64) float64 {
	if !(weight > 0) {
		return 0
	}
	return min(weight, maxWeight)
}
