package locator

import (
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/pausing"
)

// maxClockSkew is how far the clocks of this VM and an upstream may differ. A pause is only
// kept too long if they differ more.
const maxClockSkew = time.Second

// statedPause is the pause that a process of an upstream has asked this VM for.
type statedPause struct {
	pausing.Pause
	incarnation int64
	// statedAt is when it was last asked for, in Unix milliseconds as incarnation.
	statedAt int64
}

// pauseOf returns the pause of an upstream. It outlives the upstream's registration, which
// may lapse and come back while the process lives. The caller holds mu.
func (l *Locator) pauseOf(id string) *statedPause {
	p := l.pauses[id]
	if p == nil {
		p = &statedPause{}
		l.pauses[id] = p
	}
	return p
}

// beginProcess ends the pause of an earlier process. If the later one had started when the
// pause was asked for, it was the one that asked, before its registration was known.
func (p *statedPause) beginProcess(incarnation int64) {
	if incarnation <= p.incarnation {
		return
	}
	if incarnation > p.statedAt+maxClockSkew.Milliseconds() {
		*p = statedPause{}
	}
	p.incarnation = incarnation
}

// RecordPause records that a process of an upstream wants nothing from this VM
// for a time, and returns the end of its pause by clock.Boot; 0 if a later process
// is known.
func (l *Locator) RecordPause(id string, incarnation int64, length time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pauseOf(id)
	p.beginProcess(incarnation)
	if p.incarnation != incarnation {
		return 0
	}
	p.Pause, p.statedAt = p.Extended(clock.Boot(), length), time.Now().UnixMilli()
	return p.Until()
}

// PausedUntil returns the end of the pause that an upstream has asked this VM for, by
// clock.Boot; 0 for none.
func (l *Locator) PausedUntil(id string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.pauses[id]; p != nil {
		return p.Until()
	}
	return 0
}

// ForgetEndedPauses forgets the pauses after which the upstream gets all requests
// again, and returns the upstreams.
func (l *Locator) ForgetEndedPauses() []string {
	now := clock.Boot()
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for id, p := range l.pauses {
		if p.Until() > 0 && p.Over(now) {
			p.Pause = pausing.Pause{}
			ids = append(ids, id)
		}
		if p.Until() == 0 && l.views[id] == nil {
			delete(l.pauses, id)
		}
	}
	return ids
}

// NextTurn returns how long it takes until an upstream of a service takes a
// request, and after which time the request's caller should come back if it is
// refused. It returns false unless all upstreams pause or have no room within their
// rate limits. If needHeld is set, only upstreams that hold the adapter count, and
// only pauses: the next room at a holder may go to another request.
func (l *Locator) NextTurn(need Need, needHeld bool) (wait, returnAfter time.Duration, ok bool) {
	now := clock.Boot()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range l.services[need.Service] {
		if _, held := v.held[need.Adapter]; !v.mayServe(need) || needHeld && !held {
			continue
		}
		takesIn := v.takesAt(need.Random) - now
		if takesIn <= 0 || needHeld && v.pause.Takes(now, need.Random) {
			return 0, 0, false
		}
		if !ok || takesIn < wait {
			wait, returnAfter, ok = takesIn, v.returnAfter(now, need.Random), true
		}
	}
	return wait, returnAfter, ok
}

// takesAt returns from when on the upstream takes a request.
func (v *view) takesAt(random uint64) time.Duration {
	return max(v.pause.TakesAt(random), v.roomAt)
}

// returnAfter returns when the caller of a refused request should come back.
func (v *view) returnAfter(now time.Duration, random uint64) time.Duration {
	after := v.pause.ReturnAt(random) - now
	if v.roomAt > now {
		after = max(after, v.rateLimit.ReturnAfter(v.roomAt-now, random))
	}
	return after
}

// mayServe reports whether an upstream that takes requests could serve one, of an
// adapter, or of a plain service if there is none.
func (v *view) mayServe(need Need) bool {
	if v.upstream.Leaving || need.Adapter.Model != "" && !v.holdsModel(need.Adapter.Model) {
		return false
	}
	return need.SoftwareVersion == "" || need.SoftwareVersion == v.softwareVersion()
}
