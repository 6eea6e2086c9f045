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
	// tellRate and tellBurst bound the bytes a second that a watcher passes on,
	// and those at once. The weakest VMs have links of 10 Mbit/s, of which this
	// is a tenth; a full link would hold the watcher's own news back.
	tellRate  rate.Limit = 125_000
	tellBurst int        = 250_000
	// tellOverhead is what a change takes in a datagram beside key and value,
	// in bytes: names of fields, revisions and lengths.
	tellOverhead = 40
	// tellPacket is the size up to which changes share a datagram, in bytes.
	tellPacket = 1250
)

// toldChange is a change that other daemons should learn of.
type toldChange struct {
	mirror.Change
	urgency urgency
}

// planTelling packs changes into datagrams for a number of other daemons, the
// most urgent first, as long as the bytes for all of them are allowed. It
// answers the load of a start or of an outage's end, when each daemon would
// have to be told of each engine.
func planTelling(changes []toldChange, others int, allow func(bytes int) bool) (packets [][]mesh.Change, dropped int) {
	ordered := slices.Clone(changes)
	slices.SortStableFunc(ordered, func(a, b toldChange) int { return cmp.Compare(b.urgency, a.urgency) })
	var packet []mesh.Change
	size := 0
	for i, change := range ordered {
		bytes := len(change.Entry.Key) + len(change.Entry.Value) + tellOverhead
		if !allow(bytes * others) {
			dropped = len(ordered) - i
			break
		}
		if size+bytes > tellPacket && len(packet) > 0 {
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
