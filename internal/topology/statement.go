package topology

// Statement is what an upstream's answer says about later requests, whatever the
// answer is to.
type Statement struct {
	// Leaving is set if the process is about to end and wants no new requests.
	Leaving bool
	// Invalid describes a value that could not be decoded and is ignored; empty if
	// there is none.
	Invalid string
}
