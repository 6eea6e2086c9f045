package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/residency"
	"github.com/barleylift/barleylift/internal/topology"
)

// At an engine with a rate limit, urgent requests have their turn first, and those
// whose turn comes too late are declined at once.
func TestLateTurnsAreDeclined(t *testing.T) {
	const now, perTurn = time.Minute, time.Second
	g := NewGate()
	enqueue := func(ticket uint64, priority int, patience time.Duration) {
		g.Enqueue(now, Request{
			Key: Key{Entry: "vm", Ticket: ticket}, Adapter: topology.Adapter{Name: "climb"}, Priority: priority, FirstEventDue: now + time.Minute, Deadline: now + time.Hour, TurnBy: now + patience,
		})
	}
	enqueue(1, 3, 1500*time.Millisecond)
	enqueue(2, 0, 1500*time.Millisecond)
	enqueue(3, 3, 3500*time.Millisecond)
	enqueue(4, 0, 200*time.Millisecond)
	turnIn := func(ahead int) time.Duration { return perTurn * time.Duration(ahead+1) }
	var declined []uint64
	for _, d := range g.DeclineLate(now, turnIn) {
		if d.Status != residency.NoRoom {
			t.Errorf("request %d: status %d", d.Ticket, d.Status)
		}
		declined = append(declined, d.Ticket)
	}
	slices.Sort(declined)
	if want := []uint64{1, 4}; !slices.Equal(declined, want) {
		t.Errorf("declined %v, want %v: one is behind an urgent request, one can't wait for the first turn", declined, want)
	}
	if decisions := g.DeclineLate(now, turnIn); len(decisions) > 0 || !g.HasWaiting() {
		t.Errorf("%d more declined", len(decisions))
	}
}
