package mesh

import "github.com/fxamacker/cbor/v2"

// maxDatagramSize keeps a datagram within one frame of the link, in bytes.
const maxDatagramSize = 1400

// Packet is one datagram. Exactly one of its parts is set.
type Packet struct {
	// From is the sending VM, and Boot its process.
	From              string             `cbor:"1,keyasint"`
	Incarnation       int64              `cbor:"2,keyasint"`
	Heartbeat         *Heartbeat         `cbor:"3,keyasint,omitempty"`
	AdmissionRequest  *AdmissionRequest  `cbor:"4,keyasint,omitempty"`
	AdmissionStatus   *AdmissionStatus   `cbor:"5,keyasint,omitempty"`
	AdmissionProgress *AdmissionProgress `cbor:"6,keyasint,omitempty"`
	// Changes are changes of the key-value service that the sender has seen.
	Changes []Change `cbor:"8,keyasint,omitempty"`
}

// Heartbeat is what a daemon tells another one periodically.
type Heartbeat struct {
	// StoreDown tells that the sender can't reach the key-value service.
	StoreDown bool `cbor:"1,keyasint,omitempty"`
	// Draining tells that the sender is about to end.
	Draining bool `cbor:"2,keyasint,omitempty"`
	// SentAt is the sender's clock when it sent the notice.
	SentAt int64 `cbor:"5,keyasint,omitempty"`
	// MayOrder tells that the sender gives orders to engines.
	MayOrder bool `cbor:"6,keyasint,omitempty"`
	// ConfirmedEngines lists engines that the receiver owned in the key-value service
	// after its notice with the stamp Echo had reached the sender.
	ConfirmedEngines []string `cbor:"7,keyasint,omitempty"`
	EchoedSentAt     int64    `cbor:"8,keyasint,omitempty"`
	// Uses is the sender's use of engines that the receiver orders.
	Uses []EngineUse `cbor:"3,keyasint,omitempty"`
	// States is the state of engines that the sender orders.
	States []EngineState `cbor:"4,keyasint,omitempty"`
}

// EngineUse is one entry's use of an engine since its last notice.
type EngineUse struct {
	Engine   string       `cbor:"1,keyasint"`
	Running  int          `cbor:"2,keyasint,omitempty"`
	Adapters []AdapterUse `cbor:"3,keyasint,omitempty"`
}

// AdapterUse is one adapter's part of an EngineUse.
type AdapterUse struct {
	_       struct{} `cbor:",toarray"`
	Model   string
	Adapter string
	Count   int
	Running int
	Turned  int
}

// EngineState is an engine as the daemon that orders it knows it.
type EngineState struct {
	Engine       string        `cbor:"1,keyasint"`
	Incarnation  int64         `cbor:"2,keyasint,omitempty"`
	Running      int           `cbor:"4,keyasint,omitempty"`
	PendingLoads int           `cbor:"5,keyasint,omitempty"`
	Held         []HeldAdapter `cbor:"6,keyasint,omitempty"`
	Waiting      int           `cbor:"7,keyasint,omitempty"`
}

// HeldAdapter is an adapter that serves requests.
type HeldAdapter struct {
	_       struct{} `cbor:",toarray"`
	Model   string
	Adapter string
	Version int64
}

// AdmissionRequest asks the daemon that orders an engine for a turn to begin a request, or
// without a ticket for an adapter only. Times are in milliseconds from now.
type AdmissionRequest struct {
	Engine         string `cbor:"1,keyasint"`
	Ticket         uint64 `cbor:"2,keyasint,omitempty"`
	Model          string `cbor:"3,keyasint"`
	Adapter        string `cbor:"4,keyasint,omitempty"`
	Version        int64  `cbor:"5,keyasint,omitempty"`
	Tokens         int    `cbor:"6,keyasint,omitempty"`
	Rank           int    `cbor:"7,keyasint,omitempty"`
	PauseObjective int64  `cbor:"8,keyasint,omitempty"`
	Due            int64  `cbor:"9,keyasint,omitempty"`
	Expires        int64  `cbor:"10,keyasint,omitempty"`
}

// AdmissionStatus tells how a request stands that asked for a turn.
type AdmissionStatus struct {
	Engine string `cbor:"1,keyasint"`
	Ticket uint64 `cbor:"2,keyasint"`
	Status int    `cbor:"3,keyasint,omitempty"`
	// Waiting is the number of requests that wait for their turn there.
	Waiting int `cbor:"4,keyasint,omitempty"`
}

// AdmissionProgress tells that a request's turn is over.
type AdmissionProgress struct {
	Engine string `cbor:"1,keyasint"`
	Ticket uint64 `cbor:"2,keyasint"`
	// Refused tells that the engine refused the request, because it does not
	// hold what its owner believes.
	Refused bool `cbor:"3,keyasint,omitempty"`
	// Ended tells that the request itself has ended.
	Ended bool `cbor:"4,keyasint,omitempty"`
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

// encode returns the datagrams of a packet: one, or several if a notice is
// too large for one.
func encode(packet Packet) ([][]byte, error) {
	data, err := cbor.Marshal(packet)
	if err != nil {
		return nil, err
	}
	notice := packet.Heartbeat
	if len(data) <= maxDatagramSize || notice == nil || len(notice.Uses)+len(notice.States) < 2 {
		return [][]byte{data}, nil
	}
	first, second := splitHeartbeat(*notice)
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

// splitHeartbeat divides what a notice lists between two. Both get less than all of it,
// if it lists two things or more.
func splitHeartbeat(notice Heartbeat) (first, second Heartbeat) {
	first, second = notice, notice
	if len(notice.Uses) > 0 && len(notice.States) > 0 {
		first.States, second.Uses = nil, nil
		return first, second
	}
	first.Uses, second.Uses = halves(notice.Uses)
	first.States, second.States = halves(notice.States)
	return first, second
}

func halves[T any](list []T) (first, second []T) {
	middle := (len(list) + 1) / 2
	return list[:middle], list[middle:]
}
