package gateway

import (
	"testing"
	"time"
)

// Retries of all VMs together stay within the bound while all of them start again, see each
// other one by one, and every request would be sent as often as the budget allows.
func TestRetriesOfAllVMsStayWithinTheBudgetWhenTheyStartAgain(t *testing.T) {
	tests := []struct {
		name                     string
		vms                      int
		requestsPerVMPerTick     int
		restartAt, allKnownAfter time.Duration
	}{
		{"first start", 77, 1, 0, firstStartTime},
		{"restart while retries are made", 77, 1, 12 * time.Second, time.Second},
		{"restart of a small fleet", 9, 2, 12 * time.Second, time.Second},
		{"others are seen late", 77, 0, 12 * time.Second, 6 * time.Second},
	}
	const tick = 100 * time.Millisecond
	settings := BudgetSettings{Ratio: 0.2, Window: 10 * time.Second, Slack: 194}
	perWindow := int(settings.Window / tick)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			vms := make([]*budgets, test.vms)
			var requests, retries []int
			for now := time.Duration(0); now < 30*time.Second; now += tick {
				at := time.Unix(1000, 0).Add(now)
				if now == 0 || now == test.restartAt {
					for i := range vms {
						vms[i] = newBudgets(settings, at)
						if test.restartAt == 0 {
							vms[i].beginFirstStart()
						}
					}
				}
				known := min(1, float64(now-test.restartAt+tick)/float64(test.allKnownAfter))
				if now < test.restartAt {
					known = 1
				}
				requests, retries = append(requests, 0), append(retries, 0)
				n := len(requests) - 1
				for _, vm := range vms {
					vm.raiseMembers(int(known * float64(test.vms)))
					for range test.requestsPerVMPerTick {
						vm.of("s").Deposit(at)
						requests[n]++
					}
					for vm.of("s").Allow(at) {
						retries[n]++
					}
				}
				made := sum(retries, n-perWindow+1, n+1)
				most := max(sum(requests, n-perWindow+1, n+1), sum(requests, n-perWindow*3/2+1, n-perWindow/2+1), sum(requests, n-2*perWindow+1, n-perWindow+1))
				if allowed := settings.Ratio*float64(most) + settings.Slack; float64(made) > allowed {
					t.Fatalf("%d retries of %d requests in the %v before %v, allowed %.0f", made, most, settings.Window, now, allowed)
				}
			}
		})
	}
}

// sum returns the sum of counts[from:to], without what lies before the first.
func sum(counts []int, from, to int) int {
	total := 0
	for _, n := range counts[max(from, 0):max(to, 0)] {
		total += n
	}
	return total
}
