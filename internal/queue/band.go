package queue

import (
	"container/heap"

	"github.com/barleylift/barleylift/internal/call"
)

// band holds the waiting entries of one urgency.
type band struct {
	entries     entryList
	customers   map[string]*customer
	active      customerHeap
	virtualTime VirtualTime
	// activeWeight is the sum of the weights of active customers.
	activeWeight float64
	// credit is the tokens that the band may be served before more urgent
	// bands, earned as its minimum share of their service.
	credit float64
	count  int
	// cost is the sum of the waiting tokens; blockedCost is the part whose
	// adapter was not ready at the last check.
	cost        int
	blockedCost int
}

// sweepSlack is the number of idle customers that a band keeps before it
// sweeps them.
const sweepSlack = 64

// customer is one customer's state in one band. It is active while it has
// waiting entries.
type customer struct {
	name      string
	weight    float64
	counter   float64
	groups    []*group
	cost      int
	count     int
	heapIndex int
}

// group is the waiting entries of one customer and adapter.
type group struct {
	adapter call.AdapterRef
	entries entryList
}

func (b *band) add(e *entry) {
	c, ok := b.customers[e.Customer]
	if !ok {
		b.sweep()
		c = &customer{name: e.Customer, counter: float64(b.virtualTime)}
		b.customers[e.Customer] = c
	} else {
		b.charge(c, float64(e.ServedElsewhere)/e.Weight)
	}
	e.customer = c
	c.add(e)
	if c.count == 1 {
		b.activate(c, e.Weight)
	}
	b.entries.id = inBand
	b.entries.append(e)
	b.count++
	b.cost += e.Cost
}

// sweep drops idle customers whose counter the band's virtual time has reached.
func (b *band) sweep() {
	if len(b.customers) < 2*len(b.active)+sweepSlack {
		return
	}
	for name, c := range b.customers {
		if c.count == 0 && c.counter <= float64(b.virtualTime) {
			delete(b.customers, name)
		}
	}
}

// activate adds a customer that starts to wait to the heap and raises its
// counter to the band's virtual time.
func (b *band) activate(c *customer, weight float64) {
	c.weight = weight
	c.counter = b.virtualTime.Raise(c.counter)
	b.activeWeight += weight
	heap.Push(&b.active, c)
}

func (b *band) remove(e *entry) {
	c := e.customer
	c.remove(e)
	b.entries.remove(e)
	b.count--
	b.cost -= e.Cost
	if c.count > 0 {
		return
	}
	heap.Remove(&b.active, c.heapIndex)
	b.activeWeight -= c.weight
	if c.counter <= float64(b.virtualTime) {
		delete(b.customers, c.name)
	}
	if b.count == 0 {
		b.reset()
	}
}

// reset drops all customers when the band is empty. While nothing waits, no
// customer is kept from service, so their counters are not carried over.
func (b *band) reset() {
	clear(b.customers)
	b.virtualTime, b.activeWeight, b.credit = 0, 0, 0
}

// serve charges a customer for a dispatched item. One whose adapters were not
// ready gains no credit meanwhile.
func (b *band) serve(c *customer, tokens float64) {
	c.counter = b.virtualTime.Serve(c.counter, tokens)
	if c.count > 0 {
		heap.Fix(&b.active, c.heapIndex)
	}
}

// charge adds to a customer's counter.
func (b *band) charge(c *customer, tokens float64) {
	c.counter += tokens
	if c.count > 0 {
		heap.Fix(&b.active, c.heapIndex)
	}
}

// fairest returns the oldest ready entry of the customer with the lowest
// counter that has one. It visits customers in order of their counters by a
// best-first walk of the heap. When the first customer has a ready entry, it
// looks at no other, so Pop takes O(log n) for n customers.
func (b *band) fairest(ready func(call.AdapterRef) bool) *entry {
	if b.count == 0 {
		return nil
	}
	if e := b.active[0].oldest(ready); e != nil {
		return e
	}
	frontier := indexHeap{customers: b.active}
	frontier.pushChildren(0)
	for len(frontier.indexes) > 0 {
		i := heap.Pop(&frontier).(int)
		if e := b.active[i].oldest(ready); e != nil {
			return e
		}
		frontier.pushChildren(i)
	}
	return nil
}

func (c *customer) add(e *entry) {
	c.count++
	c.cost += e.Cost
	for _, g := range c.groups {
		if g.adapter == e.Adapter {
			g.entries.append(e)
			e.group = g
			return
		}
	}
	g := &group{adapter: e.Adapter, entries: entryList{id: inGroup}}
	g.entries.append(e)
	e.group = g
	c.groups = append(c.groups, g)
}

func (c *customer) remove(e *entry) {
	c.count--
	c.cost -= e.Cost
	e.group.entries.remove(e)
	if e.group.entries.count > 0 {
		return
	}
	for i, g := range c.groups {
		if g == e.group {
			last := len(c.groups) - 1
			c.groups[i] = c.groups[last]
			c.groups[last] = nil
			c.groups = c.groups[:last]
			return
		}
	}
}

// oldest returns the customer's oldest entry whose adapter is ready.
func (c *customer) oldest(ready func(call.AdapterRef) bool) *entry {
	var found *entry
	for _, g := range c.groups {
		head := g.entries.head
		if found != nil && found.sequence < head.sequence {
			continue
		}
		if ready(g.adapter) {
			found = head
		}
	}
	return found
}

// newest returns the customer's newest entry whose adapter is not blocked.
func (c *customer) newest(blocked func(call.AdapterRef) bool) *entry {
	var found *entry
	for _, g := range c.groups {
		tail := g.entries.tail
		if (found == nil || tail.sequence > found.sequence) && !blocked(g.adapter) {
			found = tail
		}
	}
	return found
}

// customerHeap orders active customers by counter, then name; it implements
// heap.Interface.
type customerHeap []*customer

func (h customerHeap) Len() int { return len(h) }

func (h customerHeap) Less(i, j int) bool {
	if h[i].counter != h[j].counter {
		return h[i].counter < h[j].counter
	}
	return h[i].name < h[j].name
}

func (h customerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *customerHeap) Push(x any) {
	c := x.(*customer)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *customerHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return c
}

// indexHeap is a heap of indexes into a customerHeap, for visiting customers
// in order without changing it; it implements heap.Interface.
type indexHeap struct {
	customers customerHeap
	indexes   []int
}

func (h *indexHeap) pushChildren(i int) {
	for child := 2*i + 1; child <= 2*i+2; child++ {
		if child < len(h.customers) {
			heap.Push(h, child)
		}
	}
}

func (h *indexHeap) Len() int { return len(h.indexes) }

func (h *indexHeap) Less(i, j int) bool { return h.customers.Less(h.indexes[i], h.indexes[j]) }

func (h *indexHeap) Swap(i, j int) { h.indexes[i], h.indexes[j] = h.indexes[j], h.indexes[i] }

// Push implements heap.Interface.
func (h *indexHeap) Push(x any) { h.indexes = append(h.indexes, x.(int)) }

// Pop implements heap.Interface.
func (h *indexHeap) Pop() any {
	last := len(h.indexes) - 1
	i := h.indexes[last]
	h.indexes = h.indexes[:last]
	return i
}
