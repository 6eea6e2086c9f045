package places

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Client holds the requests of this VM that have a place at an upstream or wait for one. It is
// safe for concurrent use.
type Client struct {
	mu        sync.Mutex // guards the fields below; held for lookups and updates only
	ticket    uint64
	sequence  uint64
	processes map[Process]*own
}

// own holds the tickets of this VM at one process.
type own struct {
	held map[uint64]bool
	// wanted holds where the grants of the waiting requests go.
	wanted map[uint64]chan<- Process
	// askedAt is when the oldest unanswered claim was made, and 0 if there is none.
	askedAt time.Duration
	// emptyClaims counts the claims in a row that listed nothing.
	emptyClaims int
}

// maxEmptyClaims is the number of claims that say that this VM has nothing at a process any
// more: one may be lost.
const maxEmptyClaims = 2

func newOwn() *own {
	return &own{held: make(map[uint64]bool), wanted: make(map[uint64]chan<- Process)}
}

// NewClient returns a Client without requests.
func NewClient() *Client {
	return &Client{processes: make(map[Process]*own)}
}

// Begin makes a request wait for a place at each of several processes; granted gets those where
// it has one, and must have room for all. The same ticket counts at all of them.
func (c *Client) Begin(processes []Process, granted chan<- Process) (ticket uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ticket++
	for _, process := range processes {
		o := c.processes[process]
		if o == nil {
			o = newOwn()
			c.processes[process] = o
		}
		o.wanted[c.ticket] = granted
	}
	return c.ticket
}

// End gives up the places of a request, and its wait, at some processes.
func (c *Client) End(processes []Process, ticket uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, process := range processes {
		if o := c.processes[process]; o != nil {
			delete(o.held, ticket)
			delete(o.wanted, ticket)
		}
	}
}

// Claim returns the claim of a process's places to send now. It returns false if this VM has
// nothing there, and its last claims have said so.
func (c *Client) Claim(now time.Duration, process Process) (Claim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.claim(now, process)
}

// claim implements Claim. The caller holds mu.
func (c *Client) claim(now time.Duration, process Process) (Claim, bool) {
	o := c.processes[process]
	if o == nil {
		return Claim{}, false
	}
	if o.askedAt == 0 {
		o.askedAt = now
	}
	if len(o.held) > 0 || len(o.wanted) > 0 {
		o.emptyClaims = 0
	} else if o.emptyClaims++; o.emptyClaims == maxEmptyClaims {
		delete(c.processes, process)
	}
	c.sequence++
	return Claim{
		Upstream: process.ID, Incarnation: process.Incarnation, Sequence: c.sequence,
		Held: slices.Sorted(maps.Keys(o.held)), Wanted: slices.Sorted(maps.Keys(o.wanted)),
	}, true
}

// Claims returns the claims of all processes, which are repeated each ClaimInterval.
func (c *Client) Claims(now time.Duration) []Claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	var claims []Claim
	for process := range c.processes {
		if claim, ok := c.claim(now, process); ok {
			claims = append(claims, claim)
		}
	}
	return claims
}

// Apply takes over a grant. It returns false if a ticket no longer waits: its place must be
// given up by another claim at once.
func (c *Client) Apply(grant Grant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	process := Process{grant.Upstream, grant.Incarnation}
	o := c.processes[process]
	if o == nil && len(grant.Tickets) > 0 {
		o = newOwn()
		c.processes[process] = o
	}
	if o == nil {
		return true
	}
	o.askedAt = 0
	known := true
	for _, ticket := range grant.Tickets {
		granted, waits := o.wanted[ticket]
		if waits {
			delete(o.wanted, ticket)
			o.held[ticket] = true
			granted <- process
		}
		known = known && (waits || o.held[ticket])
	}
	return known
}

// SilentFor returns how long the claims of a process's places have had no answer.
func (c *Client) SilentFor(now time.Duration, process Process) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.processes[process]; o != nil && o.askedAt != 0 {
		return now - o.askedAt
	}
	return 0
}

// Running returns the number of this VM's requests that have a place at a process.
func (c *Client) Running(process Process) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.processes[process]; o != nil {
		return len(o.held)
	}
	return 0
}

// Take gives a waiting request a place without a grant, if the VM then has at most share at the
// process. It is for a granter that doesn't answer.
func (c *Client) Take(process Process, ticket uint64, share int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.processes[process]
	if o == nil || o.wanted[ticket] == nil || len(o.held) >= share {
		return false
	}
	delete(o.wanted, ticket)
	o.held[ticket] = true
	return true
}
