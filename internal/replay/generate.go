package replay

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/barleylift/barleylift/internal/call"
)

// GenerateConfig describes a trace to be made. The same configuration gives
// the same trace.
type GenerateConfig struct {
	Seed  uint64
	Calls int
	// Duration is the time from the first to the last call.
	Duration time.Duration
	// Adapters is the number of adapters, named by AdapterName.
	Adapters int
	// Versions are the versions of each adapter.
	Versions []string
	// Skew is the exponent of the Zipf distribution over adapters, above 1.
	Skew float64
	// KeyedShare is the share of keyed calls, from 0 to 1.
	KeyedShare float64
	// KeyedPath is the path of keyed calls.
	KeyedPath string
	// MaxTokens bounds the tokens of one model call.
	MaxTokens int
	// AdapterName names the adapter with a number.
	AdapterName func(n int) string
}

func (c GenerateConfig) check() error {
	switch {
	case c.Calls <= 0:
		return errors.New("calls: must be positive")
	case c.Duration <= 0:
		return errors.New("duration: must be positive")
	case c.Adapters <= 0:
		return errors.New("adapters: must be positive")
	case len(c.Versions) == 0:
		return errors.New("versions: at least one is required")
	case c.Skew <= 1:
		return errors.New("skew: must be above 1")
	case c.KeyedShare < 0 || c.KeyedShare > 1:
		return errors.New("keyed share: must be between 0 and 1")
	case c.MaxTokens <= 0:
		return errors.New("max tokens: must be positive")
	case c.AdapterName == nil:
		return errors.New("adapter name: is required")
	}
	return nil
}

// Generate makes a trace. Every third keyed call repeats an earlier key.
func Generate(c GenerateConfig) ([]Item, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	source := rand.New(rand.NewPCG(c.Seed, c.Seed))
	popularity := rand.NewZipf(source, c.Skew, 1, uint64(c.Adapters-1))
	items := make([]Item, c.Calls)
	keys := 0
	for n := range items {
		at := c.Duration * time.Duration(n) / time.Duration(c.Calls)
		if source.Float64() < c.KeyedShare {
			items[n] = c.keyed(at, keyNumber(source, &keys))
			continue
		}
		items[n] = c.model(at, int(popularity.Uint64()), source)
	}
	return items, nil
}

// keyNumber returns a new key's number, or an earlier one every third time.
func keyNumber(source *rand.Rand, keys *int) int {
	if *keys > 0 && source.IntN(3) == 0 {
		return source.IntN(*keys)
	}
	*keys++
	return *keys - 1
}

func (c GenerateConfig) model(at time.Duration, adapter int, source *rand.Rand) Item {
	version := c.Versions[source.IntN(len(c.Versions))]
	return Item{
		OffsetMillis: at.Milliseconds(),
		Kind:         KindModel,
		Model:        c.AdapterName(adapter) + "@" + version,
		Tokens:       1 + source.IntN(c.MaxTokens),
		Outcomes:     []call.Outcome{call.Done},
	}
}

func (c GenerateConfig) keyed(at time.Duration, key int) Item {
	return Item{
		OffsetMillis: at.Milliseconds(),
		Kind:         KindKeyed,
		Path:         c.KeyedPath,
		Key:          fmt.Sprintf("trace-key-%04d", key),
		Outcomes:     []call.Outcome{call.Done},
	}
}
