package locate

import (
	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/placement"
)

// locateRequest asks an adapter's home for the engines to try.
type locateRequest struct {
	Adapter call.AdapterRef `cbor:"1,keyasint"`
	// Calls is the number of calls that the sender has routed since its previous
	// request, including the current one.
	Calls int `cbor:"2,keyasint"`
}

// locateReply lists the engines to try, best first. It is empty if the daemon is
// not the adapter's home.
type locateReply struct {
	Engines []string `cbor:"1,keyasint"`
}

// loadRequest asks the owner of engines for their load.
type loadRequest struct {
	Adapter call.AdapterRef `cbor:"1,keyasint"`
	Engines []string        `cbor:"2,keyasint"`
}

// loadReply holds the loads of those engines that the daemon owns.
type loadReply struct {
	Loads []placement.EngineLoad `cbor:"1,keyasint"`
}
