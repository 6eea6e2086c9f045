package peer

import "fmt"

// ErrorKind classifies failed calls by what is known about their effect.
type ErrorKind int

// The kinds of failures.
const (
	// NotSent means that the peer received no part of the call.
	NotSent ErrorKind = iota
	// Lost means that the connection or the stream ended before the call did.
	Lost
	// Malformed means that a message could not be decoded or was too large.
	Malformed
)

// String returns the name of the kind.
func (k ErrorKind) String() string {
	switch k {
	case NotSent:
		return "not sent"
	case Lost:
		return "lost"
	default:
		return "malformed"
	}
}

// Error is a failed call to or from a peer.
type Error struct {
	Kind    ErrorKind
	Address string
	Err     error
}

// Error describes the kind, the peer and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("peer %s: %s: %v", e.Address, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
