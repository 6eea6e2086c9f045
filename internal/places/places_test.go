package places

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simulation plays the VMs and granters of one process with datagrams that are late, lost and
// out of order.
type simulation struct {
	random   *rand.Rand
	now      time.Duration
	loss     float64
	slots    int
	process  Process
	vms      []*simulatedVM
	granters []*Granter
	// granter is the index of the one that is asked.
	granter  int
	inFlight []datagram
	served   int
}

type simulatedVM struct {
	name        string
	incarnation int64
	client      *Client
	requests    []*simulatedRequest
}

type simulatedRequest struct {
	ticket   uint64
	granted  chan Process
	runs     bool
	until    time.Duration
	giveUpAt time.Duration
}

type datagram struct {
	at      time.Duration
	deliver func()
}

func (s *simulation) send(deliver func()) {
	if s.random.Float64() >= s.loss {
		s.inFlight = append(s.inFlight, datagram{s.now + time.Duration(s.random.IntN(4))*time.Millisecond, deliver})
	}
}

func (s *simulation) claim(vm *simulatedVM) {
	if claim, ok := vm.client.Claim(s.now, s.process); ok {
		s.sendClaim(vm, claim)
	}
}

func (s *simulation) sendClaim(vm *simulatedVM, claim Claim) {
	granter, incarnation := s.granters[s.granter], vm.incarnation
	s.send(func() {
		grants, err := granter.Claim(s.now, vm.name, incarnation, s.slots, claim)
		if err != nil {
			panic(err)
		}
		for name, grant := range grants {
			to := s.vms[slices.IndexFunc(s.vms, func(v *simulatedVM) bool { return v.name == name })]
			s.send(func() {
				if !to.client.Apply(grant) {
					s.claim(to)
				}
			})
		}
	})
}

// step plays one millisecond, in which a request begins with a probability, and returns the
// number of requests that run.
func (s *simulation) step(arrivals float64, work time.Duration) (running int) {
	s.now += time.Millisecond
	due := s.inFlight
	s.inFlight = nil
	for _, d := range due {
		if d.at <= s.now {
			d.deliver()
		} else {
			s.inFlight = append(s.inFlight, d)
		}
	}
	if s.random.Float64() < arrivals {
		vm := s.vms[s.random.IntN(len(s.vms))]
		r := &simulatedRequest{granted: make(chan Process, 1), giveUpAt: s.now + 250*time.Millisecond}
		r.ticket = vm.client.Begin([]Process{s.process}, r.granted)
		vm.requests = append(vm.requests, r)
		s.claim(vm)
	}
	for _, vm := range s.vms {
		if s.now%ClaimInterval == 0 {
			for _, claim := range vm.client.Claims(s.now) {
				s.sendClaim(vm, claim)
			}
		}
		vm.requests = slices.DeleteFunc(vm.requests, func(r *simulatedRequest) bool {
			select {
			case <-r.granted:
				r.runs, r.until = true, s.now+work
			default:
			}
			if r.runs && s.now < r.until {
				running++
				return false
			}
			if !r.runs && s.now < r.giveUpAt {
				return false
			}
			if r.runs {
				s.served++
			}
			vm.client.End([]Process{s.process}, r.ticket)
			s.claim(vm)
			return true
		})
	}
	return running
}

// All VMs together have at most as many requests at an upstream as it runs at once, while
// datagrams are lost, VMs start again and another VM becomes the granter, and they use nearly
// all of its places.
func TestPlacesOfAllVMsAreNeverMoreThanTheSlots(t *testing.T) {
	tests := []struct {
		name           string
		vms, slots     int
		loss           float64
		restarts, move bool
		minServedShare float64
	}{
		{"small fleet", 9, 6, 0, false, false, 0.9},
		{"more VMs than slots", 61, 6, 0, false, false, 0.9},
		{"large fleet", 510, 6, 0, false, false, 0.9},
		{"one slot", 61, 1, 0, false, false, 0.85},
		{"datagrams are lost", 61, 6, 0.03, false, false, 0.8},
		{"VMs start again", 61, 6, 0.03, true, false, 0.5},
		{"the granter changes", 61, 6, 0.03, false, true, 0.6},
	}
	const work, period = 60 * time.Millisecond, 12 * time.Second
	for _, test := range tests {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", test.name, seed), func(t *testing.T) {
				t.Parallel()
				s := &simulation{
					random: rand.New(rand.NewPCG(seed, 1)), loss: test.loss, slots: test.slots, process: Process{ID: "a", Incarnation: 1},
					granters: []*Granter{NewGranter(), NewGranter()},
				}
				for i := range test.vms {
					s.vms = append(s.vms, &simulatedVM{name: fmt.Sprint("vm-", i), incarnation: 1, client: NewClient()})
				}
				// Twice what the upstream can run.
				arrivals := 2 * float64(test.slots) * float64(time.Millisecond) / float64(work)
				for s.now < period {
					if test.restarts && s.random.IntN(500) == 0 {
						vm := s.vms[s.random.IntN(len(s.vms))]
						vm.incarnation, vm.client, vm.requests = vm.incarnation+1, NewClient(), nil
					}
					if test.move && s.now%(4*time.Second) == 0 {
						s.granter = 1 - s.granter
						s.granters[s.granter].Restart(s.now)
					}
					if running := s.step(arrivals, work); running > test.slots {
						t.Fatalf("%d requests run at %v, the upstream has %d slots", running, s.now, test.slots)
					}
				}
				capacity := float64(test.slots) * float64(period) / float64(work)
				if share := float64(s.served) / capacity; share < test.minServedShare {
					t.Errorf("%.2f of what the upstream can run was served, want %.2f", share, test.minServedShare)
				}
			})
		}
	}
}

// A claim with more tickets than a VM can have is not used.
func TestClaimWithTooManyTicketsIsRejected(t *testing.T) {
	g := NewGranter()
	if _, err := g.Claim(0, "vm", 1, 6, Claim{Upstream: "a", Sequence: 1, Wanted: make([]uint64, maxTickets+1)}); err == nil {
		t.Error("accepted")
	}
}
