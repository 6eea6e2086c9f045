package engine

import (
	"errors"
	"time"

	"github.com/barleylift/barleylift/internal/call"
)

// Config describes an engine to its aggregate.
type Config struct {
	// Slots is the number of adapters that the engine holds at once.
	Slots int
	// MaxRunning is the number of calls that may run at once.
	MaxRunning int
	// ChecksFencing tells that the engine refuses orders and calls with an old token.
	ChecksFencing bool
	// MaxDeliveryDelay is the longest time after the loss of a connection at which a
	// call or an order that was sent on it can still take effect.
	MaxDeliveryDelay time.Duration
	// PredecessorLeaseEnd is the moment from which a predecessor's lease has surely
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

	// since is the moment after which a report must be made to tell of the slot.
	since time.Time
	// sent is when the outstanding or last order was begun.
	sent time.Time
	// crossed tells that the engine restarted while the order was outstanding.
	crossed bool
	doubt   doubt
}

// doubt is the reason why a slot is Doubtful. It decides which report settles it.
type doubt int

const (
	// doubtLoad: the reply to a load was lost.
	doubtLoad doubt = iota
	// doubtUnload: the reply to an unload was lost, so it may yet be executed.
	doubtUnload
	// doubtContent: the engine's answers contradict what is known of the slot.
	doubtContent
)

// OrderID numbers the orders of one aggregate from 1; 0 means none.
type OrderID uint64

// Errors of refused transitions.
var (
	ErrNotReady = errors.New("the adapter is not confirmed at the engine")
	ErrBusy     = errors.New("the engine runs as many calls as it may")
	ErrFenced   = errors.New("the engine has a newer owner")
)

// pin is one call that uses or may use an adapter.
type pin struct {
	adapter call.AdapterRef
	// foreign tells that a predecessor dispatched the call.
	foreign bool
	lost    bool
	since   time.Time
}

// Engine is the aggregate of one engine.
type Engine struct {
	config Config
	slots  []Slot
	pins   map[string]pin
	// ended remembers calls that reports older than their end may still list.
	ended map[string]time.Time
	// unloaded remembers adapters that reports older than their unload may still list.
	unloaded map[call.AdapterRef]time.Time
	barred   map[call.AdapterRef]bool

	orders   OrderID
	boot     string
	poll     uint64
	sequence uint64
	seen     time.Time

	tenure tenure
}

// New returns the aggregate of an engine that this daemon has just come to own.
func New(config Config) *Engine {
	return &Engine{
		config:   config,
		slots:    make([]Slot, config.Slots),
		pins:     map[string]pin{},
		ended:    map[string]time.Time{},
		unloaded: map[call.AdapterRef]time.Time{},
		barred:   map[call.AdapterRef]bool{},
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

// Synced reports whether the slots are known from a report of this tenure.
func (e *Engine) Synced() bool {
	return e.tenure.synced
}

// BootID returns the identifier of the engine process that was last reported.
func (e *Engine) BootID() string {
	return e.boot
}

// find returns the slot that holds or is to hold the adapter.
func (e *Engine) find(adapter call.AdapterRef) *Slot {
	for i := range e.slots {
		if e.slots[i].State != Empty && e.slots[i].Adapter == adapter {
			return &e.slots[i]
		}
	}
	return nil
}

func (e *Engine) byOrder(order OrderID) *Slot {
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
