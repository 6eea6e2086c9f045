package mesh

// Delegation tells a coordinator how much of the sender's entitlement to the customers of a
// group the sender has delegated to it.
type Delegation struct {
	// To is the coordinator's incarnation; other processes ignore the message.
	To    int64 `cbor:"1,keyasint"`
	Group int   `cbor:"2,keyasint,omitempty"`
	// Share is the part of each customer's rate that the sender is entitled to.
	Share float64 `cbor:"3,keyasint"`
	// Total is the sum of share x time that the sender has delegated to that process, in
	// seconds.
	Total float64 `cbor:"4,keyasint"`
	// Version is that of the sender's configuration.
	Version int64 `cbor:"5,keyasint,omitempty"`
	// Since is how long all of the sender's entitlement has gone to that process, in
	// milliseconds; 0 if it goes elsewhere.
	Since int64 `cbor:"6,keyasint,omitempty"`
	// Revision is that up to which the sender's copy of the key-value service is complete.
	Revision int64 `cbor:"7,keyasint,omitempty"`
	// SentAt is a reading of the receiver's clock.Boot at which the message was not sent
	// yet, in milliseconds, from what the receiver's replies tell of its clock; 0 if unknown.
	SentAt int64 `cbor:"8,keyasint,omitempty"`
}

// QuotaState is a coordinator's reply to delegations.
type QuotaState struct {
	// SentAt is the coordinator's reading of clock.Boot, in milliseconds.
	SentAt int64 `cbor:"1,keyasint"`
	// Confirmed is the revision of the key-value service up to which the copies of all
	// VMs that may be entitled are complete, and Members the number of these VMs.
	Confirmed int64 `cbor:"2,keyasint,omitempty"`
	Members   int   `cbor:"3,keyasint,omitempty"`
	// Digest is that of the member keys in the coordinator's copy of the service, and Age
	// how long ago the service was asked for that state, in milliseconds.
	Digest uint64 `cbor:"4,keyasint,omitempty"`
	Age    int64  `cbor:"5,keyasint,omitempty"`
}

// QuotaAsk asks a coordinator for tokens of customers of a group. A repeated ask has the same
// Seq.
type QuotaAsk struct {
	Seq   uint64      `cbor:"1,keyasint"`
	Group int         `cbor:"2,keyasint,omitempty"`
	Needs []QuotaNeed `cbor:"3,keyasint"`
}

// QuotaNeed is what an ask wants for one customer: tokens for requests of the given costs, the
// most urgent first, and Extra tokens for the requests of the next 200 ms.
type QuotaNeed struct {
	Customer uint64  `cbor:"1,keyasint"`
	Costs    []int64 `cbor:"2,keyasint,omitempty"`
	Extra    int64   `cbor:"3,keyasint,omitempty"`
}

// QuotaGrant answers a QuotaAsk.
type QuotaGrant struct {
	Seq    uint64             `cbor:"1,keyasint"`
	Group  int                `cbor:"2,keyasint,omitempty"`
	Grants []QuotaGrantedNeed `cbor:"3,keyasint"`
}

// QuotaGrantedNeed grants the tokens of the first Admitted costs, and Extra tokens.
type QuotaGrantedNeed struct {
	Customer uint64 `cbor:"1,keyasint"`
	Admitted int    `cbor:"2,keyasint,omitempty"`
	Extra    int64  `cbor:"3,keyasint,omitempty"`
	// RetryAfter is when the customer has room for the next cost, in milliseconds; 0 if all
	// were admitted.
	RetryAfter int64 `cbor:"4,keyasint,omitempty"`
	// Level is the level of the token bucket after the grant.
	Level int64 `cbor:"5,keyasint,omitempty"`
}
