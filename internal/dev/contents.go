package dev

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/profile"
)

// Names, tokens and headers of the example configuration.
const (
	BaseModel   = "route-8b"
	Region      = "kochi"
	StoreName   = "weights"
	ServiceName = "logbook"
	// Token is the bearer token of the example customer "gym".
	Token = "example-gym-token"
	// OtherToken is the bearer token of the example customer "visitor".
	OtherToken = "example-visitor-token"
	// KeyHeader is the header with the idempotency key of ticks.
	KeyHeader = "Idempotency-Key"
)

// zoneNames are the availability zones. Each has one daemon and
// Options.EnginesPerZone engines.
var zoneNames = []string{"kakkanad", "edappally", "vyttila"}

// AdapterName returns the name of the n-th example adapter.
func AdapterName(n int) string {
	return fmt.Sprintf("summary-%02d", n)
}

// exampleContents returns the example configuration with the given engines and
// the address of the plain service.
func exampleContents(o Options, engines []catalog.Engine, serviceAddress string) catalog.Contents {
	c := catalog.Contents{
		Engines:      engines,
		Services:     []catalog.Service{{Name: ServiceName, Replicas: []catalog.Replica{{Address: serviceAddress, Zone: zoneNames[0]}}}},
		Routes:       exampleRoutes(),
		Profiles:     exampleProfiles(),
		Customers:    exampleCustomers(),
		WeightStores: []catalog.WeightStore{{Name: StoreName, LoadsPerSecond: o.LoadsPerSecond, Concurrent: 1}},
	}
	for _, zone := range zoneNames {
		c.Zones = append(c.Zones, catalog.Zone{Name: zone, Region: Region})
	}
	for n := range o.Adapters {
		c.Adapters = append(c.Adapters, catalog.Adapter{Name: AdapterName(n), BaseModel: BaseModel, Versions: []string{"v1", "v2"}})
	}
	return c
}

func exampleRoutes() []catalog.Route {
	return []catalog.Route{
		{
			Name: "tick", Pattern: "POST /logbook/{gym}/ticks", Service: ServiceName,
			IdempotencyHeader: KeyHeader, Retention: time.Hour, Timeout: 5 * time.Second, MaxBody: 64 << 10,
		},
		{
			Name: "entry", Pattern: "POST /logbook/{gym}/entries", Service: ServiceName,
			Timeout: 5 * time.Second, MaxBody: 64 << 10,
		},
		{
			Name: "artifact", Pattern: "GET /artifacts/{name}", Service: ServiceName, Repeatable: true,
			Timeout: 5 * time.Second, MaxBody: 64 << 10,
		},
		{
			Name: "store-artifact", Pattern: "PUT /artifacts/{name}", Service: ServiceName, Repeatable: true,
			Timeout: 5 * time.Second, MaxBody: 1 << 20,
		},
	}
}

func exampleProfiles() []profile.Profile {
	return []profile.Profile{
		{Name: "summaries", Urgency: profile.High, DelayTolerance: 20 * time.Second, Adapters: []string{"summary-*"}},
		{Name: "hints", Urgency: profile.Background, DelayTolerance: 5 * time.Second, Adapters: []string{"summary-*"}, Versions: []string{"v1"}},
	}
}

func exampleCustomers() []catalog.Customer {
	return []catalog.Customer{
		{Name: "gym", TokenHashes: []string{tokenHash(Token)}, Profiles: []string{"summaries", "hints"}, Weight: 1},
		{Name: "visitor", TokenHashes: []string{tokenHash(OtherToken)}, Profiles: []string{"hints"}, Weight: 1},
	}
}

func tokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
