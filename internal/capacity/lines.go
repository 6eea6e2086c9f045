package capacity

// Row is one value of a role at the target size.
type Row struct {
	Name  string
	Value float64
	// Limit is 0 if the target has no limit for the value.
	Limit    float64
	HasLimit bool
	// Mechanism is the part of the design that produces the value.
	Mechanism string
	// Remedy is a change that would bring the value below the limit; it is shown
	// only if the value exceeds it.
	Remedy string
}

// Fits reports whether the value is within the limit, if there is one.
func (r Row) Fits() bool { return !r.HasLimit || r.Value <= r.Limit }

// Table is one table of the page, for a role of a daemon or for another part of
// the system.
type Table struct {
	Name string
	Rows []Row
}

func unlimitedRow(name string, value float64, mechanism string) Row {
	return Row{Name: name, Value: value, Mechanism: mechanism}
}

func limitedRow(name string, value, limit float64, mechanism, remedy string) Row {
	return Row{Name: name, Value: value, Limit: limit, HasLimit: true, Mechanism: mechanism, Remedy: remedy}
}

// Tables computes every table.
func Tables() []Table {
	return []Table{
		{"entry", entryRows()},
		{"engine-owner", ownerRows()},
		{"claim-owner", claimRows()},
		{"load-granter", granterRows()},
		{"home", homeRows()},
		{"member", memberRows()},
		{"configuration", configurationRows()},
		{"operator", operatorRows()},
		{"daemon", daemonRows()},
		{"service", serviceRows()},
		{"bursts", burstRows()},
	}
}

func callMemoryMB(calls float64) float64 { return CallMemory.Fit().Slope * calls }

func entryRows() []Row {
	cpu := CallCPUTime.Fit()
	return []Row{
		unlimitedRow("calls/s of a daemon", CallsPerDaemon, "callers spread by `GET /v1/entries`"),
		unlimitedRow("calls active at once, at 32 ms a token", activeCallsPerDaemon, "one goroutine and one peer stream a call"),
		unlimitedRow("processor time of traffic, % of a core, entry and owner together", (cpu.Intercept*CallsPerDaemon+cpu.Slope*TokensPerDaemon)/1e4, "one part a token, from engine to caller"),
		limitedRow("processor time of a call without its tokens, ms", cpu.Intercept/1000, MaxFirstTokenMillis, "one exchange with the owner", ""),
		limitedRow("processor time of a token, ms", cpu.Slope/1000, MaxTokenGapMillis, "one message a token", ""),
		limitedRow("memory of the active calls, MB, entry and owner together", callMemoryMB(activeCallsPerDaemon), MaxMemoryMB, "streams pass through, no answer is kept", ""),
		limitedRow("the same at the bound of 2,048 calls in flight and the collector's default, MB", gcHeapFactor*callMemoryMB(maxCallsInFlight), MaxMemoryMB, "`limits.max_calls_in_flight`",
			"a default bound of 256 calls, which with all else of a daemon stays below the limit"),
	}
}

func ownerRows() []Row {
	perEngine := IdleCPUTime.Fit().Slope
	return []Row{
		unlimitedRow("engines of a daemon, mean", EnginesPerDaemon, "rendezvous hashing, load bound"),
		unlimitedRow("engine reports/s of a daemon", EnginesPerDaemon/0.5, "one read each 500 ms an engine"),
		limitedRow("processor time of reports, % of a core, the stand-ins' part included", perEngine*EnginesPerDaemon/10, MaxCorePercent, "one read at a time an engine", ""),
		unlimitedRow("tokens/s of a daemon's engines", TokensPerDaemon, "one QUIC stream a call"),
	}
}

func claimRows() []Row {
	shardMB := ClaimMemory.Fit().Slope * maxShardBytes / 374
	return []Row{
		limitedRow("writes/s of all shards", ClaimWriteRate.Value, MaxWritesPerSecond, "group commit, 16 shards, one commit each 100 ms", ""),
		limitedRow("wait for the commit, ms", ClaimCommitWait.Value, MaxFirstTokenMillis, "group commit", ""),
		limitedRow("memory of one full shard, MB", shardMB, MaxMemoryMB, "bound by the shard's own estimate of 64 MB", ""),
		unlimitedRow("keyed calls/s at a retention of 1 h with all shards full", claimShards*maxShardBytes/374/secondsPerHour, "retention a route"),
		limitedRow("heap of one owner with four full shards and the collector's default, MB", gcHeapFactor*4*shardMB, MaxMemoryMB, "a bound for each shard, none for a daemon",
			"a bound on the claims of a whole daemon, and at most two shards at one"),
	}
}

