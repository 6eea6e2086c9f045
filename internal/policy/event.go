package policy

import (
	"container/heap"
	"time"

	"github.com/barleylift/barleylift/internal/call"
)

// eventKind is the kind of an event.
type eventKind int

const (
	tickEvent eventKind = iota
	milestoneEvent
	loadedEvent
	grantEvent
)

// event is scheduled at a virtual time.
type event struct {
	at       time.Time
	sequence int
	kind     eventKind
	engine   *engine
	adapter  call.AdapterRef
	// generation is that of the engine when a milestoneEvent was scheduled; the
	// event is stale if the engine's has changed.
	generation int
}

// schedule adds an event at time t.
func (r *replay) schedule(t time.Time, e event) {
	r.sequence++
	e.at, e.sequence = t, r.sequence
	heap.Push(&r.events, e)
}

// runUntil handles all events up to time t and sets the clock to t.
func (r *replay) runUntil(t time.Time) {
	for len(r.events) > 0 && !r.events[0].at.After(t) {
		e := heap.Pop(&r.events).(event)
		if e.kind == milestoneEvent && e.generation != e.engine.generation {
			continue
		}
		r.now = e.at
		r.handle(e)
	}
	r.now = t
}

func (r *replay) handle(e event) {
	switch e.kind {
	case tickEvent:
		r.tick(e.engine)
	case milestoneEvent:
		r.handleMilestones(e.engine)
	case loadedEvent:
		r.finishLoad(e.engine, e.adapter)
	case grantEvent:
		r.grantPermits()
	}
}

// eventHeap orders events by time, then by sequence; it implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
