package dissemination

import (
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/mesh"
)

// Config holds the dependencies of a Router.
type Config struct {
	// VM and Incarnation are those of this process.
	VM          string
	Incarnation int64
	// Send sends a packet to another VM's daemon. It does not report whether it arrives.
	Send func(vm string, packet mesh.Packet)
	// Answers reports whether a reply answers an exchange that this process requested of
	// the VM; see Coordinators.RecordReply.
	Answers func(vm string, echoedSentAt time.Duration) bool
	// CountDropped counts the entries that are dropped as malformed or too large, by kind;
	// it may be nil.
	CountDropped func(kind uint32)
	Log          *slog.Logger
}

// handler handles entries of one kind.
type handler func(from Sender, body []byte) error

// producer produces the entries of one kind for requests or for replies.
type producer[T any] struct {
	kind    uint32
	produce func(to T) []mesh.Entry
}

// Router passes entries to their handlers and sends entries. It is safe for concurrent use.
// Handlers, producers and needs are registered before entries are received or sent.
type Router struct {
	config   Config
	log      *slog.Logger
	limit    int
	handlers map[uint32]handler
	requests []producer[Coordinator]
	replies  []producer[Sender]
	needs    []func() bool

	mu sync.Mutex // guards the fields below, which bound the log lines of dropped entries
	// dropped counts the dropped entries since dropLoggedAt.
	dropped      int
	dropLoggedAt time.Time
}

// NewRouter returns a Router without handlers.
func NewRouter(config Config) (*Router, error) {
	if config.VM == "" || config.Send == nil || config.Answers == nil || config.Log == nil {
		return nil, errors.New("dissemination: VM, Send, Answers and Log are required")
	}
	if config.CountDropped == nil {
		config.CountDropped = func(uint32) {}
	}
	return &Router{
		config: config, log: config.Log.With("part", "dissemination"), limit: mesh.MaxDatagramSize - packetOverhead - len(config.VM),
		handlers: make(map[uint32]handler),
	}, nil
}

// Handle registers the handler of a kind. It must not block. An error means that the body is
// malformed; the entry is then counted as dropped.
func (r *Router) Handle(kind uint32, handle func(from Sender, body []byte) error) {
	if r.handlers[kind] != nil {
		panic("dissemination: a kind has two handlers")
	}
	r.handlers[kind] = handle
}

// ProduceRequests registers what produces the entries of a kind in exchanges with a
// coordinator.
func (r *Router) ProduceRequests(kind uint32, produce func(to Coordinator) []mesh.Entry) {
	r.requests = append(r.requests, producer[Coordinator]{kind, produce})
	slices.SortStableFunc(r.requests, func(a, b producer[Coordinator]) int { return int(a.kind) - int(b.kind) })
}

// ProduceReplies registers what produces the entries of a kind in replies to exchanges.
func (r *Router) ProduceReplies(kind uint32, produce func(to Sender) []mesh.Entry) {
	r.replies = append(r.replies, producer[Sender]{kind, produce})
	slices.SortStableFunc(r.replies, func(a, b producer[Sender]) int { return int(a.kind) - int(b.kind) })
}

// AddNeed registers a condition under which exchanges run.
func (r *Router) AddNeed(need func() bool) {
	r.needs = append(r.needs, need)
}

// Needed reports whether exchanges are to run.
func (r *Router) Needed() bool {
	return slices.ContainsFunc(r.needs, func(need func() bool) bool { return need() })
}

// Send sends entries to a VM at once, in as few datagrams as they need. Those to this VM
// reach the handlers from another goroutine.
func (r *Router) Send(vm string, entries ...mesh.Entry) {
	if len(entries) == 0 {
		return
	}
	if vm == r.config.VM {
		go r.dispatch(r.self(), entries)
		return
	}
	for _, list := range r.pack(entries) {
		r.config.Send(vm, mesh.Packet{Entries: list})
	}
}

