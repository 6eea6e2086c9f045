package gateway

import (
	"cmp"
	"slices"

	"github.com/barleylift/barleylift/internal/mesh"
	"github.com/barleylift/barleylift/internal/mirror"
	"golang.org/x/time/rate"
)

// Limits of what a watcher forwards.
const (
	// forwardRate and forwardBurst bound the bytes that a watcher forwards a
	// second, and at once. The weakest VMs have links of 10 Mbit/s, of which the
	// rate is a tenth; a full link would delay the changes that the watcher
	// itself receives.
	forwardRate  rate.Limit = 125_000
	forwardBurst int        = 250_000
	// forwardOverhead is the size of a change in a datagram besides key and value,
	// in bytes: field keys, revisions and lengths.
	forwardOverhead = 40
	// forwardPacketSize is the size up to which changes share a datagram, in bytes.
	forwardPacketSize = 1250
)

// forwardedChange is a change to forward to the other daemons.
type forwardedChange struct {
	mirror.Change
	urgency urgency
}

// packChanges packs changes into datagrams for a number of other daemons, the
// most urgent first, until allow refuses the bytes that the next change takes
// for all of them. The limit matters when a fleet starts or an outage ends, and
// each daemon would have to receive the changes of every engine.
func packChanges(changes []forwardedChange, others int, allow func(bytes int) bool) (packets [][]mesh.Change, dropped int) {
	ordered := slices.Clone(changes)
	slices.SortStableFunc(ordered, func(a, b forwardedChange) int { return cmp.Compare(b.urgency, a.urgency) })
	var packet []mesh.Change
	size := 0
	for i, change := range ordered {
		bytes := len(change.Entry.Key) + len(change.Entry.Value) + forwardOverhead
		if !allow(bytes * others) {
			dropped = len(ordered) - i
			break
		}
		if size+bytes > forwardPacketSize && len(packet) > 0 {
			packets = append(packets, packet)
			packet, size = nil, 0
		}
		packet = append(packet, changeMessage(change.Change))
		size += bytes
	}
	if len(packet) > 0 {
		packets = append(packets, packet)
	}
	return packets, dropped
}

func changeMessage(change mirror.Change) mesh.Change {
	return mesh.Change{
		Key:            change.Entry.Key,
		Value:          change.Entry.Value,
		CreateRevision: change.Entry.CreateRevision,
		ModRevision:    change.Entry.ModRevision,
		Lease:          int64(change.Entry.Lease),
		Deleted:        change.Deleted,
	}
}
