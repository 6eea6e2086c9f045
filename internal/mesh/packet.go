package mesh

import "github.com/fxamacker/cbor/v2"

// maxPacket keeps a datagram within one frame of the link, in bytes.
const maxPacket = 1400

// Packet is one datagram. Exactly one of its parts is set.
type Packet struct {
	// From is the sending VM, and Boot its process.
	From   string  `cbor:"1,keyasint"`
	Boot   int64   `cbor:"2,keyasint"`
	Notice *Notice `cbor:"3,keyasint,omitempty"`
	Ask    *Ask    `cbor:"4,keyasint,omitempty"`
	News   *News   `cbor:"5,keyasint,omitempty"`
}

// Notice is what a daemon tells another one periodically.
type Notice struct {
	// StoreDown tells that the sender can't reach the key-value service.
	StoreDown bool `cbor:"1,keyasint,omitempty"`
	// Draining tells that the sender is about to end.
	Draining bool `cbor:"2,keyasint,omitempty"`
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
}

// EngineState is an engine as the daemon that orders it knows it.
type EngineState struct {
	Engine  string        `cbor:"1,keyasint"`
	Born    int64         `cbor:"2,keyasint,omitempty"`
	Orders  int64         `cbor:"3,keyasint,omitempty"`
	Running int           `cbor:"4,keyasint,omitempty"`
	Queue   int           `cbor:"5,keyasint,omitempty"`
	Held    []HeldAdapter `cbor:"6,keyasint,omitempty"`
}

// HeldAdapter is an adapter that serves requests.
type HeldAdapter struct {
	_       struct{} `cbor:",toarray"`
	Model   string
	Adapter string
	Version int64
}

// Ask asks the daemon that orders an engine for an adapter.
type Ask struct {
	Engine  string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint"`
	Adapter string `cbor:"3,keyasint"`
	Version int64  `cbor:"4,keyasint,omitempty"`
	// Weight is the value of the requests that wait.
	Weight float64 `cbor:"5,keyasint,omitempty"`
}

// News tells how an adapter stands that was asked for.
type News struct {
	Engine  string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint"`
	Adapter string `cbor:"3,keyasint"`
	Version int64  `cbor:"4,keyasint,omitempty"`
	Status  int    `cbor:"5,keyasint,omitempty"`
}

// encode returns the datagrams of a packet: one, or several if a notice is
// too large for one.
func encode(packet Packet) ([][]byte, error) {
	data, err := cbor.Marshal(packet)
	if err != nil {
		return nil, err
	}
	notice := packet.Notice
	if len(data) <= maxPacket || notice == nil || len(notice.Uses)+len(notice.States) < 2 {
		return [][]byte{data}, nil
	}
	first, second := *notice, *notice
	first.Uses, second.Uses = halves(notice.Uses)
	first.States, second.States = halves(notice.States)
	var datagrams [][]byte
	for _, half := range []*Notice{&first, &second} {
		part := packet
		part.Notice = half
		encoded, err := encode(part)
		if err != nil {
			return nil, err
		}
		datagrams = append(datagrams, encoded...)
	}
	return datagrams, nil
}

func halves[T any](list []T) (first, second []T) {
	middle := (len(list) + 1) / 2
	return list[:middle], list[middle:]
}
