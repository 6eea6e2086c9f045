package mesh

import "github.com/fxamacker/cbor/v2"

// MaxDatagramSize keeps a datagram within one link-layer frame, in bytes.
const MaxDatagramSize = 1400

// Packet is one datagram. Exactly one message is set.
type Packet struct {
	// From is the sending VM, and Incarnation identifies its process.
	From              string             `cbor:"1,keyasint"`
	Incarnation       int64              `cbor:"2,keyasint"`
	Heartbeat         *Heartbeat         `cbor:"3,keyasint,omitempty"`
	AdmissionRequest  *AdmissionRequest  `cbor:"4,keyasint,omitempty"`
	AdmissionStatus   *AdmissionStatus   `cbor:"5,keyasint,omitempty"`
	AdmissionProgress *AdmissionProgress `cbor:"6,keyasint,omitempty"`
	// Changes are changes of the key-value service that the sender has received.
	Changes []Change `cbor:"8,keyasint,omitempty"`
	// Checkpoint is a watcher's state of the key-value service.
	Checkpoint *Checkpoint `cbor:"9,keyasint,omitempty"`
	// AdapterReady answers a load request for an adapter that is ready.
	AdapterReady *AdapterReady `cbor:"10,keyasint,omitempty"`
	// TurnRequest and TurnGrant are about requests to upstreams with a rate limit
	// that have no owner.
	TurnRequest *TurnRequest `cbor:"11,keyasint,omitempty"`
	TurnGrant   *TurnGrant   `cbor:"12,keyasint,omitempty"`
	// Origin, OriginQuery and OriginAnswer are about the software versions that
	// began streams.
	Origin       *Origin       `cbor:"13,keyasint,omitempty"`
	OriginQuery  *OriginQuery  `cbor:"14,keyasint,omitempty"`
	OriginAnswer *OriginAnswer `cbor:"15,keyasint,omitempty"`
	EngineCrash  *EngineCrash  `cbor:"16,keyasint,omitempty"`
	// UpstreamPause keeps all daemons from an upstream for a moment.
	UpstreamPause *UpstreamPause `cbor:"17,keyasint,omitempty"`
	// Entries are typed entries of the dissemination between daemons.
	Entries []Entry `cbor:"18,keyasint,omitempty"`
	// ExchangeRequest and ExchangeReply are the periodic exchange with a coordinator.
	ExchangeRequest *ExchangeRequest `cbor:"19,keyasint,omitempty"`
	ExchangeReply   *ExchangeReply   `cbor:"20,keyasint,omitempty"`
}

// Entry is one typed entry of the dissemination. A receiver skips kinds that it doesn't
// know. Body is the CBOR encoding of the kind's message.
type Entry struct {
	Kind uint32 `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint,omitempty"`
}

// ExchangeRequest begins an exchange with a coordinator. SentAt is the sender's reading of
// clock.Boot, in nanoseconds.
type ExchangeRequest struct {
	SentAt  int64   `cbor:"1,keyasint"`
	Entries []Entry `cbor:"2,keyasint,omitempty"`
	// FreshnessOnly is set if the receiver is not a coordinator and is asked for the
	// freshness of its configuration alone.
	FreshnessOnly bool `cbor:"3,keyasint,omitempty"`
}

// ExchangeReply answers an ExchangeRequest. EchoedSentAt is the request's SentAt.
type ExchangeReply struct {
	EchoedSentAt int64   `cbor:"1,keyasint"`
	Entries      []Entry `cbor:"2,keyasint,omitempty"`
}

// UpstreamPause says that a fragile process of an upstream has refused a request, how long
// all daemons keep from it, in milliseconds, and how many refusals a second the upstreams of
// the service bear.
type UpstreamPause struct {
	_           struct{} `cbor:",toarray"`
	Upstream    string
	Incarnation int64
	Length      int64
	Service     string
	MaxRefusals int
}

// EngineCrash says that an engine's process has ended, Age milliseconds ago, and which
// requests of the sender were there.
type EngineCrash struct {
	Engine      string         `cbor:"1,keyasint"`
	Incarnation int64          `cbor:"2,keyasint,omitempty"`
	Age         int64          `cbor:"3,keyasint,omitempty"`
	Suspects    []CrashSuspect `cbor:"4,keyasint"`
	// Requests lists the requests themselves, by their fingerprints. A daemon that doesn't
	// know of these reads Suspects alone.
	Requests []uint64 `cbor:"5,keyasint,omitempty"`
	// HeldFor is how long the engine had the suspects, in milliseconds; 0 if unknown.
	HeldFor int64 `cbor:"6,keyasint,omitempty"`
	// AnsweredParts lists the parts of Suspects that engines are known to have answered
	// before.
	AnsweredParts []PartAge `cbor:"7,keyasint,omitempty"`
}

