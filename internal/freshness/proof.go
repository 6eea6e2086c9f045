package freshness

import (
	"sync"
	"time"
)

// MaxAgeShare is the part of the bound on revocations for which a proof holds. With the usual
// 5 s, the rest leaves 1.5 s, of which a watch may receive nothing for a second.
const MaxAgeShare = 0.7

// listedShare is the part of the allowed age up to which a VM is listed to callers: these keep
// the directory's answer for up to 2 s.
const listedShare = 0.5

// readShare is the age, as a share of the bound, from which on a VM reads the key-value
// service itself more often. Exchanges each 500 ms with watchers that read each 450 ms give an
// age of about 1 s of 5 s.
const readShare = 0.25

// State is the message of dissemination.KindConfigState. It states that version Version was
// the newest one Age milliseconds before the answer was sent.
type State struct {
	Version int64 `cbor:"1,keyasint"`
	Age     int64 `cbor:"2,keyasint,omitempty"`
}

// SourceStore is the source of proofs by the VM's own reads. Other sources are the names of
// VMs.
const SourceStore = "key-value service"

// Proof is a VM's proof that its configuration is the newest. It is safe for concurrent use.
// Times are readings of clock.Boot.
type Proof struct {
	mu sync.Mutex // guards the fields below
	// bound is the time after which a removed key must not be accepted.
	bound time.Duration
	// provenAt is T, 0 if there is none, and source is where it comes from.
	provenAt time.Duration
	source   string
	// firstProvenAt is the first T of this process, 0 if there was none.
	firstProvenAt time.Duration
	// version is that of the configuration in force, and newest the newest one heard of.
	version, newest int64
}

// SetBound sets the time after which a key must not be accepted any more.
func (p *Proof) SetBound(bound time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bound = bound
}

// SetVersion records that a version is in force. It is called after requests use it. What was
// proven for an older version holds for it too.
func (p *Proof) SetVersion(version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version = max(p.version, version)
}

// RecordRead records that the configuration in force reflects all that the key-value service
// had acknowledged at asOf, when the read was requested; 0 if unknown.
func (p *Proof) RecordRead(asOf time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prove(asOf, SourceStore)
}

// RecordVersion records that a version exists, and reports whether it is newer than the one
// in force. Until that version is in force, nothing new is proven: what was proven before
// holds for its time, so that a series of configurations stops no VM. In the first bound of a
// process it doesn't hold either, as its first read may be that of an older copy of the
// service, which other VMs know to be outdated.
func (p *Proof) RecordVersion(version int64) (isNewer bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.newest = max(p.newest, version)
	return version > p.version
}

// RecordAnswer records the answer of another VM to a question that was asked at askedAt: the
// version was the newest one some time ago. It reports whether the version is newer than the
// one in force. An answer to no question (askedAt is 0) or with a negative age proves nothing.
func (p *Proof) RecordAnswer(askedAt time.Duration, version int64, age time.Duration, from string) (isNewer bool) {
	if p.RecordVersion(version) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if askedAt > 0 && age >= 0 && version == p.version {
		p.prove(askedAt-age, from)
	}
	return false
}

// prove keeps the later of two proofs. The caller holds mu.
func (p *Proof) prove(at time.Duration, source string) {
	if at <= p.provenAt || p.newest > p.version {
		return
	}
	p.provenAt, p.source = at, source
	if p.firstProvenAt == 0 {
		p.firstProvenAt = at
	}
}

// Fresh reports whether the configuration in force is proven to have been the newest not
// longer than MaxAgeShare of the bound before now.
func (p *Proof) Fresh(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holds(now)
}

// Listed reports whether the directory should still name this VM: callers keep its answers for a while.
// A newer version that is known does not matter: all VMs have it soon after the first one.
func (p *Proof) Listed(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isYoung(now, listedShare*MaxAgeShare)
}

// NeedsRead reports whether this VM should read the key-value service itself soon: a newer
// version is known, or the answers of other VMs stay out.
func (p *Proof) NeedsRead(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newest > p.version || !p.isYoung(now, readShare)
}

// NewerKnown reports whether a version is known that is newer than the one in force.
func (p *Proof) NewerKnown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newest > p.version
}

// holds reports whether the configuration in force is proven to be the newest. The caller
// holds mu.
func (p *Proof) holds(now time.Duration) bool {
	isSettled := p.provenAt-p.firstProvenAt >= p.bound
	return (p.newest <= p.version || isSettled) && p.isYoung(now, MaxAgeShare)
}

// isYoung reports whether the proof is not older than a share of the bound. The caller holds
// mu.
func (p *Proof) isYoung(now time.Duration, share float64) bool {
	age := now - p.provenAt
	return p.provenAt > 0 && age >= 0 && age <= time.Duration(share*float64(p.bound))
}

// Age returns the age of the proof; false if there is none.
func (p *Proof) Age(now time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now - p.provenAt, p.provenAt > 0
}

// Answer returns the answer to another VM at now, with the age rounded up; false if this VM
// has no proof.
func (p *Proof) Answer(now time.Duration) (State, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.holds(now) {
		return State{}, false
	}
	age := now - p.provenAt
	return State{Version: p.version, Age: int64((age + time.Millisecond - 1) / time.Millisecond)}, true
}

// Summary is a proof as it is logged.
type Summary struct {
	// Version is the one in force, and Newest the newest one heard of.
	Version, Newest int64
	Age             time.Duration
	// HasProof is false if there has never been a proof, and Source is where the last one
	// came from.
	HasProof bool
	Source   string
}

// Summary returns the proof for the log and the status page.
func (p *Proof) Summary(now time.Duration) Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Summary{Version: p.version, Newest: max(p.newest, p.version), Age: now - p.provenAt, HasProof: p.provenAt > 0, Source: p.source}
}
