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

// tableFeed applies changes of rising revisions to a table.
type tableFeed struct {
	table    *Table
	revision int64
}

func newTableFeed(self string, incarnation int64) *tableFeed {
	return &tableFeed{table: NewTable("p/", Member{Name: self, Incarnation: incarnation}, testTiming)}
}

func (f *tableFeed) put(at time.Duration, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	f.change(at, mirror.Change{Entry: infra.Entry{Key: "p/" + key, Value: text}})
}

func (f *tableFeed) change(at time.Duration, change mirror.Change) {
	f.revision++
	change.Entry.ModRevision = f.revision
	f.table.Apply(at, []mirror.Change{change}, f.revision)
}

func (f *tableFeed) deleteKey(at time.Duration, key string) {
	f.change(at, mirror.Change{Entry: infra.Entry{Key: "p/" + key}, Deleted: true})
}

func (f *tableFeed) putMember(at time.Duration, m Member) {
	f.put(at, "members/"+m.Name, m)
}

// firstClaimAt returns when the table first has a due claim, in steps of 100 ms.
func (f *tableFeed) firstClaimAt(from, until time.Duration, isOrdering func(string) bool) (time.Duration, bool) {
	for at := from; at <= until; at += 100 * time.Millisecond {
		if len(f.table.Claims(at, isOrdering)) > 0 {
			return at, true
		}
	}
	return 0, false
}

// acceptClaims applies the writes of the claims that are due at one moment.
func (f *tableFeed) acceptClaims(at time.Duration, isOrdering func(string) bool) {
	for _, e := range f.table.engines {
		e.claimPending, e.everClaimed = false, false
	}
	for _, claim := range f.table.Claims(at, isOrdering) {
		for _, op := range claim.Txn.Then {
			f.change(at, mirror.Change{Entry: infra.Entry{Key: op.Key, Value: op.Value}, Deleted: op.Kind == infra.OpDelete})
		}
	}
}

// TestRestartWithinQuietTimeRestartsIt guards against a daemon that restarts in
// the quiet time after it claimed an engine and gives orders immediately. It must
// wait the whole quiet time again: the former owner may just have given orders.
// Found by the soak, seed 28.
func TestRestartWithinQuietTimeRestartsIt(t *testing.T) {
	const claimedAt = 10 * time.Second
	f := newTableFeed("vm-a", 1)
	f.putMember(0, Member{Name: "vm-a", Incarnation: 1})
	f.putMember(0, Member{Name: "vm-b", Incarnation: 1, Draining: true})
	f.put(0, "engines/e", record{Member: "vm-b", Incarnation: 1})
	f.table.SetEngines(0, []string{"e"})
	f.acceptClaims(claimedAt, noneOrdering)

	afterRestart := newTableFeed("vm-a", 2)
	afterRestart.revision = f.revision
	const restartedAt = time.Second
	afterRestart.put(restartedAt, "engines/e", f.table.engines["e"].record)
	afterRestart.table.SetEngines(restartedAt, []string{"e"})
	afterRestart.acceptClaims(restartedAt, noneOrdering)
	if _, ok := afterRestart.table.MayOrder(restartedAt+testTiming.QuietTime-time.Millisecond, "e"); ok {
		t.Error("the restarted daemon orders within the quiet time")
	}
	quietUntil := restartedAt + testTiming.QuietTime
	if _, ok := afterRestart.table.MayOrder(quietUntil, "e"); !ok {
		t.Error("the restarted daemon does not order after the quiet time")
	}
	afterRestart.acceptClaims(quietUntil, noneOrdering)
	if predecessor := afterRestart.table.engines["e"].Predecessor; predecessor != "" {
		t.Errorf("the record still has the predecessor %q after the quiet time", predecessor)
	}
	if _, ok := afterRestart.table.MayOrder(quietUntil, "e"); !ok {
		t.Error("the daemon may not order after the change of the record")
	}
}

func TestRestartedDaemonResumesImmediately(t *testing.T) {
	f := newTableFeed("vm-a", 2)
	f.put(0, "engines/e", record{Member: "vm-a", Incarnation: 1})
	f.table.SetEngines(0, []string{"e"})
	claims := f.table.Claims(0, noneOrdering)
	if len(claims) != 1 {
		t.Fatalf("%d claims of the daemon's own engine, want 1 immediately", len(claims))
	}
	f.acceptClaims(time.Millisecond, noneOrdering)
	if token, ok := f.table.MayOrder(time.Millisecond, "e"); !ok || token != Token(f.revision) {
		t.Errorf("token %d, allowed %t; want to resume under the new revision %d", token, ok, f.revision)
	}
}

