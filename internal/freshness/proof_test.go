package freshness

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	bound   = 5 * time.Second
	allowed = 3500 * time.Millisecond
	start   = time.Hour
)

func newProof(version int64) *Proof {
	p := &Proof{}
	p.SetBound(bound)
	p.SetVersion(version)
	return p
}

// Each line is a failure after which a VM must not accept API keys, or after which it must.
func TestFresh(t *testing.T) {
	tests := []struct {
		name   string
		events func(p *Proof)
		at     time.Duration
		want   bool
	}{
		{"restarted, nothing is proven", func(*Proof) {}, start, false},
		{"no time is known", func(p *Proof) { p.RecordRead(0) }, time.Second, false},
		{"own read", func(p *Proof) { p.RecordRead(start) }, start + allowed, true},
		{"partitioned or frozen since the own read", func(p *Proof) { p.RecordRead(start) }, start + allowed + 1, false},
		{"reads arrive out of order", func(p *Proof) { p.RecordRead(start + time.Second); p.RecordRead(start) }, start + time.Second + allowed, true},
		{"refused by the service, another VM answers", func(p *Proof) {
			p.RecordRead(start)
			p.RecordAnswer(start+4*time.Second, 7, time.Second, "b")
		}, start + 3*time.Second + allowed, true},
		{"the age counts", func(p *Proof) { p.RecordAnswer(start, 7, time.Second, "b") }, start - time.Second + allowed + 1, false},
		// The VM was frozen for 4 s with the reply in its socket: what counts is when it asked.
		{"delayed reply", func(p *Proof) { p.RecordAnswer(start, 7, 0, "b") }, start + 4*time.Second, false},
		{"reply without an echo", func(p *Proof) { p.RecordAnswer(0, 7, 0, "b") }, start, false},
		{"reply with a negative age", func(p *Proof) { p.RecordAnswer(start, 7, -time.Hour, "b") }, start, false},
		{"reply with an older version", func(p *Proof) { p.RecordAnswer(start, 6, 0, "b") }, start, false},
		{"reply with a newer version", func(p *Proof) { p.RecordRead(start); p.RecordAnswer(start, 8, 0, "b") }, start, false},
		{"checkpoint with a newer version", func(p *Proof) { p.RecordRead(start); p.RecordVersion(8) }, start, false},
		{"own read after a newer version is known", func(p *Proof) { p.RecordVersion(8); p.RecordRead(start) }, start, false},
		{"old answer after a newer version is known", func(p *Proof) { p.RecordVersion(8); p.RecordAnswer(start, 7, 0, "b") }, start, false},
		{"the newer version is in force", func(p *Proof) { p.RecordRead(start); p.RecordVersion(8); p.SetVersion(8) }, start, true},
		{"an even newer one is known", func(p *Proof) { p.RecordRead(start); p.RecordVersion(9); p.SetVersion(8) }, start, false},
		// Long after the first proof, a series of configurations must not stop a VM at once.
		{"a newer version is known long after the first proof", func(p *Proof) {
			p.RecordRead(start - bound)
			p.RecordRead(start)
			p.RecordVersion(8)
		}, start + allowed, true},
		{"nothing is proven from then on", func(p *Proof) {
			p.RecordRead(start - bound)
			p.RecordRead(start)
			p.RecordVersion(8)
			p.RecordRead(start + time.Second)
			p.RecordAnswer(start+time.Second, 7, 0, "b")
		}, start + allowed + 1, false},
		{"an older version is set late", func(p *Proof) { p.SetVersion(6); p.RecordAnswer(start, 7, 0, "b") }, start, true},
		{"a proof from the future", func(p *Proof) { p.RecordRead(start + time.Second) }, start, false},
		{"the bound has become shorter", func(p *Proof) { p.RecordRead(start); p.SetBound(time.Second) }, start + time.Second, false},
		{"there is no bound", func(p *Proof) { p.RecordRead(start); p.SetBound(0) }, start + 1, false},
	}
	for _, test := range tests {
		p := newProof(7)
		test.events(p)
		if got := p.Fresh(test.at); got != test.want {
			t.Errorf("%s: fresh is %v, want %v", test.name, got, test.want)
		}
	}
}

