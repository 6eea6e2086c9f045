// Package places hands out the places of upstreams that must not get more requests than they
// run at once, as they fall over when they have to refuse too many. It does no I/O.
//
// It answers this load: many VMs send few requests each to upstreams with fewer slots than
// there are VMs, so that no VM can have a fixed share. One VM hands out the places of an
// upstream, first come, first served. Every other VM claims them: each claim lists all of the
// sender's requests that have a place or wait for one, so that lost, late and repeated datagrams
// and a change of the granter leave no place taken or given twice for long.
//
//	Client   the requests of this VM
//	Granter  the places of the upstreams that this VM hands out
//
// Times are readings of clock.Boot.
package places

import "time"

// Process identifies a process of an upstream.
type Process struct {
	ID          string
	Incarnation int64
}

// Claim is what a VM tells the granter of an upstream's places. It is an entry of the
// dissemination.
type Claim struct {
	Upstream    string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint,omitempty"`
	// Sequence rises with each claim of the sending process.
	Sequence uint64 `cbor:"3,keyasint"`
	// Held and Wanted list the tickets of the requests that have a place and that wait for
	// one.
	Held   []uint64 `cbor:"4,keyasint,omitempty"`
	Wanted []uint64 `cbor:"5,keyasint,omitempty"`
}

// Grant answers a Claim, or follows it when a place is free. It is an entry of the dissemination.
type Grant struct {
	Upstream    string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint,omitempty"`
	// Tickets lists the requests that have got a place.
	Tickets []uint64 `cbor:"3,keyasint,omitempty"`
}

const (
	// ClaimInterval is the time after which a claim is repeated.
	ClaimInterval = 50 * time.Millisecond
	// settleTime is how long a granter only listens, after its first claim and after a change of
	// the members: the requests that another granter has given places to appear in their VMs'
	// next claims.
	settleTime = 200 * time.Millisecond
	// claimTTL is how long a VM's claim holds: one that has ended claims nothing more, and its
	// connections to the upstream have ended with it.
	claimTTL = time.Second
	// processTTL is how long a granter remembers a process without claims.
	processTTL = 10 * time.Second
	// maxTickets bounds the tickets in each list of a claim.
	maxTickets = 256
)
