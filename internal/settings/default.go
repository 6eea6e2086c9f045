package settings

// Default returns settings with all defaults; the required keys are empty.
func Default() *Settings {
	return &Settings{
		KeyValue: KeyValue{Timeout: DefaultKeyValueTimeout},
		VMList:   VMList{PollInterval: DefaultVMListInterval},
		Lease:    Lease{TTL: DefaultLeaseTTL},
		Log:      Log{Level: DefaultLogLevel, Format: DefaultLogFormat},
		Drain:    Drain{AnswerKeep: DefaultAnswerKeep, MaxDrain: DefaultMaxDrain},
		Limits: Limits{
			MaxHeaderBytes:   DefaultMaxHeaderBytes,
			MaxBodyBytes:     DefaultMaxBodyBytes,
			MaxConnections:   DefaultMaxConnections,
			MaxCallsInFlight: DefaultMaxCallsInFlight,
		},
		Configuration: Configuration{StaleBound: DefaultStaleBound},
	}
}
