package relay

import "github.com/barleylift/barleylift/internal/hop"

// attribution states to which sends a response may belong. An upstream may send
// a response a second time, late, so that it arrives as the response to a later
// request on the same connection.
type attribution string

const (
	// attributedByID is a response with the request's identifier on a connection
	// that has carried the request once.
	attributedByID attribution = "identified"
	// attributedByConnection is a response without an identifier on a connection
	// that has carried nothing else.
	attributedByConnection attribution = "only request on its connection"
	// ambiguousSend is a response with the request's identifier on a connection
	// that has carried the request more than once.
	ambiguousSend attribution = "request sent before on its connection"
	// ambiguousRequest is a response without an identifier on a connection that
	// has carried other requests.
	ambiguousRequest attribution = "no identifier on a reused connection"
)

// attribute states to which sends a response with the given identifier may
// belong. earlier holds the connections of the request's earlier sends.
func attribute(responseID string, conn hop.ConnID, reused bool, earlier []hop.ConnID) attribution {
	for _, c := range earlier {
		if c == conn {
			return ambiguousSend
		}
	}
	switch {
	case responseID != "":
		return attributedByID
	case reused:
		return ambiguousRequest
	default:
		return attributedByConnection
	}
}
