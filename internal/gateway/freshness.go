package gateway

import (
	"errors"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/dissemination"
	"github.com/barleylift/barleylift/internal/fleet"
	"github.com/barleylift/barleylift/internal/freshness"
	"github.com/barleylift/barleylift/internal/mesh"
)

// ownProofShare is how long the key-value service holds a request while nothing changes, as a
// share of the bound on revocations, on VMs that need proofs: a pending request proves
// nothing.
const ownProofShare = 0.2

// maxStateAge is the longest age in an answer, in milliseconds; a greater one is malformed.
const maxStateAge = int64(24 * time.Hour / time.Millisecond)

var errConfigState = errors.New("version or age out of range")

// keysNeedProof reports whether API keys are accepted only with a proof that the configuration
// is the newest.
func (g *Gateway) keysNeedProof() bool {
	return g.settings.Load().RevocationBound > 0 && g.requiresKeys()
}

// KeysUsable implements relay.Freshness.
func (g *Gateway) KeysUsable() bool {
	if !g.keysNeedProof() {
		return true
	}
	g.recordOwnRead()
	now := clock.Boot()
	usable := g.proof.Fresh(now)
	if g.keysWereUsable.Swap(usable) != usable {
		g.logKeysUsable(usable, g.proof.Summary(now))
	}
	return usable
}

func (g *Gateway) logKeysUsable(usable bool, proof freshness.Summary) {
	attributes := []any{"version", proof.Version, "newest_version", proof.Newest, "proven", proof.HasProof, "age_ms", proof.Age.Milliseconds(), "source", proof.Source}
	if usable {
		g.log.Info("API keys are accepted, the configuration is proven to be the newest", attributes...)
	} else {
		g.log.Warn("API keys are not accepted, the configuration is not proven to be the newest", attributes...)
	}
}

// recordOwnRead takes over what this VM has read itself. The copy's changes are in force
// before AsOf tells of them.
func (g *Gateway) recordOwnRead() {
	g.proof.RecordRead(g.mirror.AsOf())
}

// configState produces the answer to another VM.
func (g *Gateway) configState(dissemination.Sender) []mesh.Entry {
	g.recordOwnRead()
	state, ok := g.proof.Answer(clock.Boot())
	if !ok {
		return nil
	}
	return []mesh.Entry{dissemination.NewEntry(dissemination.KindConfigState, state)}
}

// receiveConfigState handles another VM's answer.
func (g *Gateway) receiveConfigState(from dissemination.Sender, body []byte) error {
	state, err := dissemination.Decode[freshness.State](body)
	if err != nil {
		return err
	}
	if state.Version < 0 || state.Age < 0 || state.Age > maxStateAge {
		return errConfigState
	}
	if g.proof.RecordAnswer(from.AskedAt, state.Version, time.Duration(state.Age)*time.Millisecond, from.VM) {
		g.completeness.revoke()
		g.setWatchPause()
	}
	return nil
}

// reportProof updates the metric of the proof and logs a change that no request has shown.
func (g *Gateway) reportProof() {
	g.KeysUsable()
	age, ok := g.proof.Age(clock.Boot())
	g.options.Meters.ConfigProofAge(age, ok)
}

func (g *Gateway) proofAgeMS() *int64 {
	age, ok := g.proof.Age(clock.Boot())
	if !ok {
		return nil
	}
	ms := age.Milliseconds()
	return &ms
}

// proofNeedsRead reports whether this VM should read the key-value service soon for a proof.
func (g *Gateway) proofNeedsRead() bool {
	if !g.keysNeedProof() {
		return false
	}
	g.recordOwnRead()
	return g.proof.NeedsRead(clock.Boot())
}

// ownProofHold returns how long the service holds this VM's requests, if it needs proofs.
func (g *Gateway) ownProofHold() time.Duration {
	return min(maxWatchHold, time.Duration(ownProofShare*float64(g.settings.Load().RevocationBound)))
}

// isListed reports whether the directory may name this VM as far as its proof is concerned.
func (g *Gateway) isListed() bool {
	if !g.keysNeedProof() {
		return true
	}
	g.recordOwnRead()
	return g.proof.Listed(clock.Boot())
}

// notFreshEntries returns the members that callers should not use as the proofs of their
// configurations are old; none if that applies to half of the members.
func (g *Gateway) notFreshEntries(members []fleet.Member) map[string]bool {
	self := g.settings.Load().VM
	notFresh := make(map[string]bool)
	for _, m := range members {
		p, _ := g.peers.get(m.Name)
		if m.Name == self && !g.isListed() || m.Name != self && p.notFresh {
			notFresh[m.Name] = true
		}
	}
	if 2*len(notFresh) >= len(members) {
		return nil
	}
	return notFresh
}

// withProof returns the members that may accept API keys as far as is known; all of them if
// there is none and this VM may.
func (g *Gateway) withProof(members []fleet.Member) []fleet.Member {
	var fresh []fleet.Member
	for _, m := range members {
		if p, _ := g.peers.get(m.Name); !p.notFresh {
			fresh = append(fresh, m)
		}
	}
	if len(fresh) == 0 && g.KeysUsable() {
		return members
	}
	return fresh
}
