package replicaload

import (
	"slices"
	"sync"
	"time"
)

// maxReports bounds the own reports that are kept: those to two coordinators, and to a few
// that change, within MaxAge.
const maxReports = 32

// Known is what a VM knows of the requests that other VMs have running at replicas. It is safe
// for concurrent use.
type Known struct {
	mu sync.Mutex // guards the fields below, which exchanges change and requests read
	// reports holds the own reports of the last MaxAge, oldest first.
	reports []Report
	// others holds what other VMs had running at loadsAt, when the own report was made that
	// the newest sums contain. An entry's Running is that of the others.
	others  map[string]Use
	loadsAt int64
}

// Report returns a report of the own uses, which is remembered until its sums arrive.
func (k *Known) Report(now time.Duration, uses []Use) Report {
	report := Report{Uses: fit(uses), SentAt: int64(now)}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reports = slices.DeleteFunc(k.reports, func(r Report) bool { return now-time.Duration(r.SentAt) > MaxAge })
	if len(k.reports) == maxReports {
		k.reports = slices.Delete(k.reports, 0, 1)
	}
	k.reports = append(k.reports, report)
	return report
}

// Record takes over the sums of a coordinator, unless those known contain a newer own report,
// or the echoed report is none of this process's last ones. An error means that they are
// malformed.
func (k *Known) Record(loads Loads) error {
	if err := validate(loads.Sums, loads.EchoedSentAt); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	i := slices.IndexFunc(k.reports, func(r Report) bool { return r.SentAt == loads.EchoedSentAt })
	if i < 0 || k.others != nil && loads.EchoedSentAt <= k.loadsAt {
		return nil
	}
	k.others, k.loadsAt = make(map[string]Use, len(loads.Sums)), loads.EchoedSentAt
	for _, sum := range loads.Sums {
		for _, own := range k.reports[i].Uses {
			if own.Upstream == sum.Upstream && own.Incarnation == sum.Incarnation {
				sum.Running = max(sum.Running-own.Running, 0)
			}
		}
		k.others[sum.Upstream] = sum
	}
	return nil
}

// Others returns the number of requests that other VMs have running at a replica's process;
// 0 if none is known, or what is known is older than MaxAge.
func (k *Known) Others(now time.Duration, upstream string, incarnation int64) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	if use := k.others[upstream]; use.Incarnation == incarnation && now-time.Duration(k.loadsAt) <= MaxAge {
		return use.Running
	}
	return 0
}

// Age returns how long ago the own report was made that the newest sums contain. It returns
// false if none are in use.
func (k *Known) Age(now time.Duration) (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	age := now - time.Duration(k.loadsAt)
	return age, k.others != nil && age <= MaxAge
}
