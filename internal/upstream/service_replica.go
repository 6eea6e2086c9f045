package upstream

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync/atomic"
	"time"
)

// suspectDuration is how long a failed replica is tried after all others.
const suspectDuration = 5 * time.Second

// Distances from this daemon to a replica, nearest first.
const (
	sameZone = iota
	sameRegion
	otherRegion
)

// replica is the state of one address of a plain service. It is shared by all
// services that name the address and is safe for concurrent use.
type replica struct {
	address string
	baseURL *url.URL
	// pooledTransport sends calls that may be repeated, singleUseTransport those
	// that may not.
	pooledTransport    *http.Transport
	singleUseTransport *http.Transport

	inFlight     atomic.Int64
	suspectUntil atomic.Int64 // Unix nanoseconds
}

func newReplica(address string) (*replica, error) {
	base, err := url.Parse(address)
	if err != nil {
		return nil, fmt.Errorf("replica address %q: %w", address, err)
	}
	if base.Host == "" || base.Scheme != "http" && base.Scheme != "https" {
		return nil, fmt.Errorf("replica address %q: want http://host:port or https://host:port", address)
	}
	return &replica{
		address:            address,
		baseURL:            base,
		pooledTransport:    newServiceTransport(true),
		singleUseTransport: newServiceTransport(false),
	}, nil
}

// markSuspect makes the replica the last choice for suspectDuration and closes
// its idle connections, which may have failed together with the current one.
func (r *replica) markSuspect(now time.Time) {
	r.suspectUntil.Store(now.Add(suspectDuration).UnixNano())
	r.pooledTransport.CloseIdleConnections()
}

func (r *replica) isSuspect(now time.Time) bool {
	return now.UnixNano() < r.suspectUntil.Load()
}

// url returns the URL of a request target (path and query) at the replica.
func (r *replica) url(target string) (*url.URL, error) {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return nil, err
	}
	u.Scheme = r.baseURL.Scheme
	u.Host = r.baseURL.Host
	u.User = nil
	return u, nil
}

// serviceReplica is a replica with its properties in one service.
type serviceReplica struct {
	*replica
	distance int
	leaving  bool
}

// chooseReplica returns the replica for the next attempt: of the replicas that
// are neither leaving nor tried, those not suspect come first, then the
// nearest; of two random ones among these, the one with fewer calls in flight
// is selected (M. Mitzenmacher, The Power of Two Choices in Randomized Load
// Balancing).
func chooseReplica(replicas []serviceReplica, tried []string, now time.Time) (*replica, bool) {
	var best []serviceReplica
	bestRank := 0
	for _, candidate := range replicas {
		if candidate.leaving || slices.Contains(tried, candidate.address) {
			continue
		}
		rank := candidate.distance
		if candidate.isSuspect(now) {
			rank += otherRegion + 1
		}
		switch {
		case best == nil || rank < bestRank:
			best = []serviceReplica{candidate}
			bestRank = rank
		case rank == bestRank:
			best = append(best, candidate)
		}
	}
	if best == nil {
		return nil, false
	}
	a := best[rand.IntN(len(best))].replica
	b := best[rand.IntN(len(best))].replica
	if b.inFlight.Load() < a.inFlight.Load() {
		return b, true
	}
	return a, true
}
