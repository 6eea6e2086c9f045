package gateway

import (
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/mesh"
)

// A daemon that misses a change must poll well before the change has to be in
// force, whatever the watchers do.
func TestProofOfCompletenessRunsOut(t *testing.T) {
	const (
		digest       = 7
		otherDigest  = 8
		watcherDelay = 150 // milliseconds
	)
	for _, maxStaleness := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second} {
		interval := time.Duration(checkpointShare * float64(maxStaleness))
		// The rest is left to the check of the pause, the poll and applying it.
		latest := maxStaleness - 700*time.Millisecond
		tests := []struct {
			name string
			// checkpoint returns the checkpoint that arrives some time after a
			// change that the daemon has missed, or nil.
			checkpoint func(sinceChange time.Duration) *mesh.Checkpoint
		}{
			{"the forwarded change was lost", func(time.Duration) *mesh.Checkpoint {
				return &mesh.Checkpoint{Digest: otherDigest, Age: watcherDelay}
			}},
			{"all watchers are gone", func(time.Duration) *mesh.Checkpoint { return nil }},
			{"the watchers have lost the service", func(sinceChange time.Duration) *mesh.Checkpoint {
				return &mesh.Checkpoint{Digest: digest, Age: watcherDelay + sinceChange.Milliseconds()}
			}},
		}
		for _, test := range tests {
			var c completeness
			changedAt := time.Minute
			if !c.observe(changedAt, mesh.Checkpoint{Digest: digest, Age: watcherDelay}, digest, maxStaleness) {
				t.Fatalf("%v: a checkpoint with the same digest proves nothing", maxStaleness)
			}
			for at := time.Duration(0); at < latest; at += interval {
				if checkpoint := test.checkpoint(at); checkpoint != nil {
					c.observe(changedAt+at, *checkpoint, digest, maxStaleness)
				}
			}
			if c.isProven(changedAt + latest) {
				t.Errorf("%v, %s: the copy still counts as complete %v after the change", maxStaleness, test.name, latest)
			}
		}
	}
}

// One lost checkpoint must not make a whole fleet poll.
func TestProofOutlastsOneLostCheckpoint(t *testing.T) {
	const maxStaleness = 4 * time.Second
	interval := time.Duration(checkpointShare * float64(maxStaleness))
	var c completeness
	c.observe(time.Minute, mesh.Checkpoint{Age: 150}, 0, maxStaleness)
	if !c.isProven(time.Minute + 2*interval) {
		t.Error("the proof ends with the second checkpoint missing")
	}
	c.revoke()
	if c.isProven(time.Minute) {
		t.Error("the proof outlasts the news of a newer state")
	}
}
