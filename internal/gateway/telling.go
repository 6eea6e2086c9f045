package gateway

import (
	"cmp"
	"slices"

	"github.com/barleylift/barleylift/internal/mesh"
	"github.com/barleylift/barleylift/internal/mirror"
	"golang.org/x/time/rate"
)

// Constants of what a watcher passes on.
const (
	// forwardRate and tellBurst bound the bytes a second that a watcher passes on,
	// and those at once. The weakest VMs have links of 10 Mbit/s, of which this
	// is a tenth; a full link would hold the watcher's own news back.
	forwardRate  rate.Limit = 125_000
	forwardBurst int        = 250_000
	// forwardOverhead is what a change takes in a datagram beside key and value,
	// in bytes: names of fields, revisions and lengths.
	forwardOverhead = 40
	// forwardPacketSize is the size up to which changes share a datagram, in bytes.
	forwardPacketSize = 1250
)

// forwardedChange is a change that other daemons should learn of.
type forwardedChange struct {
	mirror.Change
	urgency urgency
}

// packChanges packs changes into datagrams for a number of other daemons, the
// most urgent first, as long as the bytes for all of them are allowed. It
// answers the load of a start or of an outage's end, when each daemon would
// have to be told of each engine.
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
