package routing

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
)

func withCustomers(customers ...Customer) Config {
	c := config(1, route("r", "h", "/"))
	c.RequiresKeys, c.Customers = true, customers
	return c
}

// Guards against keys that are looked up by a part of them or in another case, and against
// customers that lose a field in the table.
func TestAuthenticateFindsTheHolderOfAKey(t *testing.T) {
	table, err := NewTable(withCustomers(
		Customer{Name: "acme", Keys: []string{"k1", "k2", "k1"}, Priority: 3, HasPriority: true, Quota: Quota{Rate: 2, Burst: 3, Tokens: true, PlainTokens: 4}},
		Customer{Name: "Acme", Keys: []string{"k3"}},
		Customer{Name: "no keys"},
	))
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]string{"k1": "acme", "k2": "acme", "k3": "Acme", "K1": "", "k": "", "k11": "", "": "", " k1": ""} {
		got := ""
		if customer, ok := table.Authenticate(key); ok {
			got = customer.Name
		}
		if got != want {
			t.Errorf("key %q is held by %q, want %q", key, got, want)
		}
	}
	want := Customer{Name: "acme", Priority: 3, HasPriority: true, Quota: Quota{Rate: 2, Burst: 3, Tokens: true, PlainTokens: 4}}
	if got := table.Customers(); len(got) != 3 || !reflect.DeepEqual(*got[0], want) {
		t.Errorf("customers %+v", got)
	}
}

// A configuration without customers requires keys only if it says so.
func TestKeysAreRequiredAsConfigured(t *testing.T) {
	for _, required := range []bool{false, true} {
		c := config(1, route("r", "h", "/"))
		c.RequiresKeys = required
		table, err := NewTable(c)
		if err != nil || table.RequiresKeys() != required {
			t.Errorf("%v, %v, want %v", table.RequiresKeys(), err, required)
		}
		if _, ok := table.Authenticate(""); ok {
			t.Error("an empty key was accepted")
		}
	}
}

// Guards against customers that share a name or a key, and against limits without a meaning.
// No error may show a key.
func TestMalformedCustomersAreRejected(t *testing.T) {
	const secret = "sk-secret"
	quota := func(q Quota) []Customer { return []Customer{{Name: "acme", Keys: []string{secret}, Quota: q}} }
	tests := []struct {
		name      string
		customers []Customer
		field     string
	}{
		{"same name", []Customer{{Name: "acme", Keys: []string{secret}}, {Name: "acme"}}, `customer "acme": name`},
		{"same key", []Customer{{Name: "acme", Keys: []string{secret}}, {Name: "b", Keys: []string{"k", secret}}}, `customer "b": API key 2`},
		{"no name", []Customer{{Name: "acme"}, {Keys: []string{secret}}}, "customer 2: name"},
		{"empty key", []Customer{{Name: "acme", Keys: []string{secret, ""}}}, `customer "acme": API key 2`},
		{"name with a line end", []Customer{{Name: "a\r\nX-Other: 1"}}, `customer "a\r\nX-Other: 1": name`},
		{"name with spaces around it", []Customer{{Name: "a "}}, `customer "a ": name`},
		{"negative rate", quota(Quota{Rate: -1}), `customer "acme": rate`},
		{"rate NaN", quota(Quota{Rate: math.NaN()}), `customer "acme": rate`},
		{"infinite rate", quota(Quota{Rate: math.Inf(1)}), `customer "acme": rate`},
		{"negative burst", quota(Quota{Burst: -0.5}), `customer "acme": burst`},
		{"burst NaN", quota(Quota{Burst: math.NaN()}), `customer "acme": burst`},
		{"infinite burst", quota(Quota{Burst: math.Inf(1)}), `customer "acme": burst`},
		{"negative plain tokens", quota(Quota{PlainTokens: -1}), `customer "acme": plain tokens`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table, err := NewTable(withCustomers(test.customers...))
			var configError *ConfigError
			if table != nil || !errors.As(err, &configError) || configError.Field != test.field || configError.Reason == "" {
				t.Errorf("got %v, want an error of %s", err, test.field)
			}
			if strings.Contains(fmt.Sprint(err), secret) {
				t.Errorf("the error %q shows a key", err)
			}
		})
	}
}

// Guards against the text of a key in the memory of a table: whatever a table holds is
// searched for it.
func TestTableKeepsNoTextOfAKey(t *testing.T) {
	const secret = "sk-secret"
	c := withCustomers(Customer{Name: "acme", Keys: []string{secret}})
	table, err := NewTable(c)
	if err != nil {
		t.Fatal(err)
	}
	if text := fmt.Sprintf("%+v %+v", table, *table.Customers()[0]); strings.Contains(text, secret) {
		t.Errorf("the table holds a key: %s", text)
	}
	if c.Customers[0].Keys[0] != secret {
		t.Error("the configuration of the caller was changed")
	}
}