func TestSuccessorOrdersAfterQuietTime(t *testing.T) {
	const lostAt = 10 * time.Second
	tests := []struct {
		name        string
		former      Member
		keyAbsent   bool
		stillOrders bool
		wantClaim   bool
		// orderDelay is how long after seeing the claim the first order may be sent.
		orderDelay time.Duration
	}{
		{"the former owner is present", Member{Name: "vm-b", Incarnation: 1}, false, false, false, 0},
		{"its key is absent", Member{Name: "vm-b", Incarnation: 1}, true, false, true, testTiming.QuietTime + lostMemberDelay},
		{"its key is absent, but it reports that it gives orders", Member{Name: "vm-b", Incarnation: 1}, true, true, false, 0},
		{"it is draining", Member{Name: "vm-b", Incarnation: 1, Draining: true}, false, false, true, testTiming.QuietTime},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newTableFeed("vm-a", 1)
			f.putMember(0, Member{Name: "vm-a", Incarnation: 1})
			f.putMember(lostAt, test.former)
			f.put(lostAt, "engines/e", record{Member: "vm-b", Incarnation: 1})
			f.table.SetEngines(lostAt, []string{"e"})
			if test.keyAbsent {
				f.deleteKey(lostAt, "members/vm-b")
			}
			at, claimed := f.firstClaimAt(lostAt, lostAt+20*time.Second, func(string) bool { return test.stillOrders })
			if claimed != test.wantClaim {
				t.Fatalf("claimed: %t, want %t", claimed, test.wantClaim)
			}
			if !claimed {
				return
			}
			if test.keyAbsent && at < lostAt+settleDelay {
				t.Errorf("claimed %v after the key was lost, want at least %v", at-lostAt, settleDelay)
			}
			f.acceptClaims(at, func(string) bool { return test.stillOrders })
			if _, ok := f.table.MayOrder(at+test.orderDelay-time.Millisecond, "e"); ok {
				t.Errorf("may order before %v have passed", test.orderDelay)
			}
			if _, ok := f.table.MayOrder(at+test.orderDelay, "e"); !ok {
				t.Errorf("may not order after %v", test.orderDelay)
			}
		})
	}
}

// An owner registered again and lost its key once more while this daemon missed all changes. The absence that
// it knew from before counted on, so it claimed the owner's engines at once and ordered too early.
func TestAbsenceBeforeAGapDoesNotCount(t *testing.T) {
	const lostAt, gapAt = 10 * time.Second, 30 * time.Second
	f := newTableFeed("vm-a", 1)
	f.putMember(0, Member{Name: "vm-a", Incarnation: 1})
	f.putMember(lostAt, Member{Name: "vm-b", Incarnation: 1})
	f.put(lostAt, "engines/e", record{Member: "vm-b", Incarnation: 1})
	f.table.SetEngines(lostAt, []string{"e"})
	f.deleteKey(lostAt, "members/vm-b")
	f.table.NoteGap(gapAt)
	at, claimed := f.firstClaimAt(gapAt, gapAt+20*time.Second, noneOrdering)
	if !claimed || at < gapAt+settleDelay {
		t.Errorf("claimed: %t, %v after the gap, want at least %v", claimed, at-gapAt, settleDelay)
	}
}

// The record of an engine was written and deleted within a gap: its owner may have ordered just before.
func TestEngineWithoutRecordAroundAGapGetsOrdersAfterTheQuietTime(t *testing.T) {
	const gapAt = 30 * time.Second
	f := newTableFeed("vm-a", 1)
	f.putMember(0, Member{Name: "vm-a", Incarnation: 1})
	f.table.SetEngines(0, []string{"e"})
	f.table.NoteGap(gapAt)
	at, claimed := f.firstClaimAt(gapAt, gapAt+20*time.Second, noneOrdering)
	f.acceptClaims(at, noneOrdering)
	if _, ok := f.table.MayOrder(at+testTiming.QuietTime-time.Millisecond, "e"); !claimed || ok {
		t.Errorf("claimed: %t, may order within the quiet time: %t", claimed, ok)
	}
}

// TestClaimRequiresAbsenceOfFormerOwner guards against a delayed claim that takes
// effect after the former owner has registered again.
func TestClaimRequiresAbsenceOfFormerOwner(t *testing.T) {
	f := newTableFeed("vm-a", 1)
	f.putMember(0, Member{Name: "vm-b", Incarnation: 1})
	f.put(0, "engines/e", record{Member: "vm-b", Incarnation: 1})
	f.table.SetEngines(0, []string{"e"})
	f.deleteKey(time.Second, "members/vm-b")
	claims := f.table.Claims(time.Minute, noneOrdering)
	if len(claims) != 1 {
		t.Fatal("no claim")
	}
	want := []infra.Compare{infra.ModifiedAt("p/engines/e", 2), infra.Absent("p/members/vm-b")}
	for _, condition := range want {
		found := slices.ContainsFunc(claims[0].Txn.If, func(c infra.Compare) bool {
			return c.Key == condition.Key && c.Target == condition.Target && c.Revision == condition.Revision
		})
		if !found {
			t.Errorf("the claim does not have the condition %+v: %+v", condition, claims[0].Txn.If)
		}
	}
}

