package fleet

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/mirror"
)

var testTiming = Timing{LeaseTTL: DefaultLeaseTTL, QuietTime: 3 * time.Second}

func noneOrdering(string) bool { return false }

// tableFeed feeds a table with changes of rising revision.
type tableFeed struct {
	table    *Table
	revision int64
}

func newTableFeed(self string, boot int64) *tableFeed {
	return &tableFeed{table: NewTable("p/", Member{Name: self, Incarnation: boot}, testTiming)}
}

func (s *tableFeed) put(at time.Duration, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.change(at, mirror.Change{Entry: infra.Entry{Key: "p/" + key, Value: text}})
}

func (s *tableFeed) change(at time.Duration, change mirror.Change) {
	s.revision++
	change.Entry.ModRevision = s.revision
	s.table.Apply(at, []mirror.Change{change}, s.revision)
}

func (s *tableFeed) deleteKey(at time.Duration, key string) {
	s.change(at, mirror.Change{Entry: infra.Entry{Key: "p/" + key}, Deleted: true})
}

func (s *tableFeed) putMember(at time.Duration, m Member) {
	s.put(at, "members/"+m.Name, m)
}

// firstClaimAt returns when the table first claims the engine, in steps of 100 ms.
func (s *tableFeed) firstClaimAt(from, until time.Duration, ordering func(string) bool) (time.Duration, bool) {
	for at := from; at <= until; at += 100 * time.Millisecond {
		if len(s.table.Claims(at, ordering)) > 0 {
			return at, true
		}
	}
	return 0, false
}

// acceptClaims lets the claims of a moment take effect.
func (s *tableFeed) acceptClaims(at time.Duration, ordering func(string) bool) {
	for _, e := range s.table.engines {
		e.claimPending, e.everClaimed = false, false
	}
	for _, claim := range s.table.Claims(at, ordering) {
		for _, op := range claim.Txn.Then {
			s.change(at, mirror.Change{Entry: infra.Entry{Key: op.Key, Value: op.Value}, Deleted: op.Kind == infra.OpDelete})
		}
	}
}

// A daemon that is restarted in the quiet time after a take-over must not
// order at once: to the engine another holder has just given orders. Found by
// the soak, seed 28.
func TestRestartWithinQuietTimeRestartsIt(t *testing.T) {
	const taken = 10 * time.Second
	s := newTableFeed("vm-a", 1)
	s.putMember(0, Member{Name: "vm-a", Incarnation: 1})
	s.putMember(0, Member{Name: "vm-b", Incarnation: 1, Draining: true})
	s.put(0, "engines/e", record{Member: "vm-b", Incarnation: 1})
	s.table.SetEngines(0, []string{"e"})
	s.acceptClaims(taken, noneOrdering)

	again := newTableFeed("vm-a", 2)
	again.revision = s.revision
	const restarted = time.Second
	again.put(restarted, "engines/e", s.table.engines["e"].record)
	again.table.SetEngines(restarted, []string{"e"})
	again.acceptClaims(restarted, noneOrdering)
	if _, ok := again.table.MayOrder(restarted+testTiming.QuietTime-time.Millisecond, "e"); ok {
		t.Error("the restarted daemon orders within the quiet time")
	}
	over := restarted + testTiming.QuietTime
	if _, ok := again.table.MayOrder(over, "e"); !ok {
		t.Error("the restarted daemon does not order after the quiet time")
	}
	again.acceptClaims(over, noneOrdering)
	if after := again.table.engines["e"].Predecessor; after != "" {
		t.Errorf("the record still tells of %q after the quiet time", after)
	}
	if _, ok := again.table.MayOrder(over, "e"); !ok {
		t.Error("the change of the record took the right to order away")
	}
}

func TestRestartedDaemonResumesImmediately(t *testing.T) {
	s := newTableFeed("vm-a", 2)
	s.put(0, "engines/e", record{Member: "vm-a", Incarnation: 1})
	s.table.SetEngines(0, []string{"e"})
	claims := s.table.Claims(0, noneOrdering)
	if len(claims) != 1 {
		t.Fatalf("%d claims of the daemon's own engine, want 1 at once", len(claims))
	}
	s.acceptClaims(time.Millisecond, noneOrdering)
	if token, ok := s.table.MayOrder(time.Millisecond, "e"); !ok || token != Token(s.revision) {
		t.Errorf("token %d, allowed %t; want to go on under the new revision %d", token, ok, s.revision)
	}
}

func TestSuccessorOrdersAfterQuietTime(t *testing.T) {
	const lost = 10 * time.Second
	tests := []struct {
		name    string
		former  Member
		gone    bool
		orders  bool
		claimed bool
		// quiet is how long after the sight of the claim the first order may come.
		quiet time.Duration
	}{
		{"the former daemon is present", Member{Name: "vm-b", Incarnation: 1}, false, false, false, 0},
		{"its key is absent", Member{Name: "vm-b", Incarnation: 1}, true, false, true, testTiming.QuietTime + lostMemberDelay},
		{"its key is absent, but it says that it gives orders", Member{Name: "vm-b", Incarnation: 1}, true, true, false, 0},
		{"it is draining", Member{Name: "vm-b", Incarnation: 1, Draining: true}, false, false, true, testTiming.QuietTime},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTableFeed("vm-a", 1)
			s.putMember(0, Member{Name: "vm-a", Incarnation: 1})
			s.putMember(lost, test.former)
			s.put(lost, "engines/e", record{Member: "vm-b", Incarnation: 1})
			s.table.SetEngines(lost, []string{"e"})
			if test.gone {
				s.deleteKey(lost, "members/vm-b")
			}
			at, claimed := s.firstClaimAt(lost, lost+20*time.Second, func(string) bool { return test.orders })
			if claimed != test.claimed {
				t.Fatalf("claimed: %t, want %t", claimed, test.claimed)
			}
			if !claimed {
				return
			}
			if test.gone && at < lost+settleDelay {
				t.Errorf("claimed %v after the key was lost, want at least %v", at-lost, settleDelay)
			}
			s.acceptClaims(at, func(string) bool { return test.orders })
			if _, ok := s.table.MayOrder(at+test.quiet-time.Millisecond, "e"); ok {
				t.Errorf("may order before %v have passed", test.quiet)
			}
			if _, ok := s.table.MayOrder(at+test.quiet, "e"); !ok {
				t.Errorf("may not order after %v", test.quiet)
			}
		})
	}
}

