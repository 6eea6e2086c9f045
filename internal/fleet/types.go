package fleet

import (
	"encoding/json"
	"time"

	"github.com/barleylift/barleylift/internal/infra"
)

// The key prefixes of a fleet, below the product's prefix.
const (
	memberPrefix = "members/"
	enginePrefix = "engines/"
	// quotasKey is written before the first VM is entitled to a share of customers' limits,
	// and stays.
	quotasKey = "quotas"
)

// Member is a daemon's announcement, the value of its member key.
type Member struct {
	// Name is the VM's name.
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Entry is where callers connect, as IP:port.
	Entry string `json:"entry"`
	// Mesh is where other daemons send datagrams, as IP:port.
	Mesh string `json:"mesh"`
	// Incarnation identifies the process; it is random.
	Incarnation int64 `json:"boot"`
	// Cores is the processor time that the VM may use, in cores; 0 if unknown.
	Cores float64 `json:"cores,omitempty"`
	// Draining is set when the daemon is about to exit.
	Draining bool `json:"draining,omitempty"`
	// CutOff is set while the VM reaches no upstream.
	CutOff bool `json:"cut_off,omitempty"`
	// Counted is the number of VMs that the daemon counted when it announced that it is
	// entitled to a share of customers' limits; 0 if it hasn't. Older builds don't set it.
	Counted int `json:"counted,omitempty"`
}

// ReleasesEngines reports whether other members may claim the member's engines.
func (m Member) ReleasesEngines() bool {
	return m.Draining || m.CutOff
}

// record is the value of an engine's key.
type record struct {
	// Member is the VM whose daemon orders the engine.
	Member      string `json:"member"`
	Incarnation int64  `json:"boot"`
	// Era is the era of the key-value service in which the member made its claim.
	// The record gives no right to order in any other era: there it comes from an
	// older copy, or was written late.
	Era infra.Era `json:"era,omitempty"`
	// Predecessor is the VM whose daemon ordered the engine before. It is
	// cleared after the quiet time; a restart before that begins the quiet time
	// again.
	Predecessor string `json:"after,omitempty"`
	// PredecessorLost is set if that daemon did not announce that it was
	// draining.
	PredecessorLost bool `json:"lost,omitempty"`
}

// Token is a fencing token: the revision of an engine's key. Revisions begin with
// the era, so tokens rise over returns of the key-value service too.
type Token int64

// unknownPredecessor stands for a daemon that may order an engine by a record
// that the key-value service has lost.
const unknownPredecessor = "?"

// Timing holds the time constants of a fleet.
type Timing struct {
	// LeaseTTL is how long a daemon's lease outlives its last renewal.
	LeaseTTL time.Duration
	// QuietTime is the least time between the last order of one daemon to an
	// engine and the first order of another.
	QuietTime time.Duration
}

// DefaultLeaseTTL bounds how long a lost daemon is listed. A daemon keeps its
// engines through shorter freezes and restarts.
const DefaultLeaseTTL = 3 * time.Second

// Time constants of a fleet.
const (
	// settleDelay is how long a member key must have been absent before its
	// engines are claimed: a daemon whose lease expired in an outage of the
	// service registers again soon. The engines of one that still gives orders
	// are not claimed in any case.
	settleDelay = 700 * time.Millisecond
	// eraSettleDelay is how long after a daemon has read a new era it leaves engines
	// to the daemons that ordered them before: these read the era within about 2 s
	// and claim again at once.
	eraSettleDelay = 2500 * time.Millisecond
	// startDelay is the time after the first read before engines of others are
	// claimed: daemons that start together do not all see each other at first.
	startDelay = 1500 * time.Millisecond
	// rankStep is the time between the claims of daemons of consecutive rank.
	rankStep = 400 * time.Millisecond
	// renewalValidity is how long a daemon may give orders after it sent its
	// last successful renewal. It does not depend on the lease's time to live,
	// because the service may drop keys as soon as it stops answering.
	renewalValidity = 1800 * time.Millisecond
	// storeConnectedTimeout is how long a daemon considers itself connected to
	// the service, and makes claims, after it sent its last successful renewal.
	// It is shorter than renewalValidity: in an outage every daemon has reported
	// the outage before its own renewal becomes invalid.
	storeConnectedTimeout = 1300 * time.Millisecond
	// confirmationValidity is how long a daemon may give orders after it sent a
	// heartbeat, if another daemon that is connected to the service confirmed
	// that this daemon still owned the engine after that heartbeat.
	confirmationValidity = 1500 * time.Millisecond
	// lostMemberDelay is added to the quiet time if the former owner did not
	// announce that it was draining: it may miss the claim for up to
	// confirmationValidity.
	lostMemberDelay = confirmationValidity + 200*time.Millisecond
	// renewInterval is the time between two renewals: two may be lost within
	// renewalValidity.
	renewInterval = 600 * time.Millisecond
	// renewRetryDelay is the pause after a failed renewal.
	renewRetryDelay = 200 * time.Millisecond
	// claimInterval is how often the table is asked for due claims.
	claimInterval = 200 * time.Millisecond
	// extraShareDelay is the time that a daemon waits for each further equal
	// share that it claims. At a start it gives slower VMs some seconds to claim
	// theirs; after a loss of most daemons the last engine is claimed within
	// some seconds.
	extraShareDelay = time.Second
	// maxRankSteps bounds the number of rankStep delays before a claim.
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
		// The types above can always be encoded.
		panic("fleet: " + err.Error())
	}
	return text
}
