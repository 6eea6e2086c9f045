package queue

import (
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/profile"
)

// entry is a waiting item with its positions in the queue's indexes.
type entry struct {
	Item
	sequence  uint64
	heapIndex int
	customer  *customer
	group     *group
	links     [listCount]link
}

type link struct {
	previous, next *entry
}

// listID identifies one of the lists that an entry is in.
type listID int

const (
	inBand listID = iota
	inAdapter
	inGroup
	listCount
)

// entryList is an intrusive doubly linked list of entries in order of arrival.
type entryList struct {
	id         listID
	head, tail *entry
	count      int
}

func (l *entryList) append(e *entry) {
	e.links[l.id] = link{previous: l.tail}
	if l.tail == nil {
		l.head = e
	} else {
		l.tail.links[l.id].next = e
	}
	l.tail = e
	l.count++
}

func (l *entryList) remove(e *entry) {
	at := e.links[l.id]
	if at.previous == nil {
		l.head = at.next
	} else {
		at.previous.links[l.id].next = at.next
	}
	if at.next == nil {
		l.tail = at.previous
	} else {
		at.next.links[l.id].previous = at.previous
	}
	e.links[l.id] = link{}
	l.count--
}

// deadlineHeap orders entries by deadline; it implements heap.Interface.
type deadlineHeap []*entry

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// adapterEntries is the entries that wait for one adapter, with their sums.
type adapterEntries struct {
	ref     call.AdapterRef
	entries entryList
	// blocked is set if the adapter was not ready when Pop last checked.
	blocked bool
	count   [profile.UrgencyCount]int
	cost    [profile.UrgencyCount]int
	// enqueuedSum is, for each band, the sum over its entries of the seconds
	// from the epoch to arrival. It yields the summed wait without a scan.
	enqueuedSum [profile.UrgencyCount]float64
}

func (a *adapterEntries) add(e *entry, epoch time.Time) {
	a.entries.id = inAdapter
	a.entries.append(e)
	a.count[e.Urgency]++
	a.cost[e.Urgency] += e.Cost
	a.enqueuedSum[e.Urgency] += e.EnqueuedAt.Sub(epoch).Seconds()
}

func (a *adapterEntries) remove(e *entry, epoch time.Time) {
	a.entries.remove(e)
	a.count[e.Urgency]--
	a.cost[e.Urgency] -= e.Cost
	a.enqueuedSum[e.Urgency] -= e.EnqueuedAt.Sub(epoch).Seconds()
}

func (a *adapterEntries) demand(now, epoch time.Time) Demand {
	d := Demand{Adapter: a.ref, Waiting: a.entries.count, OldestEnqueuedAt: a.entries.head.EnqueuedAt}
	elapsed := now.Sub(epoch).Seconds()
	for band, n := range a.count {
		if n == 0 {
			continue
		}
		d.MaxUrgency = profile.Urgency(band)
		waited := float64(n)*elapsed - a.enqueuedSum[band]
		d.Pressure += float64(band+1) * max(waited, 0)
	}
	return d
}
