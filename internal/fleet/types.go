package fleet

import (
	"encoding/json"
	"time"
)

// The keys of a fleet, relative to the product's prefix.
const (
	memberPrefix = "members/"
	enginePrefix = "engines/"
)

// Member is what a daemon announces of itself.
type Member struct {
	// Name is the VM's name.
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Entry is where callers connect, as IP:port.
	Entry string `json:"entry"`
	// Mesh is where other daemons send datagrams to, as IP:port.
	Mesh string `json:"mesh"`
	// Incarnation names the process: the Unix time of its start in milliseconds.
	Incarnation int64 `json:"boot"`
	// Cores is the processor time that the VM may use, in cores; 0 if unknown.
	Cores float64 `json:"cores,omitempty"`
	// Draining tells that the daemon is about to end.
	Draining bool `json:"draining,omitempty"`
}

// record is the value of an engine's key.
type record struct {
	// Member is the VM whose daemon orders the engine.
	Member      string `json:"member"`
	Incarnation int64  `json:"boot"`
	// Predecessor is the VM whose daemon ordered the engine before, until the quiet
	// time after it is known to be over: a restart meanwhile begins it anew.
	Predecessor string `json:"after,omitempty"`
	// PredecessorLost tells that that daemon did not announce its end.
	PredecessorLost bool `json:"lost,omitempty"`
}

// Token is a fencing token: the revision of an engine's key.
type Token int64

// Timing holds the time constants of a fleet.
type Timing struct {
	// LeaseTTL is how long a daemon's lease outlives its last renewal.
	LeaseTTL time.Duration
	// QuietTime is how long an engine must have got no order from one daemon
	// before another one may order it.
	QuietTime time.Duration
}

// DefaultLeaseTTL bounds how long a lost daemon is listed. Shorter freezes and
// restarts leave its engines with it.
const DefaultLeaseTTL = 3 * time.Second

// Time constants of a fleet.
const (
	// settleDelay is how long a member key must have been absent before its
	// engines are claimed: a daemon whose lease lapsed with the service is
	// back soon. One that still gives orders is left alone anyway.
	settleDelay = 700 * time.Millisecond
	// startDelay is kept after the first read before engines of others are
	// claimed: daemons that start together are not all known at first.
	startDelay = 1500 * time.Millisecond
	// rankStep is kept between the claims of daemons of consecutive rank.
	rankStep = 400 * time.Millisecond
	// renewalValidity is how long after the sending of its last successful renewal a
	// daemon gives orders. The service may drop keys at the moment at which it
	// stops answering, so this does not rest on the lease's time to live.
	renewalValidity = 1800 * time.Millisecond
	// storeConnectedTimeout is how long after the sending of its last successful renewal a
	// daemon counts itself as reaching the service, and makes claims. It is
	// shorter than validFor, so that in an outage all daemons have said so
	// before their own right to order ends.
	storeConnectedTimeout = 1300 * time.Millisecond
	// confirmationValidity is how long a daemon gives orders after the sending of a
	// notice of which another one, in touch with the service, said that the
	// engine was still this daemon's afterwards.
	confirmationValidity = 1500 * time.Millisecond
	// lostMemberDelay is added to the quiet time after a daemon that did not announce
	// its end: it learns of the claim at the latest after vouchedFor.
	lostMemberDelay = confirmationValidity + 200*time.Millisecond
	// renewInterval is the time between two renewals: two may be lost within validFor.
	renewInterval = 600 * time.Millisecond
	// renewRetryDelay is the pause after a failed renewal.
	renewRetryDelay = 200 * time.Millisecond
	// claimInterval is how often the table is asked for due claims.
	claimInterval = 200 * time.Millisecond
	// extraShareDelay is kept before a daemon takes an equal part once more. At a
	// start it gives slower VMs some seconds to claim theirs; after a loss of
	// most daemons the last engine is claimed within some seconds.
	extraShareDelay = time.Second
	// maxRankSteps bounds the ranks that wait for one another.
	maxRankSteps = 5
	// claimRetryDelay is the least time between two claims of one engine.
	claimRetryDelay = time.Second
	// maxClaimsPerTxn keeps a claim with its conditions and keys within the 32
	// entries of a transaction: three entries an engine.
	maxClaimsPerTxn = 10
)

func encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		// The types above always have a JSON form.
		panic("fleet: " + err.Error())
	}
	return text
}
