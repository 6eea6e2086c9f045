package routing

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"math"
	"strings"
)

// keyHash is the HMAC-SHA-256 of an API key under processKey.
type keyHash [sha256.Size]byte

// processKey is random, so that the hashes that a table holds are of no use outside the
// process.
var processKey = newProcessKey()

func newProcessKey() (key [sha256.Size]byte) {
	// rand.Read never returns an error.
	_, _ = rand.Read(key[:])
	return key
}

func hashKey(key string) (hash keyHash) {
	mac := hmac.New(sha256.New, processKey[:])
	mac.Write([]byte(key))
	mac.Sum(hash[:0])
	return hash
}

// customers are the customers of a table, by the hashes of their API keys.
type customers struct {
	list    []*Customer
	holders map[keyHash]*Customer
}

// newCustomers checks the customers of a configuration and indexes their API keys, whose
// texts it drops.
func newCustomers(configured []Customer) (customers, error) {
	c := customers{holders: make(map[keyHash]*Customer)}
	names := make(map[string]bool, len(configured))
	for i := range configured {
		kept := configured[i]
		kept.Keys = nil
		if err := kept.check(i); err != nil {
			return customers{}, err
		}
		if names[kept.Name] {
			return customers{}, &ConfigError{kept.field("name"), "another customer has the same name"}
		}
		names[kept.Name] = true
		c.list = append(c.list, &kept)
		if err := c.addKeys(&kept, configured[i].Keys); err != nil {
			return customers{}, err
		}
	}
	return c, nil
}

// addKeys indexes the API keys of a customer. Its errors name a key by its place only.
func (c *customers) addKeys(customer *Customer, keys []string) error {
	for i, key := range keys {
		field := customer.field(fmt.Sprintf("API key %d", i+1))
		if key == "" {
			return &ConfigError{field, "it is empty"}
		}
		hash := hashKey(key)
		if other := c.holders[hash]; other != nil && other != customer {
			return &ConfigError{field, fmt.Sprintf("customer %q holds it too", other.Name)}
		}
		c.holders[hash] = customer
	}
	return nil
}

// field names a field of the customer in errors.
func (c *Customer) field(name string) string {
	return fmt.Sprintf("customer %q: %s", c.Name, name)
}

// check returns an error if a field other than the API keys is invalid. The customer is the
// one at the given place, from 0.
func (c *Customer) check(place int) error {
	if c.Name == "" {
		return &ConfigError{fmt.Sprintf("customer %d: name", place+1), "it is empty"}
	}
	// Upstreams receive the name in a header field.
	if strings.ContainsFunc(c.Name, func(r rune) bool { return r < ' ' || r == 0x7f }) || strings.TrimSpace(c.Name) != c.Name {
		return &ConfigError{c.field("name"), "it has control characters, or spaces around it"}
	}
	amounts := []struct {
		name  string
		value float64
	}{{"rate", c.Quota.Rate}, {"burst", c.Quota.Burst}, {"plain tokens", float64(c.Quota.PlainTokens)}}
	for _, amount := range amounts {
		// The comparison is false for NaN.
		if !(amount.value >= 0) || math.IsInf(amount.value, 0) {
			return &ConfigError{c.field(amount.name), fmt.Sprintf("it must be a finite number of 0 or more, not %v", amount.value)}
		}
	}
	return nil
}

// RequiresKeys reports whether callers need an API key on routes that are not public.
func (t *Table) RequiresKeys() bool {
	return t.requiresKeys
}

// Customers returns the customers in the order of the configuration, without the texts of
// their API keys. The caller must not change them.
func (t *Table) Customers() []*Customer {
	return t.customers.list
}

// Authenticate returns the customer that holds an API key, and false if none does.
func (t *Table) Authenticate(key string) (*Customer, bool) {
	customer, ok := t.customers.holders[hashKey(key)]
	return customer, ok
}
