package placement

// Candidate is an engine that an adapter may be placed on.
type Candidate struct {
	Engine string
	Zone   string
}

// EngineLoad is the last known load of one engine with regard to one adapter.
type EngineLoad struct {
	Engine     string
	Running    int
	MaxRunning int
	Waiting    int
	// FreeSlots is the number of slots that are empty or whose adapter is unused.
	FreeSlots int
	// Resident is set if the adapter is loaded there.
	Resident bool
	// Loading is set if the adapter is being loaded there, or if calls wait
	// there for its load.
	Loading bool
}

// fill returns the number of calls at the engine divided by its capacity; above
// 1, calls wait.
func (l EngineLoad) fill() float64 {
	return float64(l.Running+l.Waiting) / float64(max(l.MaxRunning, 1))
}

// holds reports whether the engine has the adapter or is about to load it.
func (l EngineLoad) holds() bool {
	return l.Resident || l.Loading
}
