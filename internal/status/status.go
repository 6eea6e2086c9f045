// Package status defines the status that a daemon reports to operators at
// GET /v1/status.
package status

// Path is the URL path that serves a Daemon as JSON.
const Path = "/v1/status"

// Daemon is the status of one daemon.
type Daemon struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Generation is the configuration generation in force; 0 before the first.
	Generation uint64 `json:"generation"`
	// Leaving is set while the daemon drains.
	Leaving bool `json:"leaving"`
	// Engines lists the engines that the daemon owns.
	Engines []string `json:"engines"`
	// ClaimShards lists the claim shards that the daemon owns.
	ClaimShards []string `json:"claim_shards"`
	// Fresh is false if the daemon has reached neither the key-value service nor a
	// peer for longer than its stale bound.
	Fresh bool `json:"fresh"`
}
