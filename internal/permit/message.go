package permit

import "github.com/barleylift/barleylift/internal/call"

// requestMessage is the client's message on a permit stream: the first registers
// the request, later ones update its pressure or renew the lease of its permit.
type requestMessage struct {
	Store    string          `cbor:"1,keyasint"`
	ID       string          `cbor:"2,keyasint"`
	Engine   string          `cbor:"3,keyasint"`
	Adapter  call.AdapterRef `cbor:"4,keyasint"`
	Pressure float64         `cbor:"5,keyasint"`
	// Held is set if a previous granter already granted the permit.
	Held bool `cbor:"6,keyasint"`
}

// verdict is the granter's decision on a request.
type verdict int

const (
	// verdictGranted grants the permit until the stream ends.
	verdictGranted verdict = iota + 1
	// verdictNotOwner means that this daemon does not grant for the store.
	verdictNotOwner
)

// verdictMessage is the granter's message on a permit stream.
type verdictMessage struct {
	Verdict verdict `cbor:"1,keyasint"`
}
