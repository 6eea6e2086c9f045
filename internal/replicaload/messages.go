package replicaload

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

const (
	// MaxAge is how long a report or a sum is used: four exchanges.
	MaxAge = 2 * time.Second
	// maxListed bounds the replicas in an entry, and maxListBytes its length. With 16 entries
	// of about 45 bytes in two replies twice a second, a daemon receives at most 3 KB/s.
	maxListed    = 16
	maxListBytes = 1000
	// useBytes is the length of a Use in CBOR besides its identifier, rounded up.
	useBytes = 26
	// maxRunning is the greatest number of running requests that is believed of one VM or,
	// as a sum, of all; a greater one is malformed.
	maxRunning = 1 << 20
)

// Use is the number of requests that run at one process of a replica: those of one VM in a
// ReplicaUse, and those of all VMs in a ReplicaLoad.
type Use struct {
	Upstream string `cbor:"1,keyasint"`
	// Incarnation is that of the replica's process.
	Incarnation int64 `cbor:"2,keyasint"`
	Running     int   `cbor:"3,keyasint"`
}

// Report is the body of an entry of kind ReplicaUse: all replicas at which the sender has
// requests running, or the 16 with the most.
type Report struct {
	Uses []Use `cbor:"1,keyasint,omitempty"`
	// SentAt is when the report was made, in ns by the sender's clock.Boot.
	SentAt int64 `cbor:"2,keyasint"`
}

// Loads is the body of an entry of kind ReplicaLoad: the sums over all VMs, without those
// that are 0; or the 16 greatest.
type Loads struct {
	Sums []Use `cbor:"1,keyasint,omitempty"`
	// EchoedSentAt is SentAt of the receiver's report that the sums contain.
	EchoedSentAt int64 `cbor:"2,keyasint"`
}

var errRange = errors.New("replicaload: list too long, no upstream, or number of requests or time out of range")

func validate(uses []Use, sentAt int64) error {
	if len(uses) > maxListed || sentAt < 0 {
		return errRange
	}
	for _, u := range uses {
		if u.Upstream == "" || u.Running < 0 || u.Running > maxRunning {
			return errRange
		}
	}
	return nil
}

// fit returns the uses with the most running requests, as many as an entry holds.
func fit(uses []Use) []Use {
	uses = slices.DeleteFunc(uses, func(u Use) bool { return u.Running <= 0 })
	slices.SortFunc(uses, func(a, b Use) int {
		return cmp.Or(cmp.Compare(b.Running, a.Running), cmp.Compare(a.Upstream, b.Upstream))
	})
	size := 0
	for i, u := range uses {
		size += useBytes + len(u.Upstream)
		if i == maxListed || size > maxListBytes {
			return uses[:i]
		}
	}
	return uses
}
