package engine

import (
	"errors"
	"time"

	"github.com/barleylift/barleylift/internal/call"
)

// Config describes an engine and the timing of its takeover.
type Config struct {
	// Slots is the number of adapters that the engine holds at once.
	Slots int
	// MaxRunning is the number of calls that may run at once.
	MaxRunning int
	// ChecksFencing is set if the engine refuses orders and calls with an old token.
	ChecksFencing bool
	// MaxDeliveryDelay is the longest time after the loss of a connection at which a
	// call or an order that was sent on it can still take effect.
	MaxDeliveryDelay time.Duration
	// PredecessorLeaseEnd is the time by which a predecessor's lease has certainly
	// ended. Nothing is unloaded before a report made after it.
	PredecessorLeaseEnd time.Time
}

// State is the state of a slot.
type State int

// The states of a slot.
const (
	Empty State = iota
	Loading
	Ready
	Unloading
	Doubtful
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Empty:
		return "empty"
	case Loading:
		return "loading"
	case Ready:
		return "ready"
	case Unloading:
		return "unloading"
	default:
		return "doubtful"
	}
}

// Slot is one place for an adapter at the engine.
type Slot struct {
	State   State
	Adapter call.AdapterRef
	// Order is the outstanding order while the slot is Loading or Unloading.
	Order OrderID
	// Pins counts the calls that use or may use the adapter.
	Pins int
	// LastUse is the time of the last dispatch, or of the load.
	LastUse time.Time
	// Uses is the number of dispatches as of LastUse, decayed by placement.DecayUses.
	Uses float64
	// LoadTime is how long the last load of the adapter took here.
	LoadTime time.Duration

	// reportAfter is the time after which a report must be made to describe the
	// slot.
	reportAfter time.Time
	// effectAfter is the time after which a report may show the effect of the
	// outstanding or last order: when the order was begun, or reportAfter if the
	// slot is doubtful and the engine has restarted since.
	effectAfter time.Time
	// spansRestart is set if the engine restarted while the order was outstanding.
	spansRestart bool
	doubt        doubtReason
}

// doubtReason is the reason why a slot is Doubtful. It determines which report
// settles it.
type doubtReason int

const (
	// doubtLoad: the reply to a load was lost.
	doubtLoad doubtReason = iota
	// doubtUnload: the reply to an unload was lost, so it may still be executed.
	doubtUnload
	// doubtContent: the engine's answers contradict the state of the slot.
	doubtContent
)

// OrderID numbers the orders of one aggregate from 1; 0 means none.
type OrderID uint64

// Errors of refused transitions.
var (
	ErrNotReady = errors.New("the adapter is not confirmed at the engine")
	ErrBusy     = errors.New("the engine is running its maximum number of calls")
	ErrFenced   = errors.New("the engine has seen a newer owner")
)

// pin is one call that uses or may use an adapter.
type pin struct {
	adapter call.AdapterRef
	// fromPredecessor is set if this owner did not dispatch the call.
	fromPredecessor bool
	// lost is set by MarkCallLost.
	lost bool
	// changedAt is when the call was dispatched, lost or first reported.
	changedAt time.Time
}

// Engine is the aggregate of one engine.
type Engine struct {
	config Config
	slots  []Slot
	pins   map[string]pin
	// endedAt holds ended calls, which reports made earlier may still list.
	endedAt map[string]time.Time
	// unloadedAt holds unloaded adapters, which reports made earlier may still list.
	unloadedAt map[call.AdapterRef]time.Time
	// barred holds the adapters that a predecessor may still unload.
	barred map[call.AdapterRef]bool

	lastOrder     OrderID
	bootID        string
	lastPoll      uint64
	lastSequence  uint64
	lastNotBefore time.Time

	tenure tenure
}

// New returns the aggregate of an engine whose ownership this daemon has just
// acquired.
func New(config Config) *Engine {
	return &Engine{
		config:     config,
		slots:      make([]Slot, config.Slots),
		pins:       map[string]pin{},
		endedAt:    map[string]time.Time{},
		unloadedAt: map[call.AdapterRef]time.Time{},
		barred:     map[call.AdapterRef]bool{},
	}
}

// Slots returns a copy of the slots.
func (e *Engine) Slots() []Slot {
	return append([]Slot(nil), e.slots...)
}

// Running returns the number of calls that use or may use the engine.
func (e *Engine) Running() int {
	return len(e.pins)
}

// Fenced reports whether the engine has seen a newer owner's token.
func (e *Engine) Fenced() bool {
	return e.tenure.fenced
}

// Synced reports whether the slots reflect a report of this tenure.
func (e *Engine) Synced() bool {
	return e.tenure.synced
}

// BootID returns the identifier of the engine process that the slots describe.
func (e *Engine) BootID() string {
	return e.bootID
}

// find returns the slot that holds, or is being loaded with, the adapter.
func (e *Engine) find(adapter call.AdapterRef) *Slot {
	for i := range e.slots {
		if e.slots[i].State != Empty && e.slots[i].Adapter == adapter {
			return &e.slots[i]
		}
	}
	return nil
}

func (e *Engine) findOrder(order OrderID) *Slot {
	for i := range e.slots {
		if order != 0 && e.slots[i].Order == order {
			return &e.slots[i]
		}
	}
	return nil
}

// StateOf returns the state of the slot that holds the adapter, or Empty.
func (e *Engine) StateOf(adapter call.AdapterRef) State {
	if slot := e.find(adapter); slot != nil {
		return slot.State
	}
	return Empty
}