// Request begins an exchange: with a coordinator, or for freshness only with any other VM.
// The exchange with this VM itself ends with it.
func (r *Router) Request(ask Ask) {
	var entries []mesh.Entry
	if !ask.FreshnessOnly {
		for _, p := range r.requests {
			entries = append(entries, p.produce(ask.To)...)
		}
	}
	if ask.To.VM == r.config.VM {
		r.dispatch(r.self(), entries)
		from := r.self()
		from.AskedAt = ask.SentAt
		r.dispatch(from, r.replyEntries(r.self(), ask.FreshnessOnly))
		return
	}
	first, rest := r.packFirst(entries)
	r.config.Send(ask.To.VM, mesh.Packet{ExchangeRequest: &mesh.ExchangeRequest{SentAt: int64(ask.SentAt), Entries: first, FreshnessOnly: ask.FreshnessOnly}})
	for _, list := range rest {
		r.config.Send(ask.To.VM, mesh.Packet{Entries: list})
	}
}

// Receive handles a packet if it has entries or belongs to an exchange.
func (r *Router) Receive(packet mesh.Packet) {
	from := Sender{VM: packet.From, Incarnation: packet.Incarnation}
	switch {
	case packet.ExchangeRequest != nil:
		r.dispatch(from, packet.ExchangeRequest.Entries)
		r.reply(from, packet.ExchangeRequest)
	case packet.ExchangeReply != nil:
		if echoed := time.Duration(packet.ExchangeReply.EchoedSentAt); r.config.Answers(from.VM, echoed) {
			from.AskedAt = echoed
		}
		r.dispatch(from, packet.ExchangeReply.Entries)
	default:
		r.dispatch(from, packet.Entries)
	}
}

func (r *Router) reply(to Sender, request *mesh.ExchangeRequest) {
	first, rest := r.packFirst(r.replyEntries(to, request.FreshnessOnly))
	r.config.Send(to.VM, mesh.Packet{ExchangeReply: &mesh.ExchangeReply{EchoedSentAt: request.SentAt, Entries: first}})
	for _, list := range rest {
		r.config.Send(to.VM, mesh.Packet{Entries: list})
	}
}

func (r *Router) replyEntries(to Sender, freshnessOnly bool) []mesh.Entry {
	var entries []mesh.Entry
	for _, p := range r.replies {
		if !freshnessOnly || p.kind == KindConfigState {
			entries = append(entries, p.produce(to)...)
		}
	}
	return entries
}

func (r *Router) self() Sender {
	return Sender{VM: r.config.VM, Incarnation: r.config.Incarnation}
}

// dispatch passes entries to the handlers of their kinds. It skips kinds without a handler.
func (r *Router) dispatch(from Sender, entries []mesh.Entry) {
	for _, entry := range entries {
		handle := r.handlers[entry.Kind]
		if handle == nil {
			continue
		}
		if err := handle(from, entry.Body); err != nil {
			r.recordDrop(entry.Kind, "from", from.VM, "error", err)
		}
	}
}

// packFirst packs entries into the first datagram and the others.
func (r *Router) packFirst(entries []mesh.Entry) (first []mesh.Entry, rest [][]mesh.Entry) {
	lists := r.pack(entries)
	if len(lists) == 0 {
		return nil, nil
	}
	return lists[0], lists[1:]
}

func (r *Router) pack(entries []mesh.Entry) [][]mesh.Entry {
	lists, tooLarge := pack(entries, r.limit)
	if tooLarge > 0 {
		r.recordDrop(entries[0].Kind, "too_large", tooLarge)
	}
	return lists
}

// dropLogInterval is the least time between two log lines on dropped entries.
const dropLogInterval = 10 * time.Second

// recordDrop counts a dropped entry and logs it, if the last line is old enough.
func (r *Router) recordDrop(kind uint32, attributes ...any) {
	r.config.CountDropped(kind)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropped++
	if now := time.Now(); r.dropLoggedAt.IsZero() || now.Sub(r.dropLoggedAt) >= dropLogInterval {
		r.log.Warn("entries dropped", append([]any{"kind", kind, "count", r.dropped}, attributes...)...)
		r.dropped, r.dropLoggedAt = 0, now
	}
}