// CrashSuspect is a request by the parts of its prompt. Source is the last part. Begun
// is set if the engine had begun to answer the request.
type CrashSuspect struct {
	_      struct{} `cbor:",toarray"`
	Source uint64
	Parts  []uint64
	Begun  bool
}

// PartAge is a prompt part, and how long ago something became known of it, in
// milliseconds.
type PartAge struct {
	_    struct{} `cbor:",toarray"`
	Part uint64
	Age  int64
}

// RequestAge is a request by its fingerprint, and how long ago something became known of
// it, in milliseconds.
type RequestAge struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	Age         int64  `cbor:"2,keyasint,omitempty"`
}

// Origin says which software version began the stream of a caller's request. The
// receiver keeps it for TTL seconds.
type Origin struct {
	_               struct{} `cbor:",toarray"`
	Request         string
	SoftwareVersion string
	TTL             int64
}

// OriginQuery asks which software version began the stream of a request.
type OriginQuery struct {
	_       struct{} `cbor:",toarray"`
	Request string
}

// OriginAnswer answers an OriginQuery. From is not sent: it is the packet's sender.
type OriginAnswer struct {
	From            string `cbor:"-"`
	Request         string `cbor:"1,keyasint"`
	SoftwareVersion string `cbor:"2,keyasint,omitempty"`
	Known           bool   `cbor:"3,keyasint,omitempty"`
}

// RateLimit is what the sender knows of the rate limit of an upstream's process:
// requests a second, if Limited is set. SentAge and ReceivedAge are the ages of the
// request and of the answer that said so, in milliseconds.
type RateLimit struct {
	_           struct{} `cbor:",toarray"`
	Incarnation int64
	Rate        float64
	Limited     bool
	SentAge     int64
	ReceivedAge int64
}

// TurnRequest asks for the turn of one request to an upstream. MaxWait is how long
// the request can wait, in milliseconds.
type TurnRequest struct {
	Upstream  string     `cbor:"1,keyasint"`
	Ticket    uint64     `cbor:"2,keyasint"`
	RateLimit *RateLimit `cbor:"3,keyasint"`
	MaxWait   int64      `cbor:"4,keyasint,omitempty"`
}

// TurnGrant answers a TurnRequest. The request may be sent after Wait, in
// milliseconds, or if it is not granted, the upstream has room after Wait.
type TurnGrant struct {
	Upstream string `cbor:"1,keyasint"`
	Ticket   uint64 `cbor:"2,keyasint"`
	Granted  bool   `cbor:"3,keyasint,omitempty"`
	Wait     int64  `cbor:"4,keyasint,omitempty"`
}

// AdapterReady says that an engine serves an adapter in the version or a newer
// one.
type AdapterReady struct {
	Engine  string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint"`
	Adapter string `cbor:"3,keyasint"`
	Version int64  `cbor:"4,keyasint,omitempty"`
}

// Checkpoint summarizes a watcher's copy of the key-value service.
type Checkpoint struct {
	// Revision is the one up to which the copy is complete.
	Revision int64 `cbor:"1,keyasint"`
	// Digest is that of all but the engines' periodic updates.
	Digest uint64 `cbor:"2,keyasint"`
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion int64 `cbor:"3,keyasint,omitempty"`
	// Age is how long ago the watcher asked for that state, in milliseconds.
	Age int64 `cbor:"4,keyasint,omitempty"`
}

