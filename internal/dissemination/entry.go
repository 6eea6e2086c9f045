package dissemination

import (
	"fmt"
	"time"

	"github.com/barleylift/barleylift/internal/mesh"
	"github.com/fxamacker/cbor/v2"
)

// The kinds of entries. They are part of the format of datagrams and never reused.
const (
	// KindConfigState is the freshness of the sender's configuration.
	KindConfigState uint32 = 1
	// KindDelegation is a VM's entitlement that a coordinator may grant to others.
	KindDelegation uint32 = 2
	// KindQuotaAsk asks a coordinator for tokens, and KindQuotaGrant answers it.
	KindQuotaAsk   uint32 = 3
	KindQuotaGrant uint32 = 4
	// KindReplicaUse is what a VM has running at a replica, and KindReplicaLoad the sum
	// over all VMs.
	KindReplicaUse  uint32 = 5
	KindReplicaLoad uint32 = 6
	// KindQuotaState is a coordinator's reply to delegations.
	KindQuotaState uint32 = 7
	// KindPlaceClaim claims places at a fragile upstream, and KindPlaceGrant answers it.
	KindPlaceClaim uint32 = 8
	KindPlaceGrant uint32 = 9
	// KindFragility says how many refusals the upstreams of a service bear.
	KindFragility uint32 = 10
)

// Sender is the process that sent an entry.
type Sender struct {
	VM          string
	Incarnation int64
	// AskedAt is when this process asked for the reply that contains the entry, by
	// clock.Boot. It is 0 if the entry is not in a reply to an exchange of this process.
	AskedAt time.Duration
}

// NewEntry encodes a message of a kind.
func NewEntry(kind uint32, message any) mesh.Entry {
	body, err := cbor.Marshal(message)
	if err != nil {
		// Messages are structs of numbers, texts and lists, which can always be encoded.
		panic(fmt.Sprintf("dissemination: entry of kind %d: %v", kind, err))
	}
	return mesh.Entry{Kind: kind, Body: body}
}

// Decode decodes the body of an entry.
func Decode[T any](body []byte) (T, error) {
	var message T
	err := cbor.Unmarshal(body, &message)
	return message, err
}

// Sizes in the encoding of entries, in bytes, rounded up.
const (
	// entryOverhead is that of an entry besides its body: the map, two keys, the kind and
	// the length of the body.
	entryOverhead = 12
	// packetOverhead is that of a packet besides its entries and the sender's VM: the
	// incarnation, the fields of an exchange, keys and lengths.
	packetOverhead = 60
)

// pack divides entries, in their order, into lists that fit into one datagram of limit bytes
// each. tooLarge is the number of entries that fit into none, which are left out.
func pack(entries []mesh.Entry, limit int) (lists [][]mesh.Entry, tooLarge int) {
	var list []mesh.Entry
	size := 0
	for _, entry := range entries {
		n := entryOverhead + len(entry.Body)
		if n > limit {
			tooLarge++
			continue
		}
		if size+n > limit {
			lists = append(lists, list)
			list, size = nil, 0
		}
		list = append(list, entry)
		size += n
	}
	if len(list) > 0 {
		lists = append(lists, list)
	}
	return lists, tooLarge
}