// TestEnginesOfDrainingDaemonsAreShared guards against all engines ending up at
// one daemon when daemons are stopped one after the other.
func TestEnginesOfDrainingDaemonsAreShared(t *testing.T) {
	const daemons, engines = 9, 9
	claimSteps := make(map[string]int)
	for d := 1; d < daemons; d++ {
		name := fmt.Sprint("vm-", d)
		f := newTableFeed(name, 1)
		for m := range daemons {
			f.putMember(0, Member{Name: fmt.Sprint("vm-", m), Incarnation: 1})
		}
		var ids []string
		for e := range engines {
			id := fmt.Sprint("engine-", e)
			ids = append(ids, id)
			f.put(0, "engines/"+id, record{Member: fmt.Sprint("vm-", e), Incarnation: 1})
		}
		f.table.SetEngines(0, ids)
		const drainedAt = time.Minute
		f.putMember(drainedAt, Member{Name: "vm-0", Incarnation: 1, Draining: true})
		if at, ok := f.firstClaimAt(drainedAt, drainedAt+10*time.Second, noneOrdering); ok {
			claimSteps[name] = int((at - drainedAt) / rankStep)
		}
	}
	immediate := 0
	for _, steps := range claimSteps {
		if steps == 0 {
			immediate++
		}
	}
	if immediate > 1 {
		t.Errorf("%d daemons claim immediately: %v", immediate, claimSteps)
	}
}

func TestOwnerRemovesRecordsOfUnregisteredEngines(t *testing.T) {
	f := newTableFeed("vm-a", 1)
	f.putMember(0, Member{Name: "vm-a", Incarnation: 1})
	f.put(0, "engines/e", record{Member: "vm-a", Incarnation: 1})
	f.table.SetEngines(0, []string{"e"})
	f.table.SetEngines(0, nil)
	claims := f.table.Claims(time.Minute, noneOrdering)
	if len(claims) != 1 || len(claims[0].Txn.Then) != 1 || claims[0].Txn.Then[0].Kind != infra.OpDelete {
		t.Errorf("got %+v, want the deletion of the record", claims)
	}
}

// TestEarlyDaemonLeavesOthersTheirShare covers a large start on uneven VMs, in
// which one daemon looks for claims before the others do. It must not claim the
// engines that they are about to claim, but must claim them if they never do.
func TestEarlyDaemonLeavesOthersTheirShare(t *testing.T) {
	const members, engines = 100, 1000
	f := newTableFeed("vm-000", 1)
	for i := range members {
		f.putMember(0, Member{Name: fmt.Sprintf("vm-%03d", i), Incarnation: 1})
	}
	var ids []string
	for i := range engines {
		ids = append(ids, fmt.Sprintf("engine-%04d", i))
	}
	f.table.SetEngines(0, ids)
	ownedAfterClaims := func(at time.Duration) int {
		f.acceptClaims(at, noneOrdering)
		return len(f.table.OwnedEngines())
	}
	const share = engines / members
	// The engines were claimable throughout startDelay, which covers some steps.
	if n, most := ownedAfterClaims(startDelay), share+int(startDelay/rankStep); n > most {
		t.Errorf("%d engines claimed in the first pass, want at most %d", n, most)
	}
	for _, after := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second} {
		if n, most := ownedAfterClaims(startDelay+after), share*(3+int(after/extraShareDelay)); n > most {
			t.Errorf("%d engines claimed %v after the start, want at most %d", n, after, most)
		}
	}
	if n := ownedAfterClaims(startDelay + engines/share*extraShareDelay); n != engines {
		t.Errorf("%d engines claimed in the end, want %d", n, engines)
	}
}

