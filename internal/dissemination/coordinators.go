package dissemination

import (
	"slices"
	"sync"
	"time"
)

// Times of exchanges.
const (
	// ExchangeInterval is the time between two exchanges with a coordinator.
	ExchangeInterval = 500 * time.Millisecond
	// replyTimeout is how long a coordinator may leave exchanges unanswered before it is
	// skipped, and how long a daemon has no reply before it asks others.
	replyTimeout = time.Second
	// skipTime is how long a coordinator is skipped.
	skipTime = 5 * time.Second
	// maxStepGap is the longest time between two calls of Next after which unanswered
	// requests count: after a longer one this VM was frozen, and the replies may still
	// be in its socket.
	maxStepGap = time.Second
)

const (
	// Groups is the number of groups of customers, each with one coordinator.
	Groups = 2
	// randomAsks is the number of other daemons that are asked if no coordinator replies.
	randomAsks = 2
	// keptRequests is the number of requests to one VM whose replies count. A reply that is
	// later than that many requests is of no use.
	keptRequests = 16
)

// Coordinator is a daemon that runs exchanges with all others.
type Coordinator struct {
	VM          string
	Incarnation int64
	// Mesh is its address for datagrams, as IP:port.
	Mesh string
}

// Ask is an exchange to request.
type Ask struct {
	To     Coordinator
	SentAt time.Duration
	// FreshnessOnly is set for a VM that is not a coordinator.
	FreshnessOnly bool
}

// exchangeState is what is known of the exchanges with one VM.
type exchangeState struct {
	// sent holds the times of the last requests, oldest first.
	sent []time.Duration
	// unansweredSince is when the first request after the last reply was sent; 0 if none.
	unansweredSince time.Duration
	// isSkipped is set until the VM replies again, and skippedUntil is when it is asked
	// again.
	isSkipped    bool
	skippedUntil time.Duration
}

// Coordinators decides who the coordinators are and who is asked when. It does no I/O and is
// safe for concurrent use. Times are readings of clock.Boot.
type Coordinators struct {
	self string
	mu   sync.Mutex // guards the fields below
	// current are the coordinators in the order of their ranks.
	current []Coordinator
	states  map[string]*exchangeState
	// nextAskAt is when the next exchanges are due, steppedAt when Next was last called,
	// and repliedAt when another coordinator last replied, or the exchanges began.
	nextAskAt time.Duration
	steppedAt time.Duration
	repliedAt time.Duration
}

// NewCoordinators returns a Coordinators for the daemon of a VM.
func NewCoordinators(self string) *Coordinators {
	return &Coordinators{self: self, states: make(map[string]*exchangeState)}
}

// Of returns the coordinator of a group, as of the last call of Next: the one of that rank, or
// the only one left.
func (c *Coordinators) Of(group int) (Coordinator, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if group < 0 || group >= Groups || len(c.current) == 0 {
		return Coordinator{}, false
	}
	return c.current[min(group, len(c.current)-1)], true
}

// Next returns the exchanges to request at now. ranked lists the candidates, best first;
// others lists all other daemons that may be asked for freshness, and random returns a number
// below n. It is called a few times per ExchangeInterval.
func (c *Coordinators) Next(now time.Duration, ranked, others []Coordinator, random func(n int) int) []Ask {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.steppedAt == 0 || now-c.steppedAt > maxStepGap {
		c.restart(now)
	}
	c.steppedAt = now
	c.skipSilent(now)
	before := c.current
	returning := c.choose(now, ranked)
	isDue := now >= c.nextAskAt
	var asks []Ask
	for _, to := range c.current {
		isNew := !slices.ContainsFunc(before, func(b Coordinator) bool { return sameVM(b, to) })
		if isDue || isNew {
			asks = append(asks, c.ask(now, to, false))
		}
	}
	if !isDue {
		return asks
	}
	c.nextAskAt = now + ExchangeInterval
	for _, to := range returning {
		asks = append(asks, c.ask(now, to, false))
	}
	if now-c.repliedAt >= replyTimeout {
		for _, to := range c.pickOthers(others, random) {
			asks = append(asks, c.ask(now, to, true))
		}
	}
	c.forget(ranked)
	return asks
}

