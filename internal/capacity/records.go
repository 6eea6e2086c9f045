package capacity

// Measurement is a value measured at one size, that of the target unless Name
// contains another.
type Measurement struct {
	Name    string
	Command string
	Value   float64
}

const (
	benchCalls       = "go test ./internal/bench -run xxx -benchtime 3x -bench ModelCall"
	benchActiveCalls = "go test ./internal/bench -run xxx -benchtime 1x -bench ActiveCall"
	benchIdle        = "go test ./internal/bench -run xxx -benchtime 1x -bench Idle"
	benchConnections = "go test ./internal/bench -run xxx -benchtime 1x -bench Connections"
	benchLocated     = "go test ./internal/bench -run xxx -benchtime 1x -bench Located"
	benchCatalog     = "go test ./internal/catalog -run xxx -bench ."
	benchClaims      = "go test ./internal/claim -run xxx -benchtime 200ms -bench ."
	benchOwnership   = "go test ./internal/ownership -run xxx -benchtime 200ms -bench ."
	runFleet         = "go test ./internal/ownership -run FleetCost -v -args -fleet 16,32,64,128"
)

// The series from which the tables are computed.
var (
	CallCPUTime = Series{
		Name: "processor time of entry and owner for a call, µs", Command: benchCalls, SizeUnit: "tokens",
		Sizes: []float64{1, 16, 64, 256}, Values: []float64{428.7, 785.8, 1900, 6499},
	}
	CallMemory = Series{
		Name: "heap and stacks of entry and owner, MB", Command: benchActiveCalls, SizeUnit: "active calls",
		Sizes: []float64{64, 128, 256, 512}, Values: []float64{3.316, 9.233, 22.914, 50.059},
	}
	IdleCPUTime = Series{
		Name: "processor time of three idle daemons and the stand-ins, ms/s", Command: benchIdle, SizeUnit: "engines",
		Sizes: []float64{6, 12, 24, 48}, Values: []float64{19.904, 23.503, 27.488, 47.195},
	}
	ConnectionMemory = Series{
		Name: "heap and stacks of both ends, MB", Command: benchConnections, SizeUnit: "connections",
		Sizes: []float64{16, 32, 64, 128}, Values: []float64{2.589, 4.778, 8.626, 17.004},
	}
	ChangeKB = Series{
		Name: "bytes of one change, KB", Command: benchCatalog, SizeUnit: "adapters",
		Sizes: []float64{1000, 4000, 16000, 31000}, Values: []float64{5.9, 6.9, 11.0, 16.2},
	}
	SnapshotSwapTime = Series{
		Name: "swap after one change, ms", Command: benchCatalog, SizeUnit: "adapters",
		Sizes: []float64{1000, 4000, 16000, 31000}, Values: []float64{0.18, 0.37, 1.3, 2.4},
	}
	CatalogMemory = Series{
		Name: "heap of one snapshot, MB", Command: benchCatalog, SizeUnit: "adapters",
		Sizes: []float64{1000, 4000, 16000, 31000}, Values: []float64{0.283, 0.944, 3.76, 7.378},
	}
	ClaimMemory = Series{
		Name: "heap of retained claims, MB", Command: benchClaims, SizeUnit: "claims",
		Sizes: []float64{1000, 4000, 16000, 64000}, Values: []float64{0.315, 1.2604, 5.008, 20.0512},
	}
	RenewalsAt15sLease = Series{
		Name: "key-value calls of idle daemons at a lease of 15 s, calls/s", Command: runFleet, SizeUnit: "daemons",
		Sizes: []float64{16, 32, 64, 128}, Values: []float64{3.053, 6.106, 12.218, 24.384},
	}
	RecoveryWrites = Series{
		Name: "writes of a fleet that comes back after an outage past all leases", Command: runFleet, SizeUnit: "daemons",
		Sizes: []float64{16, 32, 64, 128}, Values: []float64{32, 64, 128, 256},
	}
	RecoveryWatchKB = Series{
		Name: "watch KB to each daemon after that outage", Command: runFleet, SizeUnit: "daemons",
		Sizes: []float64{16, 32, 64, 128}, Values: []float64{11.093, 22.243, 44.809, 89.838},
	}
	ZoneRecoveryCalls = Series{
		Name: "calls besides renewals when a zone comes back", Command: runFleet, SizeUnit: "daemons",
		Sizes: []float64{16, 32, 64, 128}, Values: []float64{13, 27, 54, 102},
	}
)

// AllSeries lists all series.
var AllSeries = []Series{
	CallCPUTime, CallMemory, IdleCPUTime, ConnectionMemory, ChangeKB, SnapshotSwapTime,
	CatalogMemory, ClaimMemory, RenewalsAt15sLease, RecoveryWrites, RecoveryWatchKB, ZoneRecoveryCalls,
}

// The values measured at one size from which the tables are computed.
var (
	LocateExchanges          = Measurement{"questions to the home for a located call, 128 daemons", benchLocated, 0.994}
	EngineLoadBytes          = Measurement{"message bytes of one exchange of a home with an owner, question and answer", benchLocated, 119}
	EngineLoadExchanges      = Measurement{"exchanges of a home with candidates' owners for a cold adapter, 4 candidates", benchLocated, 3}
	ExchangeBytes            = Measurement{"bytes of one exchange on the wire, both directions", benchCatalog, 350}
	ExchangeCPUTime          = Measurement{"processor time of both ends of an exchange, ms, 128 peers", benchConnections, 0.465}
	HandshakeCPUTime         = Measurement{"processor time of both ends of a new connection, ms, 128 peers", benchConnections, 4.243}
	ConfigurationMessageRate = Measurement{"configuration messages of a daemon, B/s", "go test ./internal/catalog -run TestControlTrafficAtTheTarget -v", 487}
	ConfigurationWireRate    = Measurement{"the same on the wire with exchanges, B/s, worked out in decisions/configuration.md", benchCatalog, 980}
	PropagationTime          = Measurement{"a change in force at 510 daemons, 1 of them reaching the service, s", "go test ./internal/catalog -run TestChangeReaches -v", 6.5}
	RenewalsAt10sLease       = Measurement{"writes/s of an idle daemon at a lease of 10 s", benchIdle, 0.3}
	ClaimWriteRate           = Measurement{"writes/s of 16 shards at 2,560 keyed calls/s", benchClaims, 186}
	ClaimCommitWait          = Measurement{"wait of a keyed call for its commit, ms, at 2,560 calls/s", benchClaims, 52.75}
	OwnershipMemory          = Measurement{"heap of the members and owners of the target, MB", benchOwnership, 1.307}
	MemberChangeCPUTime      = Measurement{"processor time of two changes of a member while all is owned, ms", benchOwnership, 0.064}
	GrantCPUTime             = Measurement{"processor time of a grant among 1,000 waiting, ms", "go test ./internal/permit -run xxx -bench Grant", 0.059}
	MemberLossWatchBytes     = Measurement{"watch bytes to each daemon when one of 510 is cut off", "go test ./internal/ownership -run FleetCost -v -args -fleet 510", 639}
)

// Measurements lists all values measured at one size.
var Measurements = []Measurement{
	LocateExchanges, EngineLoadBytes, ConfigurationWireRate, EngineLoadExchanges, ExchangeBytes, ExchangeCPUTime, HandshakeCPUTime, ConfigurationMessageRate, PropagationTime, RenewalsAt10sLease,
	ClaimWriteRate, ClaimCommitWait, OwnershipMemory, MemberChangeCPUTime, GrantCPUTime, MemberLossWatchBytes,
}
