package promise

import (
	"errors"
	"testing"

	"github.com/barleylift/barleylift/internal/catalog"
	"github.com/barleylift/barleylift/internal/dev"
)

// TestAcceptedConfigurationIsInForceEverywhere guards against lost and reverted
// configurations. Of two concurrent applies on the same base generation one must
// fail with a conflict, the other's generation must be in force at every daemon,
// and no daemon may revert to an older one when the key-value service is
// restored from an older snapshot.
func TestAcceptedConfigurationIsInForceEverywhere(t *testing.T) {
	t.Parallel()
	c := startCluster(t, dev.Options{})
	snapshot := c.KV.Snapshot()
	baseGeneration := uint64(1)
	results := make(chan error, 2)
	for n := range 2 {
		go func() {
			contents := c.Contents
			contents.Adapters = append(contents.Adapters[:len(contents.Adapters):len(contents.Adapters)],
				catalog.Adapter{Name: dev.AdapterName(100 + n), BaseModel: dev.BaseModel, Versions: []string{"v1"}})
			_, err := catalog.Apply(t.Context(), c.KV, contents, &baseGeneration)
			results <- err
		}()
	}
	conflicts := 0
	for range 2 {
		var conflict *catalog.ConflictError
		if err := <-results; errors.As(err, &conflict) {
			conflicts++
		} else if err != nil {
			t.Fatal(err)
		}
	}
	if conflicts != 1 {
		t.Fatalf("%d of 2 concurrent applies failed with a conflict, want 1", conflicts)
	}
	await(t, func() bool { return lowestGeneration(c) == 2 })
	c.KV.Restore(snapshot)
	c.KV.BreakWatches()
	// The daemons restore the generation in force to the service, where new
	// daemons and operators read it.
	await(t, func() bool {
		if lowestGeneration(c) < 2 {
			t.Fatal("a daemon reverted to an older generation")
		}
		head, found, err := catalog.ReadHead(t.Context(), c.KV)
		return err == nil && found && head.Generation >= 2
	})
}

// lowestGeneration returns the lowest of the generations in force at the daemons.
func lowestGeneration(c *dev.Cluster) uint64 {
	generation := c.Daemons[0].Generation()
	for _, d := range c.Daemons {
		generation = min(generation, d.Generation())
	}
	return generation
}