// Heartbeat is sent periodically to other daemons.
type Heartbeat struct {
	// StoreDown is set when the sender can't reach the key-value service.
	StoreDown bool `cbor:"1,keyasint,omitempty"`
	// Draining is set when the sender is about to stop.
	Draining bool `cbor:"2,keyasint,omitempty"`
	// SentAt is the sender's reading of clock.Boot when it sent the heartbeat, in
	// nanoseconds.
	SentAt int64 `cbor:"5,keyasint,omitempty"`
	// MayOrder is set when the sender may send orders to an engine.
	MayOrder bool `cbor:"6,keyasint,omitempty"`
	// ConfirmedEngines lists engines that the receiver owned according to the
	// key-value service after its heartbeat with SentAt equal to EchoedSentAt had
	// reached the sender.
	ConfirmedEngines []string `cbor:"7,keyasint,omitempty"`
	EchoedSentAt     int64    `cbor:"8,keyasint,omitempty"`
	// CopyRevision is the revision up to which the sender's copy of the key-value service
	// is complete, if ConfirmedEngines lists engines that the receiver owned by then and
	// EchoedSentAt is 0.
	CopyRevision int64 `cbor:"16,keyasint,omitempty"`
	// NewestClaim is the highest revision of an engine's record that the sender knows of,
	// and LacksClaims is set if its copy may lack a record up to there. They are set with
	// StoreDown only.
	NewestClaim int64 `cbor:"17,keyasint,omitempty"`
	LacksClaims bool  `cbor:"18,keyasint,omitempty"`
	// NewestSoftware is the highest revision that the sender knows of at which an upstream's
	// process registered, or a record of software versions changed. It is set with StoreDown
	// only.
	NewestSoftware int64 `cbor:"19,keyasint,omitempty"`
	// CutOff is set while the sender reaches no upstream.
	CutOff bool `cbor:"12,keyasint,omitempty"`
	// Leaving lists processes of upstreams that have lately said in an answer that
	// they leave.
	Leaving []Process `cbor:"9,keyasint,omitempty"`
	// BlockedParts lists prompt parts whose requests reach no engine, as engines crash
	// on them, and AnsweredParts suspected ones to which engines have begun an answer
	// and gone on.
	BlockedParts  []PartAge `cbor:"10,keyasint,omitempty"`
	AnsweredParts []PartAge `cbor:"11,keyasint,omitempty"`
	// BlockedRequests and AnsweredRequests are the same for whole requests.
	BlockedRequests  []RequestAge `cbor:"13,keyasint,omitempty"`
	AnsweredRequests []RequestAge `cbor:"14,keyasint,omitempty"`
	// NotFresh is set while the sender's proof that its configuration is the newest is too
	// old for it to be listed to callers.
	NotFresh bool `cbor:"15,keyasint,omitempty"`
	// Uses lists the sender's use of engines that the receiver owns.
	Uses []EngineUse `cbor:"3,keyasint,omitempty"`
	// States lists the states of engines that the sender owns.
	States []EngineState `cbor:"4,keyasint,omitempty"`
}

// Process identifies a process of an upstream.
type Process struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation int64
}

// EngineUse is one entry's use of an engine since its last heartbeat.
type EngineUse struct {
	Engine   string       `cbor:"1,keyasint"`
	Running  int          `cbor:"2,keyasint,omitempty"`
	Adapters []AdapterUse `cbor:"3,keyasint,omitempty"`
}

// AdapterUse is one adapter's part of an EngineUse. Count is the number of
// requests sent, Running that of running requests without admission, and Turned
// that of running requests with admission.
type AdapterUse struct {
	_       struct{} `cbor:",toarray"`
	Model   string
	Adapter string
	Count   int
	Running int
	Turned  int
}

// EngineState is the state of an engine as its owner knows it. WaitingWork is the time
// that the engine needs for the prompts that it has yet to prefill, in milliseconds, and
// PrefillPerToken the time for one of their tokens, in nanoseconds; 0 if the owner is of a
// build that doesn't report them.
type EngineState struct {
	Engine       string        `cbor:"1,keyasint"`
	Incarnation  int64         `cbor:"2,keyasint,omitempty"`
	Running      int           `cbor:"4,keyasint,omitempty"`
	PendingLoads int           `cbor:"5,keyasint,omitempty"`
	Held         []HeldAdapter `cbor:"6,keyasint,omitempty"`
	Waiting      int           `cbor:"7,keyasint,omitempty"`
	RateLimit    *RateLimit    `cbor:"8,keyasint,omitempty"`

	WaitingWork     int64 `cbor:"9,keyasint,omitempty"`
	PrefillPerToken int64 `cbor:"10,keyasint,omitempty"`
}

// HeldAdapter is an adapter that serves requests.
type HeldAdapter struct {
	_       struct{} `cbor:",toarray"`
	Model   string
	Adapter string
	Version int64
}

