package quota

import (
	"fmt"
	"testing"
	"time"
)

// loads are the places at which a customer's demand arises.
var loads = []struct {
	name string
	pick func(s *sim) *simVM
}{
	{"one VM", func(s *sim) *simVM { return s.vms[len(s.vms)/2] }},
	{"all VMs", func(s *sim) *simVM { return s.vms[s.random.IntN(len(s.vms))] }},
	{"moving each second", func(s *sim) *simVM { return s.vms[int(s.now/time.Second)*7%len(s.vms)] }},
}

// greedyFactor is the demand of a greedy customer in multiples of its limit. At 1.5 a customer of
// 2,700 tokens a second sends 31 requests in 20 s at random, and in 3 of 36 runs these asked for
// less than the limit leaves it.
const greedyFactor = 3

// A greedy customer must get its limit, wherever its demand arises and however small its
// share of a VM is: fixed shares gave a customer with demand on one VM 1/N, and one of 2,700
// tokens a second nothing at all.
func TestGreedyCustomerGetsItsLimit(t *testing.T) {
	const warmUp, measured = 16 * time.Second, 20 * time.Second
	var customers []Customer
	for _, rate := range []float64{2700, 40000, 340000} {
		customers = append(customers, Customer{Name: fmt.Sprint("customer-", rate), Rate: rate, Burst: rate})
	}
	for _, n := range []int{9, 84, 500} {
		for _, load := range loads {
			t.Run(fmt.Sprintf("%d VMs, %s", n, load.name), func(t *testing.T) {
				t.Parallel()
				s := newSim(uint64(n), customers)
				s.expireKeys()
				for range n {
					s.addVM()
				}
				s.runUntil(warmUp)
				for _, c := range customers {
					s.demand(c, greedyFactor, func() *simVM { return load.pick(s) })
				}
				s.runUntil(warmUp + measured)
				for _, c := range customers {
					sum := int64(0)
					for _, u := range s.used[c.ID()] {
						sum += u.cost
					}
					got := float64(sum) / (c.Rate * measured.Seconds())
					if got < 0.95 {
						t.Errorf("rate %.0f: got %.3f of the limit", c.Rate, got)
					}
					t.Logf("rate %.0f: got %.3f of the limit", c.Rate, got)
				}
				t.Logf("outcomes %v, %d datagrams", s.outcomes, s.datagrams)
				s.checkBound(t, load.name)
			})
		}
	}
}

// demand lets a customer send requests of 200 to 5,000 tokens, of factor x its rate.
func (s *sim) demand(c Customer, factor float64, pick func() *simVM) {
	cost := 200 + s.random.Int64N(4801)
	if vm := pick(); vm != nil {
		vm.request(c, cost, s.tries)
	}
	mean := 2600 / (c.Rate * factor)
	s.after(time.Duration(s.random.ExpFloat64()*mean*float64(time.Second)), func() { s.demand(c, factor, pick) })
}
