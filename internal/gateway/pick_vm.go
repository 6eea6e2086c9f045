package gateway

import (
	"math/rand/v2"
	"slices"

	"github.com/barleylift/barleylift/internal/fleet"
)

// ownZoneShare is the share of the requests that are passed on within the zone if it has a
// VM that reaches upstreams: bytes between zones cost more, but the VMs of a zone that has
// lost most of its links must not all lean on the one that is left.
const ownZoneShare = 0.5

// pickVM picks the VM to which a request is passed on, at random among those that reach
// upstreams.
func pickVM(reaching []fleet.Member, zone string, except []string) (fleet.Member, bool) {
	usable := slices.DeleteFunc(slices.Clone(reaching), func(m fleet.Member) bool { return slices.Contains(except, m.Name) })
	if len(usable) == 0 {
		return fleet.Member{}, false
	}
	near := slices.DeleteFunc(slices.Clone(usable), func(m fleet.Member) bool { return m.Zone != zone })
	if len(near) > 0 && rand.Float64() < ownZoneShare {
		usable = near
	}
	return usable[rand.IntN(len(usable))], true
}
