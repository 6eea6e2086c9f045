package admission

import (
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/residency"
)

// Requests whose turn comes after their deadline are declined at once, with the time at which
// there is room. Others are held however late they are, and so are those without a customer:
// their entries may not know the answer.
func TestHopelessRequestsAreDeclined(t *testing.T) {
	const now = time.Minute
	g := NewGate()
	enqueue := func(ticket uint64, customer uint64, priority int, patience time.Duration) {
		g.Enqueue(now, Request{
			Key: Key{Entry: "vm", Ticket: ticket}, PromptTokens: 3000, Customer: customer, Weight: float64(min(customer, 1)), Priority: priority,
			PauseObjective: pauseObjective, FirstEventDue: now + 500*time.Millisecond, Deadline: now + patience,
		})
	}
	// 20 prompts of 165 ms and the steps between take 4.4 s.
	for ticket := range uint64(20) {
		enqueue(ticket, 1, 1, 10*time.Second)
	}
	enqueue(98, 1, 2, 9*time.Second)  // held for the minimum share
	enqueue(99, 1, 2, 9*time.Second)  // held for the minimum share
	enqueue(100, 1, 2, time.Second)   // behind all of them
	enqueue(101, 1, 0, time.Second)   // before all of them
	enqueue(102, 2, 1, time.Second)   // the first of another customer
	enqueue(103, 0, 2, time.Second)   // without a customer
	enqueue(104, 1, 2, 6*time.Second) // late, and in time for its deadline
	var declined []Decision
	for _, d := range g.Next(now, slots, always) {
		if d.Status == residency.TooLate {
			declined = append(declined, d)
		}
	}
	if len(declined) != 1 || declined[0].Ticket != 100 {
		t.Fatalf("declined %v, want ticket 100", declined)
	}
	if roomIn := declined[0].RoomIn; roomIn < 2*time.Second || roomIn > 5*time.Second {
		t.Errorf("room in %v, want it after the work of 4.4 s less the patience of 1 s", roomIn)
	}
}

// Declining must not cost answers: in an overload as many requests get one, and as many in
// time, as if each were held until its deadline.
func TestDecliningCostsNoAnswers(t *testing.T) {
	t.Parallel()
	for _, rho := range []float64{0.8, 1.2, 2} {
		var held, declined modelResult
		for seed := range uint64(4) {
			run := func(gate *Gate) modelResult {
				return customerEngine.summarize(customerEngine.run(gate, customerLoad(seed, perSecondFor(rho), 1, [3]float64{0.3, 0.4, 0.3}), seed), nil)
			}
			holding := NewGate()
			holding.hopelessCheckedAt = time.Hour
			held, declined = held.plus(run(holding)), declined.plus(run(NewGate()))
		}
		t.Logf("rho %.1f, held: %v", rho, held)
		t.Logf("rho %.1f, declined: %v", rho, declined)
		if float64(declined.started) < 0.97*float64(held.started) || float64(declined.timely) < 0.97*float64(held.timely) {
			t.Errorf("rho %.1f: %d answers, %d in time; if all are held %d and %d", rho, declined.started, declined.timely, held.started, held.timely)
		}
	}
}