// AdmissionRequest asks the owner of an engine to admit a request, or without a
// ticket only to load an adapter. FirstEventDue and Deadline are in milliseconds
// from now, PauseObjective is in milliseconds. Priority 0 is the most urgent. TurnBy
// is how long the request waits at an engine with a rate limit, in milliseconds.
type AdmissionRequest struct {
	Engine         string `cbor:"1,keyasint"`
	Ticket         uint64 `cbor:"2,keyasint,omitempty"`
	Model          string `cbor:"3,keyasint"`
	Adapter        string `cbor:"4,keyasint,omitempty"`
	Version        int64  `cbor:"5,keyasint,omitempty"`
	PromptTokens   int    `cbor:"6,keyasint,omitempty"`
	Priority       int    `cbor:"7,keyasint,omitempty"`
	PauseObjective int64  `cbor:"8,keyasint,omitempty"`
	FirstEventDue  int64  `cbor:"9,keyasint,omitempty"`
	Deadline       int64  `cbor:"10,keyasint,omitempty"`
	TurnBy         int64  `cbor:"11,keyasint,omitempty"`

	RateLimit *RateLimit `cbor:"12,keyasint,omitempty"`

	// Customer is the xxhash of the customer's name, and Weight its share of capacity
	// relative to others; 0 without a customer.
	Customer uint64  `cbor:"13,keyasint,omitempty"`
	Weight   float64 `cbor:"14,keyasint,omitempty"`
	// Resumes is set if the request goes on with a stream. Earlier builds don't set it.
	Resumes bool `cbor:"15,keyasint,omitempty"`
}

// AdmissionStatus is the status of an admission request.
type AdmissionStatus struct {
	Engine string `cbor:"1,keyasint"`
	Ticket uint64 `cbor:"2,keyasint"`
	Status int    `cbor:"3,keyasint,omitempty"`
	// Waiting is the number of requests that wait for room in the engine's batch.
	Waiting int `cbor:"4,keyasint,omitempty"`
	// Incarnation is that of the engine's process, as its owner knows it.
	Incarnation int64 `cbor:"6,keyasint,omitempty"`
	// RoomIn is when the engine's rate limit leaves room for another request, or the engine
	// has room for one that would be too late now, in milliseconds.
	RoomIn int64 `cbor:"5,keyasint,omitempty"`
	// WaitingWork and PrefillPerToken are those of EngineState.
	WaitingWork     int64 `cbor:"7,keyasint,omitempty"`
	PrefillPerToken int64 `cbor:"8,keyasint,omitempty"`
}

// AdmissionProgress reports on a request that was admitted.
type AdmissionProgress struct {
	Engine string `cbor:"1,keyasint"`
	Ticket uint64 `cbor:"2,keyasint"`
	// Refused is set when the engine refused the request, because it lacks the
	// adapter that its owner expected it to hold.
	Refused bool `cbor:"3,keyasint,omitempty"`
	// Ended is set when the request itself has ended.
	Ended     bool       `cbor:"4,keyasint,omitempty"`
	RateLimit *RateLimit `cbor:"5,keyasint,omitempty"`
}

// Change is a change of one key of the key-value service.
type Change struct {
	Key            string `cbor:"1,keyasint"`
	Value          []byte `cbor:"2,keyasint,omitempty"`
	CreateRevision int64  `cbor:"3,keyasint,omitempty"`
	ModRevision    int64  `cbor:"4,keyasint"`
	Lease          int64  `cbor:"5,keyasint,omitempty"`
	Deleted        bool   `cbor:"6,keyasint,omitempty"`
}

// encode returns the datagrams of a packet: one, or several if a heartbeat is
// too large for one.
func encode(packet Packet) ([][]byte, error) {
	data, err := cbor.Marshal(packet)
	if err != nil {
		return nil, err
	}
	heartbeat := packet.Heartbeat
	if len(data) <= MaxDatagramSize || heartbeat == nil || len(heartbeat.Uses)+len(heartbeat.States) < 2 {
		return [][]byte{data}, nil
	}
	first, second := splitHeartbeat(*heartbeat)
	var datagrams [][]byte
	for _, half := range []*Heartbeat{&first, &second} {
		part := packet
		part.Heartbeat = half
		encoded, err := encode(part)
		if err != nil {
			return nil, err
		}
		datagrams = append(datagrams, encoded...)
	}
	return datagrams, nil
}

// splitHeartbeat divides the uses and states of a heartbeat between two. If
// there are at least two of them, each half gets at least one.
func splitHeartbeat(heartbeat Heartbeat) (first, second Heartbeat) {
	first, second = heartbeat, heartbeat
	if len(heartbeat.Uses) > 0 && len(heartbeat.States) > 0 {
		first.States, second.Uses = nil, nil
		return first, second
	}
	first.Uses, second.Uses = halves(heartbeat.Uses)
	first.States, second.States = halves(heartbeat.States)
	return first, second
}

func halves[T any](list []T) (first, second []T) {
	middle := (len(list) + 1) / 2
	return list[:middle], list[middle:]
}
