package locator

import (
	"math"
	"time"
)

// Constants of a replica's pace.
const (
	// fasterWeight is the weight of a response that took less than the learned time of work.
	// A fast one has not waited, so it counts more than slow ones.
	fasterWeight = 0.3
	// slowerMemory is the time in which responses that all take longer raise the learned time
	// of work by 63%: longer than bursts and stalls, of which the wait is learned apart.
	slowerMemory = 5 * time.Second
	// maxSlowdown bounds a response, in learned times of work, as it raises these: one that
	// met a stall says nothing of the work.
	maxSlowdown = 3
	// workHalfLife is the time without a response in which the learned time of work halves, so
	// that a replica that was slow is tried again after a minute.
	workHalfLife = 30 * time.Second
	// waitWeight is the weight of a response in the learned wait, and waitHalfLife the time in
	// which that halves: a replica that has stalled for 2 s is used again two seconds later. With 1 s
	// a busy service is served worse, as the others fill up meanwhile.
	waitWeight   = 0.25
	waitHalfLife = 300 * time.Millisecond
)

// pace is what the responses of a replica tell of its time of work and of the wait there.
type pace struct {
	work       time.Duration
	wait       time.Duration
	recordedAt time.Duration
}

// record includes the time of a response.
func (p *pace) record(now, took time.Duration) {
	wait := p.waitAt(now)
	switch {
	case p.work == 0:
		p.work = took
	case took < p.work:
		p.work += time.Duration(fasterWeight * float64(took-p.work))
	default:
		weight := 1 - math.Exp(-float64(now-p.recordedAt)/float64(slowerMemory))
		p.work += time.Duration(weight * float64(min(took, maxSlowdown*p.work)-p.work))
	}
	p.wait = wait + time.Duration(waitWeight*float64(max(took-p.work, 0)-wait))
	p.recordedAt = now
}

// workAt returns the time of work, which decays without responses; 0 if unknown.
func (p *pace) workAt(now time.Duration) time.Duration {
	return time.Duration(float64(p.work) * math.Exp2(-float64(now-p.recordedAt)/float64(workHalfLife)))
}

// waitAt returns the wait, which decays without responses.
func (p *pace) waitAt(now time.Duration) time.Duration {
	return time.Duration(float64(p.wait) * math.Exp2(-float64(now-p.recordedAt)/float64(waitHalfLife)))
}

// expectedWait returns the wait at a replica: the learned one, or as long as it has given no
// response to any of this entry's requests beyond their time of work.
func (v *view) expectedWait(now time.Duration) time.Duration {
	wait := v.pace.waitAt(now)
	if v.running > 0 {
		wait = max(wait, now-v.progressAt-v.pace.work)
	}
	return wait
}