// RecordReply records a reply of a VM to the request that was sent at echoedSentAt. It
// returns false, and the reply proves nothing, if this process sent no such request lately:
// the reply may be to a process before this one, or to one before a reboot of the VM.
func (c *Coordinators) RecordReply(now time.Duration, vm string, echoedSentAt time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.states[vm]
	if state == nil || !slices.Contains(state.sent, echoedSentAt) {
		return false
	}
	state.unansweredSince = 0
	state.isSkipped = false
	if slices.ContainsFunc(c.current, func(current Coordinator) bool { return current.VM == vm }) {
		c.repliedAt = now
	}
	return true
}

func sameVM(a, b Coordinator) bool {
	return a.VM == b.VM
}

// restart makes unanswered requests count from now on.
func (c *Coordinators) restart(now time.Duration) {
	c.repliedAt = now
	for _, state := range c.states {
		state.unansweredSince = 0
	}
}

// skipSilent skips the VMs that have not replied for too long.
func (c *Coordinators) skipSilent(now time.Duration) {
	for _, state := range c.states {
		if state.unansweredSince != 0 && now-state.unansweredSince >= replyTimeout {
			state.isSkipped, state.skippedUntil = true, now+skipTime
			state.unansweredSince = 0
		}
	}
}

// choose sets the current coordinators. It returns the VMs that have been skipped for long
// enough and are asked again: they become coordinators once they have replied.
func (c *Coordinators) choose(now time.Duration, ranked []Coordinator) (returning []Coordinator) {
	c.current = nil
	for _, candidate := range ranked {
		if len(c.current) == Groups {
			break
		}
		state := c.states[candidate.VM]
		switch {
		case state == nil || !state.isSkipped:
			c.current = append(c.current, candidate)
		case now >= state.skippedUntil:
			returning = append(returning, candidate)
		}
	}
	return returning
}

// ask records a request to a VM. Those to this VM itself need no reply, and those to VMs that
// are not coordinators expect none.
func (c *Coordinators) ask(now time.Duration, to Coordinator, freshnessOnly bool) Ask {
	state := c.states[to.VM]
	if state == nil {
		state = &exchangeState{}
		c.states[to.VM] = state
	}
	state.sent = append(state.sent, now)
	if len(state.sent) > keptRequests {
		state.sent = slices.Delete(state.sent, 0, 1)
	}
	if to.VM != c.self && !freshnessOnly && state.unansweredSince == 0 {
		state.unansweredSince = now
	}
	return Ask{To: to, SentAt: now, FreshnessOnly: freshnessOnly}
}

// pickOthers picks random daemons besides this one and the coordinators.
func (c *Coordinators) pickOthers(others []Coordinator, random func(n int) int) []Coordinator {
	usable := slices.DeleteFunc(slices.Clone(others), func(other Coordinator) bool {
		return other.VM == c.self || slices.ContainsFunc(c.current, func(current Coordinator) bool { return sameVM(current, other) })
	})
	for i := range min(randomAsks, len(usable)) {
		j := i + random(len(usable)-i)
		usable[i], usable[j] = usable[j], usable[i]
	}
	return usable[:min(randomAsks, len(usable))]
}

// maxStates bounds the states kept: with random asks they grow to the size of the fleet.
const maxStates = 64

// forget drops the states of VMs that are no candidates once there are many.
func (c *Coordinators) forget(ranked []Coordinator) {
	if len(c.states) <= maxStates {
		return
	}
	keep := make(map[string]*exchangeState, len(ranked))
	for _, candidate := range ranked {
		if state := c.states[candidate.VM]; state != nil {
			keep[candidate.VM] = state
		}
	}
	c.states = keep
}
