package placement

// Candidate is an engine that an adapter may be placed on.
type Candidate struct {
	Engine string
	Zone   string
}

// EngineLoad is what is known of one engine's load when a decision is made.
type EngineLoad struct {
	Engine     string
	Running    int
	MaxRunning int
	Waiting    int
	// FreeSlots counts empty slots and slots whose adapter nothing uses.
	FreeSlots int
	// Resident tells that the adapter in question is loaded there.
	Resident bool
	// Loading tells that the adapter in question is being loaded there, or
	// that calls wait there for its load.
	Loading bool
}

// fill returns the calls at the engine over its capacity; above 1 calls wait.
func (l EngineLoad) fill() float64 {
	return float64(l.Running+l.Waiting) / float64(max(l.MaxRunning, 1))
}

// holds tells that the engine has the adapter or is about to.
func (l EngineLoad) holds() bool {
	return l.Resident || l.Loading
}