// Callers keep the directory's answers, so a VM must leave them well before it stops.
func TestListedEndsAtHalfOfTheAllowedAge(t *testing.T) {
	p := newProof(7)
	p.RecordRead(start)
	p.RecordVersion(8) // all VMs have it soon, and must not leave the answers at each change
	if !p.Listed(start+allowed/2) || p.Listed(start+allowed/2+time.Millisecond) {
		t.Error("the VM is not listed up to half of the allowed age")
	}
}

// A VM that hears nothing of others must read in time for the answer to come before the proof
// runs out, and one that knows of a newer version must read it at once.
func TestNeedsRead(t *testing.T) {
	p := newProof(7)
	p.RecordRead(start)
	if p.NeedsRead(start+bound/4) || !p.NeedsRead(start+bound/4+time.Millisecond) {
		t.Error("reads are not needed from a quarter of the bound on")
	}
	if p.RecordVersion(8); !p.NeedsRead(start) {
		t.Error("no read is needed with a newer version known")
	}
}

// An answer's age must not be less than the true one, by no fraction: forwarded ages add up.
func TestAnswerRoundsTheAgeUp(t *testing.T) {
	for age, want := range map[time.Duration]int64{0: 0, 1: 1, time.Millisecond: 1, time.Millisecond + 1: 2, allowed: 3500} {
		p := newProof(7)
		p.RecordRead(start)
		if got, ok := p.Answer(start + age); !ok || got != (State{Version: 7, Age: want}) {
			t.Errorf("age %v: answer %+v, %v, want %d ms", age, got, ok, want)
		}
	}
}

// A VM without a proof must not give others one.
func TestNoAnswerWithoutAProof(t *testing.T) {
	p := newProof(7)
	if _, ok := p.Answer(start); ok {
		t.Error("answer before the first proof")
	}
	p.RecordRead(start)
	if _, ok := p.Answer(start + allowed + 1); ok {
		t.Error("answer after the proof has run out")
	}
	p.RecordVersion(8)
	if _, ok := p.Answer(start); ok {
		t.Error("answer with a newer version known")
	}
}

// vm is a simulated VM with its own clock.
type vm struct {
	proof   *Proof
	offset  time.Duration // of its clock
	version int64
}

// Whatever is lost, late or frozen, no VM may count as fresh for longer than the allowed age
// after a newer version was acknowledged. Answers are forwarded between VMs with clocks that
// differ, and datagrams and reads arrive up to 8 s late.
func TestNoVMIsFreshPastTheBound(t *testing.T) {
	for seed := range uint64(80) {
		random := rand.New(rand.NewPCG(seed, 1))
		acknowledgedAt := map[int64]time.Duration{1: 0}
		newest, now := int64(1), start
		var vms [5]vm
		for i := range vms {
			vms[i] = vm{proof: newProof(1), offset: time.Duration(random.Int64N(int64(start))), version: 1}
		}
		var late []func()
		delay := func(f func()) {
			if random.IntN(10) > 0 { // one in ten is lost
				late = append(late, f)
			}
		}
		for range 3000 {
			now += time.Duration(random.Int64N(int64(20 * time.Millisecond)))
			if random.IntN(400) == 0 {
				now += time.Duration(random.Int64N(int64(8 * time.Second))) // all are frozen, or datagrams are late
			}
			a, b := &vms[random.IntN(len(vms))], &vms[random.IntN(len(vms))]
			switch event := random.IntN(100); {
			case event == 0:
				newest++
				acknowledgedAt[newest] = now
			case event < 6: // a read that is requested now, answered with the state of now, and applied later
				asOf, read := now-a.offset, newest
				delay(func() {
					a.version = max(a.version, read)
					a.proof.SetVersion(read)
					a.proof.RecordRead(asOf)
				})
			case event < 50: // an exchange
				askedAt := now - a.offset
				delay(func() {
					if answer, ok := b.proof.Answer(now - b.offset); ok {
						delay(func() {
							a.proof.RecordAnswer(askedAt, answer.Version, time.Duration(answer.Age)*time.Millisecond, "b")
						})
					}
				})
			case len(late) > 0:
				i := random.IntN(len(late))
				f := late[i]
				late = append(late[:i], late[i+1:]...)
				f()
			}
			if next, ok := acknowledgedAt[a.version+1]; ok && a.proof.Fresh(now-a.offset) && now-next > allowed {
				t.Fatalf("seed %d: a VM with version %d is fresh %v after version %d was acknowledged", seed, a.version, now-next, a.version+1)
			}
		}
	}
}