func granterRows() []Row {
	wakesPerSecond := Adapters * WakingSharePerHour / secondsPerHour
	return []Row{
		unlimitedRow("adapters that wake or fall idle each second", wakesPerSecond, "loads on demand, waiting calls share one"),
		limitedRow("loads/s of a region's store, if all of these load and regions are alike", wakesPerSecond/Regions, exampleLoadsPerSecond, "one granter a store, most urgent first", ""),
		limitedRow("processor time at that rate, % of a core", wakesPerSecond/Regions*GrantCPUTime.Value/10, MaxCorePercent, "one scan of the waiting requests a grant", ""),
		limitedRow("processor time if every load is an exchange, % of a core", wakesPerSecond/Regions*ExchangeCPUTime.Value/10, MaxCorePercent, "one QUIC stream a request", ""),
	}
}

func homeExchangeRates() (zipfRate, coldRate float64) {
	homeRate, ownerRate := zipfExchangeRates()
	return homeRate + ownerRate, CallsPerDaemon * (LocateExchanges.Value + EngineLoadExchanges.Value)
}

func homeRows() []Row {
	zipfRate, coldRate := homeExchangeRates()
	const remedy = "the entry sends the call itself to the home, which passes it on, and owners tell their engine's load with the answers of calls: no exchange of its own for a call"
	return []Row{
		unlimitedRow("exchanges begun a second, popularity as 1/rank", zipfRate, "answers kept 2 s, loads 1 s, for each adapter"),
		unlimitedRow("exchanges begun a second, every adapter cold", coldRate, "one question to the home, three to candidates' owners"),
		limitedRow("bytes/s of both ends, popularity as 1/rank", 2*zipfRate*ExchangeBytes.Value, MaxBytesPerSecond, "one QUIC stream an exchange", remedy),
		limitedRow("bytes/s of both ends, every adapter cold", 2*coldRate*ExchangeBytes.Value, MaxBytesPerSecond, "one QUIC stream an exchange", remedy),
		limitedRow("processor time, % of a core, every adapter cold", coldRate*ExchangeCPUTime.Value/10, MaxCorePercent, "one QUIC stream an exchange", ""),
	}
}

func connectionMemoryMB(peers float64) float64 { return ConnectionMemory.Fit().Slope * peers }

func memberRows() []Row {
	memberLossesPerSecond := 249 / secondsPerDay
	return []Row{
		limitedRow("heap of members and owners, MB", OwnershipMemory.Value, MaxMemoryMB, "one table from three watches", ""),
		limitedRow("watch bytes/s of a daemon, 249 losses a day", memberLossesPerSecond*MemberLossWatchBytes.Value, MaxBytesPerSecond, "watches of `members/` and `owners/`", ""),
		limitedRow("processor time of these changes, % of a core", memberLossesPerSecond*MemberChangeCPUTime.Value/10, MaxCorePercent, "one table", ""),
		limitedRow("processor time of connections with daemons that seldom speak, % of a core", 2/fleetGossipSeconds*HandshakeCPUTime.Value/10, MaxCorePercent, "one gossip partner from the whole fleet each 68 s", ""),
		limitedRow("memory of connections with all daemons of the region, MB", connectionMemoryMB(regionPeers), MaxMemoryMB, "a connection each way, closed after 30 s without calls", ""),
		limitedRow("memory of connections with the whole fleet, MB", connectionMemoryMB(Daemons-1), MaxMemoryMB, "the same", ""),
	}
}

func configurationRows() []Row {
	changesPerSecond := ChangesPerDay / secondsPerDay
	return []Row{
		limitedRow("bytes/s of messages", ConfigurationMessageRate.Value, MaxBytesPerSecond, "changed chunks alone; gossip", ""),
		limitedRow("bytes/s of changes by the slope, without base64", changesPerSecond*ChangeKB.Fit().At(Adapters)*1000, MaxBytesPerSecond, "chunks by content hash", ""),
		limitedRow("processor time of swaps, % of a core", changesPerSecond*SnapshotSwapTime.Fit().At(Adapters)/10, MaxCorePercent, "whole snapshot, unchanged items shared", ""),
		limitedRow("memory during a swap, MB", 2*CatalogMemory.Fit().At(Adapters), MaxMemoryMB, "two snapshots", ""),
		limitedRow("a change in force everywhere, s, one daemon reaching the service", PropagationTime.Value, MaxPropagationSeconds, "watch, and gossip among neighbours", ""),
	}
}

func operatorRows() []Row {
	return []Row{
		unlimitedRow("changes/s", ChangesPerDay/secondsPerDay, "`apply`: changed chunks, then one compare-and-swap"),
		limitedRow("processor time of `status` at one daemon, ms, one exchange with each", (Daemons-1)*ExchangeCPUTime.Value, MaxPropagationSeconds*1000, "one exchange a daemon", ""),
		limitedRow("the same with a new connection to each, ms", (Daemons-1)*HandshakeCPUTime.Value, MaxPropagationSeconds*1000, "one connection a daemon", ""),
	}
}

// controlMemoryMB returns the memory of a daemon with one full claim shard.
func controlMemoryMB() float64 {
	return 2*CatalogMemory.Fit().At(Adapters) + OwnershipMemory.Value + connectionMemoryMB(regionPeers) +
		callMemoryMB(activeCallsPerDaemon) + ClaimMemory.Fit().Slope*maxShardBytes/374
}

