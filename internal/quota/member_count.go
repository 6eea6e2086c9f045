package quota

import "time"

const (
	// proofValidity is how long a VM is entitled after the last moment at which the key-value
	// service is known to have held its member key.
	proofValidity = 10 * time.Second
	// departureDelay is how long a VM counts after its member key has gone. It is longer
	// than proofValidity, as the VM may learn of it late, and than maxStore.
	departureDelay = 15 * time.Second
	// joinDelay is how long after it has seen its own member key a new VM begins in any
	// case: all that don't count it have lost their proofs.
	joinDelay = proofValidity + time.Second
	// minJoinDelay is the same if a coordinator confirms that all VMs count it. After an
	// outage of the service the members' keys come back within about 2 s; a VM that starts
	// then would count too few.
	minJoinDelay = 4 * time.Second
)

// Member is a VM with a member key in the key-value service.
type Member struct {
	VM          string
	Incarnation int64
	// Counted is the number of VMs that the VM counted when it last announced that it is
	// entitled; 0 if it hasn't.
	Counted int
}

// memberState is what a MemberCount knows of one VM.
type memberState struct {
	// goneAt is when its key was first found absent; 0 while it is present.
	goneAt time.Duration
	// incarnation and revision are what the VM last reported of its copy of the service.
	incarnation int64
	revision    int64
}

// MemberCount counts the VMs that may be entitled, and knows up to which revision of the key-value
// service the copies of all of them are complete, as they report.
type MemberCount struct {
	self    string
	members map[string]*memberState
	// copyAt is the moment as of which the copy of the service is complete. What ends with
	// time ends by it: a VM whose key is absent in an old copy may have got it back since.
	copyAt time.Duration
	// firstReadAt is when this VM began to watch the members; knowsFormer is set if no VM
	// can have gone shortly before that.
	firstReadAt time.Duration
	hasRead     bool
	knowsFormer bool
	// floor is the least number of VMs until floorUntil.
	floor      int
	floorUntil time.Duration
	// expiresAt is when the next member that has gone is dropped; 0 for none.
	expiresAt time.Duration
	// confirmed is what Confirmed returned at confirmedAt.
	confirmed   int64
	confirmedAt time.Duration
}

// NewMemberCount returns a MemberCount of the VM that has not seen any members.
func NewMemberCount(self string) *MemberCount {
	return &MemberCount{self: self, members: make(map[string]*memberState)}
}

// RecordCopy records as of when the copy of the service is complete. It is called after the
// members of that copy were set. After a gap in which a VM may have come, begun and gone, this VM
// knows no more of former members than a new one.
func (c *MemberCount) RecordCopy(now, asOf time.Duration) {
	if c.hasRead && c.copyAt != 0 && asOf-c.copyAt > proofValidity {
		c.firstReadAt, c.knowsFormer = now, false
	}
	c.copyAt = max(c.copyAt, asOf)
}

// SetMembers replaces the members that have a key. inUse is set if a VM may be entitled, or have
// been, according to the copy.
func (c *MemberCount) SetMembers(now time.Duration, members []Member, inUse bool) {
	present := make(map[string]bool, len(members))
	for _, m := range members {
		present[m.VM] = true
		state := c.members[m.VM]
		if state == nil {
			state = &memberState{}
			c.members[m.VM] = state
		}
		state.goneAt = 0
	}
	for vm, state := range c.members {
		if !present[vm] && state.goneAt == 0 {
			state.goneAt = now
		}
	}
	c.expiresAt = max(c.copyAt, 1)
	if !c.hasRead {
		c.hasRead, c.firstReadAt = true, now
		// Where nobody has been entitled yet, nobody has just gone who was.
		c.knowsFormer = !inUse
	}
	c.expire()
}

// expire drops the members that have gone for long enough.
func (c *MemberCount) expire() {
	if c.expiresAt == 0 || c.copyAt < c.expiresAt {
		return
	}
	c.expiresAt = 0
	for vm, state := range c.members {
		if state.goneAt == 0 {
			continue
		}
		due := state.goneAt + departureDelay
		if c.copyAt >= due {
			delete(c.members, vm)
		} else if c.expiresAt == 0 || due < c.expiresAt {
			c.expiresAt = due
		}
	}
}

// N returns the number of VMs that share each customer's rate.
func (c *MemberCount) N() int {
	c.expire()
	if c.copyAt < c.floorUntil {
		return max(len(c.members), c.floor)
	}
	return len(c.members)
}

// setFloor makes N at least n until VMs that the own copy of the service has never shown are
// no longer entitled.
func (c *MemberCount) setFloor(now time.Duration, n int) {
	c.floor = max(c.floor, n)
	c.floorUntil = max(c.floorUntil, now+departureDelay)
}

// HearRevision records the revision up to which a VM's copy of the service is complete.
func (c *MemberCount) HearRevision(vm string, incarnation, revision int64) {
	state := c.members[vm]
	if state == nil {
		return
	}
	if state.incarnation == incarnation {
		revision = max(revision, state.revision)
	}
	state.incarnation, state.revision = incarnation, revision
}

// confirmInterval is how long Confirmed keeps its result, which takes a look at each VM.
const confirmInterval = 100 * time.Millisecond

// Confirmed returns the revision up to which the copies of all VMs that may be entitled are
// complete; 0 if that is unknown.
func (c *MemberCount) Confirmed(now time.Duration) int64 {
	if !c.hasRead || !c.knowsFormer && c.copyAt < c.firstReadAt+departureDelay {
		return 0
	}
	c.expire()
	if c.confirmedAt == 0 || now-c.confirmedAt >= confirmInterval {
		c.confirmed, c.confirmedAt = c.lowestRevision(), now
	}
	return c.confirmed
}

func (c *MemberCount) lowestRevision() int64 {
	lowest, isFirst := int64(0), true
	for _, state := range c.members {
		if isFirst || state.revision < lowest {
			lowest, isFirst = state.revision, false
		}
	}
	return lowest
}
