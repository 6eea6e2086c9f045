package quota

import (
	"time"

	"github.com/barleylift/barleylift/internal/mesh"
)

// Process identifies the process of a daemon.
type Process struct {
	VM          string
	Incarnation int64
}

const (
	// heardTime is how long a VM that is not heard of counts for the rate at which credit
	// arrives: two of its exchanges may be lost.
	heardTime = 1200 * time.Millisecond
	// maxSilence is how long a VM may be silent until what it has delegated meanwhile is
	// not credited any more.
	maxSilence = 2 * time.Second
	// forgetTime is how long a silent VM is remembered.
	forgetTime = time.Minute
	// roomStep is the resolution of the room, and refreshInterval how long it is used:
	// computing it takes a look at each VM.
	roomStep        = 10 * time.Millisecond
	refreshInterval = 20 * time.Millisecond
	roomSteps       = int(maxStore / roomStep)
)

// delegate is what a coordinator knows of one VM's delegation of a group.
type delegate struct {
	share float64
	// total is how much of the VM's Total is credited or dropped.
	total float64
	// since is how long the VM had delegated to this process when it sent the last message,
	// and heardAt when it sent it at the earliest, by this process's clock.
	since   time.Duration
	heardAt time.Duration
}

// delegates are the VMs that delegate a group to this process.
type delegates struct {
	byProcess map[Process]*delegate
	// credit is the sum of share x time credited, in seconds.
	credit float64
	// room[i] is how much may be stored of a customer whose store is i roomSteps, in seconds
	// at its rate, as of refreshedAt.
	room        []float64
	refreshedAt time.Duration
	// share is that of all VMs that are heard of, and settled that of the VMs that have
	// delegated to this process alone for longer than a window.
	share   float64
	settled float64
}

func newDelegates() *delegates {
	return &delegates{byProcess: make(map[Process]*delegate), room: make([]float64, roomSteps+1)}
}

// hear credits a delegation that was sent at sentAt at the earliest. jitter is the time that may
// be credited beyond the time between two messages.
func (d *delegates) hear(now, sentAt time.Duration, from Process, message mesh.Delegation, jitter time.Duration) {
	known := d.byProcess[from]
	if known == nil {
		known = &delegate{heardAt: sentAt}
		known.set(message)
		d.byProcess[from] = known
		return
	}
	if message.Total < known.total || sentAt < known.heardAt && message.Total == known.total {
		return // late or repeated
	}
	elapsed := max(sentAt-known.heardAt, 0)
	if elapsed > maxSilence || now-sentAt > maxSilence {
		// The VM or this process was frozen or cut off. What was delegated meanwhile may
		// be older than anything that the room provides for.
		known.set(message)
	} else {
		share := max(known.share, message.Share)
		added := min(message.Total-known.total, share*elapsed.Seconds())
		d.credit += added
		// The rest has accrued faster than time passed. A little of it is credited later,
		// as SentAt isn't exact.
		before := known.total + added
		known.set(message)
		known.total = max(before, message.Total-share*jitter.Seconds())
	}
	known.heardAt = max(known.heardAt, sentAt)
}

func (k *delegate) set(message mesh.Delegation) {
	k.share, k.total, k.since = message.Share, message.Total, time.Duration(message.Since)*time.Millisecond
}

// isStale reports whether refresh is due.
func (d *delegates) isStale(now time.Duration) bool {
	return d.refreshedAt == 0 || now-d.refreshedAt >= refreshInterval
}

// refresh computes the room and the shares. A VM makes room for what it has delegated to this
// process alone, less the time since it was heard of: in that time it may have begun to
// delegate elsewhere, and what it has delegated here is not credited yet.
func (d *delegates) refresh(now, settleTime time.Duration) {
	d.refreshedAt = now
	d.share, d.settled = 0, 0
	clear(d.room)
	for process, k := range d.byProcess {
		age := now - k.heardAt
		if age > forgetTime {
			delete(d.byProcess, process)
			continue
		}
		if age <= heardTime && k.since > 0 {
			d.share += k.share
			if k.since >= settleTime {
				d.settled += k.share
			}
		}
		// Between these steps the room grows with the customer's store.
		from, to := (age+roomStep-1)/roomStep, min(k.since, maxStore)/roomStep
		if from < to {
			d.room[from+1] += k.share
			if int(to) < roomSteps {
				d.room[to+1] -= k.share
			}
		}
	}
	slope := 0.0
	for i := 1; i <= roomSteps; i++ {
		slope += d.room[i]
		d.room[i] = d.room[i-1] + max(slope, 0)*roomStep.Seconds()
	}
	d.share, d.settled = min(d.share, 1), min(d.settled, 1)
}

// roomOf returns how much may be stored of a customer whose store is given, both in seconds at
// its rate.
func (d *delegates) roomOf(store float64) float64 {
	step := int(store / roomStep.Seconds())
	return d.room[min(max(step, 0), roomSteps)]
}