func daemonRows() []Row {
	zipfRate, coldRate := homeExchangeRates()
	idle := IdleCPUTime.Fit()
	idleCPUPercent := idle.Intercept/3/10 + idle.Slope*EnginesPerDaemon/10
	baseBytesPerSecond := ConfigurationWireRate.Value + 249/secondsPerDay*MemberLossWatchBytes.Value
	const remedy = "loads with the answers of calls, as the home needs"
	return []Row{
		limitedRow("control processor time, % of a core, popularity as 1/rank", idleCPUPercent+zipfRate*ExchangeCPUTime.Value/10, MaxCorePercent, "sum of the roles", remedy),
		limitedRow("control processor time, % of a core, every adapter cold", idleCPUPercent+coldRate*ExchangeCPUTime.Value/10, MaxCorePercent, "sum of the roles", remedy),
		limitedRow("control bytes/s without locating", baseBytesPerSecond, MaxBytesPerSecond, "sum of the roles", ""),
		limitedRow("control bytes/s, popularity as 1/rank", baseBytesPerSecond+2*zipfRate*ExchangeBytes.Value, MaxBytesPerSecond, "sum of the roles", remedy),
		limitedRow("control bytes/s if loads came with the answers of calls", baseBytesPerSecond+2*CallsPerDaemon*EngineLoadBytes.Value, MaxBytesPerSecond, "not built; a load message on each call's answer", ""),
		limitedRow("memory, one full claim shard, MB live", controlMemoryMB(), MaxMemoryMB, "sum of the roles", ""),
		limitedRow("memory, one full claim shard, MB with the collector's default", gcHeapFactor*controlMemoryMB(), MaxMemoryMB, "sum of the roles", "a memory limit for the collector"),
	}
}

func serviceRows() []Row {
	renewalsAt10s := RenewalsAt10sLease.Value * Daemons
	renewalsAt15s := RenewalsAt15sLease.Fit().Slope * Daemons
	return []Row{
		limitedRow("renewals/s at the default lease of 10 s", renewalsAt10s, MaxWritesPerSecond, "one lease a daemon, renewed each third", ""),
		limitedRow("renewals/s at a lease of 15 s", renewalsAt15s, MaxWritesPerSecond, "the same", ""),
		limitedRow("writes/s with busy claims, lease of 10 s", renewalsAt10s+ClaimWriteRate.Value, MaxWritesPerSecond, "renewals and group commits", "a lease of 15 s"),
		limitedRow("writes/s with busy claims, lease of 15 s", renewalsAt15s+ClaimWriteRate.Value, MaxWritesPerSecond, "the same", ""),
		limitedRow("reads/s of the head", Daemons/headPollSeconds, MaxReadsPerSecond, "one read each 30 s a daemon beside the watch", ""),
	}
}

func burstRows() []Row {
	writes := RecoveryWrites.Fit().At(Daemons)
	reconnectCPUMillis := DaemonsPerRegion * 2 * HandshakeCPUTime.Value / 2
	reloadSeconds := Engines / Zones * exampleSlotsPerEngine / exampleLoadsPerSecond
	return []Row{
		unlimitedRow("zone back: calls besides renewals, over two minutes", ZoneRecoveryCalls.Fit().At(Daemons), "a grant, a transaction and two reads and watches a daemon"),
		unlimitedRow("region back: calls besides renewals, over two minutes, by the zones' mean", ZoneRecoveryCalls.Fit().At(Daemons)*Zones/Regions, "the same"),
		unlimitedRow("zone back: processor time of each returning daemon for connections, ms", reconnectCPUMillis, "connections when needed, none in advance"),
		unlimitedRow("service back after an hour: writes in all", writes, "two writes a daemon and takeover groups"),
		limitedRow("service back after an hour: s at 300 writes/s, renewals deducted", writes/(MaxWritesPerSecond-RenewalsAt15sLease.Fit().Slope*Daemons), MaxPropagationSeconds, "spread over 5.1 s, refused calls made again", ""),
		limitedRow("service back after an hour: the same with busy claims, s", writes/(MaxWritesPerSecond-RenewalsAt15sLease.Fit().Slope*Daemons-ClaimWriteRate.Value), MaxPropagationSeconds, "no order between claims and takeovers",
			"claim commits half as often while owners come back"),
		unlimitedRow("service back after an hour: watch KB to each daemon, without base64", RecoveryWatchKB.Fit().At(Daemons), "every key of members and owners is new"),
		limitedRow("service back after an hour: the same, bytes/s over 16 s", RecoveryWatchKB.Fit().At(Daemons)*1000/MaxPropagationSeconds, MaxBytesPerSecond, "every daemon watches every key",
			"watches of the region alone give a quarter, which keeps to the limit over a minute; over 16 s it does not"),
		limitedRow("zone lost: ms to load its engines' adapters anew, 3 slots and one store of 2 loads/s", reloadSeconds*1000, MaxFirstTokenMillis, "load permits, most urgent first",
			"more copies of awake adapters across zones, or a faster store: it is bound by the store, not by daemons"),
	}
}