// A late claim must do nothing once the former daemon is back.
func TestClaimRequiresAbsenceOfFormerOwner(t *testing.T) {
	s := newTableFeed("vm-a", 1)
	s.putMember(0, Member{Name: "vm-b", Incarnation: 1})
	s.put(0, "engines/e", record{Member: "vm-b", Incarnation: 1})
	s.table.SetEngines(0, []string{"e"})
	s.deleteKey(time.Second, "members/vm-b")
	claims := s.table.Claims(time.Minute, noneOrdering)
	if len(claims) != 1 {
		t.Fatal("no claim")
	}
	want := []infra.Compare{infra.ModifiedAt("p/engines/e", 2), infra.Absent("p/members/vm-b")}
	for _, condition := range want {
		found := slices.ContainsFunc(claims[0].Txn.If, func(c infra.Compare) bool {
			return c.Key == condition.Key && c.Target == condition.Target && c.Revision == condition.Revision
		})
		if !found {
			t.Errorf("the claim lacks the condition %+v: %+v", condition, claims[0].Txn.If)
		}
	}
}

// Daemons that are stopped one after the other must not leave all engines to
// one of them.
func TestEnginesOfDrainingDaemonsAreShared(t *testing.T) {
	const daemons, engines = 9, 9
	claimants := make(map[string]int)
	for d := 1; d < daemons; d++ {
		name := fmt.Sprint("vm-", d)
		s := newTableFeed(name, 1)
		for m := range daemons {
			s.putMember(0, Member{Name: fmt.Sprint("vm-", m), Incarnation: 1})
		}
		var ids []string
		for e := range engines {
			id := fmt.Sprint("engine-", e)
			ids = append(ids, id)
			s.put(0, "engines/"+id, record{Member: fmt.Sprint("vm-", e), Incarnation: 1})
		}
		s.table.SetEngines(0, ids)
		const drained = time.Minute
		s.putMember(drained, Member{Name: "vm-0", Incarnation: 1, Draining: true})
		if at, ok := s.firstClaimAt(drained, drained+10*time.Second, noneOrdering); ok {
			claimants[name] = int((at - drained) / rankStep)
		}
	}
	first := 0
	for _, rank := range claimants {
		if rank == 0 {
			first++
		}
	}
	if first > 1 {
		t.Errorf("%d daemons claim at once: %v", first, claimants)
	}
}

func TestOwnerRemovesRecordsOfUnregisteredEngines(t *testing.T) {
	s := newTableFeed("vm-a", 1)
	s.putMember(0, Member{Name: "vm-a", Incarnation: 1})
	s.put(0, "engines/e", record{Member: "vm-a", Incarnation: 1})
	s.table.SetEngines(0, []string{"e"})
	s.table.SetEngines(0, nil)
	claims := s.table.Claims(time.Minute, noneOrdering)
	if len(claims) != 1 || len(claims[0].Txn.Then) != 1 || claims[0].Txn.Then[0].Kind != infra.OpDelete {
		t.Errorf("got %+v, want the deletion of the record", claims)
	}
}

// The load of a large start on uneven VMs: one daemon looks for claims before the
// others do. It must not take what they are about to claim, and yet no engine
// may stay without an owner if they never do.
func TestEarlyDaemonLeavesOthersTheirShare(t *testing.T) {
	const members, engines = 100, 1000
	s := newTableFeed("vm-000", 1)
	for i := range members {
		s.putMember(0, Member{Name: fmt.Sprintf("vm-%03d", i), Incarnation: 1})
	}
	var ids []string
	for i := range engines {
		ids = append(ids, fmt.Sprintf("engine-%04d", i))
	}
	s.table.SetEngines(0, ids)
	owned := func(at time.Duration) int {
		s.acceptClaims(at, noneOrdering)
		return len(s.table.OwnedEngines())
	}
	const part = engines / members
	// The engines were known all through the delay, so that some steps are over.
	if n, most := owned(startDelay), part+int(startDelay/rankStep); n > most {
		t.Errorf("%d engines claimed at the first look, want at most %d", n, most)
	}
	for _, after := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second} {
		if n, most := owned(startDelay+after), part*(3+int(after/extraShareDelay)); n > most {
			t.Errorf("%d engines claimed %v after the start, want at most %d", n, after, most)
		}
	}
	if n := owned(startDelay + engines/part*extraShareDelay); n != engines {
		t.Errorf("%d engines claimed in the end, want %d", n, engines)
	}
}
