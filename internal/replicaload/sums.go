package replicaload

import (
	"sync"
	"time"
)

const (
	// gatherTime is how long a coordinator gathers reports before it states sums: two
	// exchanges of each VM. Sums of the reports of a few VMs would look like idle replicas.
	gatherTime = time.Second
	// maxVMs bounds the VMs whose reports a coordinator keeps: four times the greatest fleet.
	maxVMs = 2048
)

// vmReport is the newest report of a VM.
type vmReport struct {
	// incarnation is that of the VM's daemon, and former that of the process before it,
	// whose late reports are dropped; 0 if unknown. Incarnations are random, so their order
	// is that in which they were first heard of.
	incarnation, former int64
	sentAt              int64
	receivedAt          time.Duration
	uses                []Use
}

// Sums is what a coordinator knows of all VMs. It is safe for concurrent use.
type Sums struct {
	mu sync.Mutex // guards the fields below, which entries of several VMs change
	// reports holds the newest report of each VM, and gatheringSince when the first one
	// after a time without any arrived.
	reports        map[string]*vmReport
	gatheringSince time.Duration
}

// NewSums returns a Sums without reports.
func NewSums() *Sums {
	return &Sums{reports: make(map[string]*vmReport)}
}

// Record records a report of a VM's daemon. It ignores reports that are repeated, or older
// than the newest one. An error means that the report is malformed.
func (s *Sums) Record(now time.Duration, vm string, incarnation int64, report Report) error {
	if err := validate(report.Uses, report.SentAt); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropOld(now)
	if len(s.reports) == 0 {
		s.gatheringSince = now
	}
	r := s.reports[vm]
	switch {
	case r == nil && len(s.reports) >= maxVMs:
		return nil
	case r == nil:
		r = &vmReport{incarnation: incarnation}
		s.reports[vm] = r
	case r.incarnation == incarnation && report.SentAt <= r.sentAt, r.former == incarnation:
		return nil
	case r.incarnation != incarnation:
		r.incarnation, r.former = incarnation, r.incarnation
	}
	r.sentAt, r.receivedAt, r.uses = report.SentAt, now, report.Uses
	return nil
}

func (s *Sums) dropOld(now time.Duration) {
	for vm, r := range s.reports {
		if now-r.receivedAt > MaxAge {
			delete(s.reports, vm)
		}
	}
}

// Loads returns the sums for a VM's daemon. It returns false if there is no report of that
// daemon, or reports have not been gathered for long enough.
func (s *Sums) Loads(now time.Duration, vm string, incarnation int64) (Loads, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropOld(now)
	own := s.reports[vm]
	if own == nil || own.incarnation != incarnation || now-s.gatheringSince < gatherTime {
		return Loads{}, false
	}
	return Loads{Sums: fit(s.sum()), EchoedSentAt: own.sentAt}, true
}

// sum adds up the uses of each replica's newest process: what ran at an earlier one has ended.
func (s *Sums) sum() []Use {
	sums := make(map[string]Use)
	for _, r := range s.reports {
		for _, u := range r.uses {
			sum, ok := sums[u.Upstream]
			switch {
			case !ok || u.Incarnation > sum.Incarnation:
				sums[u.Upstream] = u
			case u.Incarnation == sum.Incarnation:
				sum.Running = min(sum.Running+u.Running, maxRunning)
				sums[u.Upstream] = sum
			}
		}
	}
	list := make([]Use, 0, len(sums))
	for _, sum := range sums {
		list = append(list, sum)
	}
	return list
}
