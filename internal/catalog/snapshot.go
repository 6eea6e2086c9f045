package catalog

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"

	"github.com/barleylift/barleylift/internal/profile"
)

// Snapshot is one accepted generation of the configuration with its indexes.
// It is immutable and safe for concurrent use.
type Snapshot struct {
	Contents
	Generation uint64

	zones        index[Zone]
	engines      index[Engine]
	services     index[Service]
	adapters     index[Adapter]
	profiles     index[profile.Profile]
	customers    index[Customer]
	weightStores index[WeightStore]
	tokens       map[[sha256.Size]byte]string
}

// NewSnapshot indexes contents, which must have passed Check.
func NewSnapshot(generation uint64, contents Contents) *Snapshot {
	s := &Snapshot{Contents: contents, Generation: generation}
	s.zones = indexBy(contents.Zones, func(z Zone) string { return z.Name })
	s.engines = indexBy(contents.Engines, func(e Engine) string { return e.Name })
	s.services = indexBy(contents.Services, func(v Service) string { return v.Name })
	s.adapters = indexBy(contents.Adapters, func(a Adapter) string { return a.Name })
	s.profiles = indexBy(contents.Profiles, func(p profile.Profile) string { return p.Name })
	s.customers = indexBy(contents.Customers, func(c Customer) string { return c.Name })
	s.weightStores = indexBy(contents.WeightStores, func(w WeightStore) string { return w.Name })
	s.tokens = indexTokens(contents.Customers)
	return s
}

// index finds the items of one kind by name without copying them.
type index[T any] struct {
	items    []T
	position map[string]int32
}

func indexBy[T any](items []T, name func(T) string) index[T] {
	x := index[T]{items: items, position: make(map[string]int32, len(items))}
	for i, item := range items {
		x.position[name(item)] = int32(i)
	}
	return x
}

func (x index[T]) get(name string) (T, bool) {
	i, ok := x.position[name]
	if !ok {
		var zero T
		return zero, false
	}
	return x.items[i], true
}

func indexTokens(customers []Customer) map[[sha256.Size]byte]string {
	tokens := make(map[[sha256.Size]byte]string)
	for _, customer := range customers {
		for _, text := range customer.TokenHashes {
			var sum [sha256.Size]byte
			if n, err := hex.Decode(sum[:], []byte(text)); err == nil && n == sha256.Size {
				tokens[sum] = customer.Name
			}
		}
	}
	return tokens
}

// Zone returns the zone with the given name.
func (s *Snapshot) Zone(name string) (Zone, bool) {
	return s.zones.get(name)
}

// Engine returns the engine with the given name.
func (s *Snapshot) Engine(name string) (Engine, bool) {
	return s.engines.get(name)
}

// Service returns the plain service with the given name.
func (s *Snapshot) Service(name string) (Service, bool) {
	return s.services.get(name)
}

// Adapter returns the adapter with the given name.
func (s *Snapshot) Adapter(name string) (Adapter, bool) {
	return s.adapters.get(name)
}

// Profile returns the profile with the given name.
func (s *Snapshot) Profile(name string) (profile.Profile, bool) {
	return s.profiles.get(name)
}

// Customer returns the customer with the given name.
func (s *Snapshot) Customer(name string) (Customer, bool) {
	return s.customers.get(name)
}

// WeightStore returns the weight store with the given name.
func (s *Snapshot) WeightStore(name string) (WeightStore, bool) {
	return s.weightStores.get(name)
}

// Authenticate returns the customer that a bearer token belongs to. The token is
// hashed before the lookup, so the timing of the lookup reveals nothing about
// the stored hashes. The final comparison takes constant time.
func (s *Snapshot) Authenticate(token string) (Customer, bool) {
	sum := sha256.Sum256([]byte(token))
	name, ok := s.tokens[sum]
	if !ok {
		return Customer{}, false
	}
	customer, _ := s.customers.get(name)
	encoded := []byte(hex.EncodeToString(sum[:]))
	match := 0
	for _, text := range customer.TokenHashes {
		match |= subtle.ConstantTimeCompare(encoded, []byte(text))
	}
	return customer, match == 1
}

// HasVersion reports whether the configuration declares the version.
func (a Adapter) HasVersion(version string) bool {
	return slices.Contains(a.Versions, version)
}
