package queue

import (
	"container/heap"

	"github.com/barleylift/barleylift/internal/call"
)

// band holds the entries of one urgency.
type band struct {
	items     list
	customers map[string]*customer
	active    customerHeap
	// virtual is the band's virtual time, in tokens per weight.
	virtual float64
	// weight is the sum of the weights of active customers.
	weight float64
	// credit is the tokens that the band has earned from more urgent bands.
	credit float64
	count  int
	// cost is the waiting tokens; blockedCost is those of them whose adapter
	// was not ready when last asked.
	cost        int
	blockedCost int
}

// sweepSlack is the number of idle customers that a band keeps before it
// looks for those that it can forget.
const sweepSlack = 64

// customer is one customer's state in one band.
type customer struct {
	name      string
	weight    float64
	counter   float64
	groups    []*group
	cost      int
	count     int
	heapIndex int
}

// group is the entries of one customer that wait for one adapter.
type group struct {
	adapter call.AdapterRef
	items   list
}

func (b *band) add(e *entry) {
	c, ok := b.customers[e.Customer]
	if !ok {
		b.sweep()
		c = &customer{name: e.Customer, counter: b.virtual}
		b.customers[e.Customer] = c
	} else {
		b.charge(c, float64(e.ServedElsewhere)/e.Weight)
	}
	e.owner = c
	c.add(e)
	if c.count == 1 {
		b.activate(c, e.Weight)
	}
	b.items.id = inBand
	b.items.append(e)
	b.count++
	b.cost += e.Cost
}

// sweep forgets idle customers whose debt the band's virtual time has passed.
func (b *band) sweep() {
	if len(b.customers) < 2*len(b.active)+sweepSlack {
		return
	}
	for name, c := range b.customers {
		if c.count == 0 && c.counter <= b.virtual {
			delete(b.customers, name)
		}
	}
}

// activate lifts a customer that starts to wait to the band's virtual time.
func (b *band) activate(c *customer, weight float64) {
	c.weight = weight
	c.counter = max(c.counter, b.virtual)
	b.weight += weight
	heap.Push(&b.active, c)
}

func (b *band) remove(e *entry) {
	c := e.owner
	c.remove(e)
	b.items.remove(e)
	b.count--
	b.cost -= e.Cost
	if c.count > 0 {
		return
	}
	heap.Remove(&b.active, c.heapIndex)
	b.weight -= c.weight
	if c.counter <= b.virtual {
		delete(b.customers, c.name)
	}
	if b.count == 0 {
		b.reset()
	}
}

// reset forgets all customers when nothing waits: while the queue is empty
// nobody is kept from service, so no debt is carried on.
func (b *band) reset() {
	clear(b.customers)
	b.virtual, b.weight, b.credit = 0, 0, 0
}

// serve charges a customer for an item that starts, and sets the band's
// virtual time to the item's start tag (start-time fair queueing, Goyal, Vin
// and Cheng, 1996). A customer that could not be served, because its adapters
// were not ready, is lifted to the virtual time first and so gets no credit.
func (b *band) serve(c *customer, tokens float64) {
	c.counter = max(c.counter, b.virtual)
	b.virtual = c.counter
	b.charge(c, tokens)
}

// charge adds to a customer's counter.
func (b *band) charge(c *customer, tokens float64) {
	c.counter += tokens
	if c.count > 0 {
		heap.Fix(&b.active, c.heapIndex)
	}
}

// fairest returns the oldest ready entry of the customer with the lowest
// counter that has one. It visits customers in order of their counters,
// walking the heap best first, so that it takes O(log n) when the first
// customer has a ready entry.
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
			g.items.append(e)
			e.group = g
			return
		}
	}
	g := &group{adapter: e.Adapter, items: list{id: inGroup}}
	g.items.append(e)
	e.group = g
	c.groups = append(c.groups, g)
}

func (c *customer) remove(e *entry) {
	c.count--
	c.cost -= e.Cost
	e.group.items.remove(e)
	if e.group.items.count > 0 {
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
		head := g.items.head
		if found != nil && found.sequence < head.sequence {
			continue
		}
		if ready(g.adapter) {
			found = head
		}
	}
	return found
}

// newest returns the customer's newest entry whose adapter was ready when last asked.
func (c *customer) newest(blocked func(call.AdapterRef) bool) *entry {
	var found *entry
	for _, g := range c.groups {
		tail := g.items.tail
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