// A daemon that is cut off from the engines sends no orders and claims nothing; others
// claim its engines and leave the quiet time of a lost daemon.
func TestEnginesOfCutOffDaemonsAreClaimed(t *testing.T) {
	const cutAt = 20 * time.Second
	owner, other := newTableFeed("vm-a", 1), newTableFeed("vm-b", 2)
	for _, f := range []*tableFeed{owner, other} {
		f.putMember(0, Member{Name: "vm-a", Incarnation: 1})
		f.putMember(0, Member{Name: "vm-b", Incarnation: 2})
		f.table.SetEngines(0, []string{"lm-1"})
		f.put(time.Second, "engines/lm-1", record{Member: "vm-a", Incarnation: 1})
	}
	if _, ok := owner.table.MayOrder(cutAt, "lm-1"); !ok {
		t.Fatal("the owner may not order")
	}
	owner.table.self.CutOff = true
	for _, f := range []*tableFeed{owner, other} {
		f.putMember(cutAt, Member{Name: "vm-a", Incarnation: 1, CutOff: true})
	}
	if _, ok := owner.table.MayOrder(cutAt, "lm-1"); ok {
		t.Error("a daemon that is cut off may order")
	}
	if _, ok := owner.firstClaimAt(cutAt, cutAt+time.Minute, noneOrdering); ok {
		t.Error("a daemon that is cut off claims engines")
	}
	claimedAt, ok := other.firstClaimAt(cutAt, cutAt+10*time.Second, noneOrdering)
	if !ok {
		t.Fatal("nobody claims the engine")
	}
	other.acceptClaims(claimedAt, noneOrdering)
	quiet := testTiming.QuietTime + lostMemberDelay
	if _, ok := other.table.MayOrder(claimedAt+quiet-time.Millisecond, "lm-1"); ok {
		t.Error("the new owner orders within the quiet time")
	}
	if _, ok := other.table.MayOrder(claimedAt+quiet, "lm-1"); !ok {
		t.Error("the new owner may not order after the quiet time")
	}
}

// An engine whose registration lapses and comes back gets no order of its owner once that has
// begun to delete its record, and the next owner leaves the quiet time.
func TestQuietTimeAfterDeletedRecord(t *testing.T) {
	const lapsedAt = 20 * time.Second
	owner, other := newTableFeed("vm-a", 1), newTableFeed("vm-b", 2)
	both := func(play func(f *tableFeed)) {
		play(owner)
		play(other)
	}
	both(func(f *tableFeed) {
		f.putMember(0, Member{Name: "vm-a", Incarnation: 1})
		f.putMember(0, Member{Name: "vm-b", Incarnation: 2})
		f.table.SetEngines(0, []string{"lm-1"})
		f.put(time.Second, "engines/lm-1", record{Member: "vm-a", Incarnation: 1})
		f.table.SetEngines(lapsedAt, nil)
	})
	if claims := owner.table.Claims(lapsedAt, noneOrdering); len(claims) != 1 || claims[0].Txn.Then[0].Kind != infra.OpDelete {
		t.Fatalf("claims %v, want the deletion of the record", claims)
	}
	both(func(f *tableFeed) { f.table.SetEngines(lapsedAt+50*time.Millisecond, []string{"lm-1"}) })
	if _, ok := owner.table.MayOrder(lapsedAt+100*time.Millisecond, "lm-1"); ok {
		t.Error("the owner orders while its deletion may take effect")
	}
	const deletedAt = lapsedAt + 200*time.Millisecond
	both(func(f *tableFeed) { f.deleteKey(deletedAt, "engines/lm-1") })
	claimedAt, ok := other.firstClaimAt(deletedAt, deletedAt+10*time.Second, noneOrdering)
	if !ok {
		t.Fatal("nobody claims the engine")
	}
	other.acceptClaims(claimedAt, noneOrdering)
	if _, ok := other.table.MayOrder(claimedAt+testTiming.QuietTime-time.Millisecond, "lm-1"); ok && claimedAt < deletedAt+testTiming.QuietTime {
		t.Error("the new owner orders within the quiet time")
	}
	if _, ok := other.table.MayOrder(claimedAt+testTiming.QuietTime, "lm-1"); !ok {
		t.Error("the new owner may not order after the quiet time")
	}
}

// An owner whose deletion of a record got no answer orders again once it has claimed the
// engine anew, so that the deletion can't take effect any more.
func TestOwnerClaimsAnewAfterUnansweredDeletion(t *testing.T) {
	const lapsedAt = 20 * time.Second
	f := newTableFeed("vm-a", 1)
	f.putMember(0, Member{Name: "vm-a", Incarnation: 1})
	f.put(time.Second, "engines/lm-1", record{Member: "vm-a", Incarnation: 1})
	f.table.SetEngines(lapsedAt, nil)
	for _, claim := range f.table.Claims(lapsedAt, noneOrdering) {
		f.table.FinishClaim(claim)
	}
	f.table.SetEngines(lapsedAt+time.Second, []string{"lm-1"})
	claimedAt, ok := f.firstClaimAt(lapsedAt+time.Second, lapsedAt+10*time.Second, noneOrdering)
	if !ok {
		t.Fatal("the owner doesn't claim the engine anew")
	}
	f.acceptClaims(claimedAt, noneOrdering)
	if _, ok := f.table.MayOrder(claimedAt, "lm-1"); !ok {
		t.Error("the owner may not order after it has claimed the engine anew")
	}
}
