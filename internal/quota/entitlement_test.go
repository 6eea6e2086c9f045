package quota

import (
	"testing"
	"time"
)

func membersOf(names ...string) []Member {
	var members []Member
	for _, name := range names {
		members = append(members, Member{VM: name})
	}
	return members
}

// The shares of all VMs add up to 1 only if each VM begins late enough, ends soon enough and
// counts the others long enough.
func TestEntitlementBeginsAndEnds(t *testing.T) {
	start := time.Hour
	newVM := func(counted int) (*Entitlement, *MemberCount) {
		c := NewMemberCount("a")
		c.SetMembers(start, []Member{{VM: "a", Counted: counted}, {VM: "b"}}, true)
		e := NewEntitlement(c)
		e.RecordProof(start, start)
		c.RecordCopy(start, start)
		e.SetOwnKey(start, 5, counted, true)
		return e, c
	}
	prove := func(e *Entitlement, until time.Duration) {
		for at := start; at <= start+until; at += 500 * time.Millisecond {
			e.RecordProof(at, at)
			e.SetOwnKey(at, 5, 0, true)
		}
	}
	t.Run("process of a VM that was counted begins at once and counts as many", func(t *testing.T) {
		e, c := newVM(7)
		if !e.Entitled(start) || e.N() != 7 {
			t.Errorf("entitled %v, %d VMs", e.Entitled(start), e.N())
		}
		c.RecordCopy(start+departureDelay, start+departureDelay)
		if e.N() != 2 {
			t.Errorf("%d VMs later", e.N())
		}
	})
	t.Run("new VM waits until all others have lost their proofs", func(t *testing.T) {
		e, _ := newVM(0)
		prove(e, joinDelay-time.Second)
		if e.Entitled(start + joinDelay - time.Second) {
			t.Error("it began early")
		}
		prove(e, joinDelay)
		if !e.Entitled(start + joinDelay) {
			t.Error("it did not begin")
		}
	})
	t.Run("new VM begins once all VMs are known to count it", func(t *testing.T) {
		e, _ := newVM(0)
		prove(e, minJoinDelay)
		e.Confirm(start+minJoinDelay, 4, 3)
		if e.Entitled(start + minJoinDelay) {
			t.Error("it began at a revision before its key")
		}
		e.Confirm(start+minJoinDelay, 5, 3)
		if !e.Entitled(start+minJoinDelay) || e.N() != 3 {
			t.Errorf("entitled %v, %d VMs", e.Entitled(start+minJoinDelay), e.N())
		}
	})
	t.Run("VM that can't prove its key ends and joins anew", func(t *testing.T) {
		e, _ := newVM(2)
		if !e.Entitled(start+proofValidity) || e.Entitled(start+proofValidity+1) {
			t.Error("it ended at another time")
		}
		later := start + 20*time.Second
		e.RecordProof(later, later)
		e.SetOwnKey(later, 9, 2, true)
		if e.Entitled(later) {
			t.Error("it began again at once")
		}
	})
	t.Run("VM that has gone counts until it can't be entitled any more", func(t *testing.T) {
		e, c := newVM(2)
		c.SetMembers(start, membersOf("a"), true)
		for _, test := range []struct {
			asOf time.Duration
			want int
		}{{departureDelay - 1, 2}, {departureDelay, 1}} {
			c.RecordCopy(start+time.Hour, start+test.asOf)
			if e.N() != test.want {
				t.Errorf("%d VMs by a copy of %v later, want %d", e.N(), test.asOf, test.want)
			}
		}
	})
}

// What all VMs are known to count must not include a VM that was not heard, also one that has
// gone lately, nor those that had gone before the coordinator itself began.
func TestRevisionIsConfirmedByAll(t *testing.T) {
	now := time.Hour
	c := NewMemberCount("a")
	c.SetMembers(now, membersOf("a", "b"), false)
	c.HearRevision("a", 1, 8)
	if got := c.Confirmed(now); got != 0 {
		t.Errorf("confirmed %d while one VM was not heard", got)
	}
	c.HearRevision("b", 1, 6)
	now += confirmInterval
	if got := c.Confirmed(now); got != 6 {
		t.Errorf("confirmed %d, want 6", got)
	}
	c.HearRevision("a", 1, 9)
	c.SetMembers(now, membersOf("a"), true)
	now += confirmInterval
	if got := c.Confirmed(now); got != 6 {
		t.Errorf("confirmed %d without a VM that has gone lately", got)
	}
	c.RecordCopy(now+departureDelay, now+departureDelay)
	if got := c.Confirmed(now + departureDelay); got != 9 {
		t.Errorf("confirmed %d, want 9 after it can't be entitled any more", got)
	}
	restarted := NewMemberCount("a")
	restarted.SetMembers(now, []Member{{VM: "a", Counted: 2}}, true)
	restarted.HearRevision("a", 2, 9)
	if got := restarted.Confirmed(now); got != 0 {
		t.Errorf("a coordinator that has just begun confirmed %d", got)
	}
}

// Entitlement must go to one place at a time, and its totals must not begin again while the
// coordinator's process remembers them.
func TestEntitlementIsDelegatedOnce(t *testing.T) {
	now := time.Hour
	c := NewMemberCount("a")
	c.SetMembers(now, []Member{{VM: "a", Counted: 1}}, true)
	e := NewEntitlement(c)
	e.RecordProof(now, now+time.Minute)
	e.SetOwnKey(now, 1, 1, true)
	move := func(to int64) {
		now += time.Second
		e.SetTarget(now, 0, to)
	}
	move(11)
	move(12)
	move(0)
	move(11)
	now += time.Second
	if first, second := e.Delegation(now, 0, 11), e.Delegation(now, 0, 12); first.Total != 2 || second.Total != 1 || first.Since != 1000 || second.Since != 0 {
		t.Errorf("delegations %+v and %+v", first, second)
	}
	if l := e.local(now, 0); l.sum != 0 || l.share != 0 {
		t.Errorf("kept %+v while all is delegated", l)
	}
}
