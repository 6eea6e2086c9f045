package replay

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/barleylift/barleylift/internal/call"
)

// GenerateConfig describes a trace to generate. The same configuration always
// gives the same trace.
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
	// MaxTokens is the largest number of tokens of one model call.
	MaxTokens int
	// AdapterName returns the name of the adapter with a number.
	AdapterName func(n int) string
}

func (c GenerateConfig) validate() error {
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

// Generate creates a trace. On average one in three keyed calls repeats an
// earlier key.
func Generate(c GenerateConfig) ([]Item, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(c.Seed, c.Seed))
	popularity := rand.NewZipf(random, c.Skew, 1, uint64(c.Adapters-1))
	items := make([]Item, c.Calls)
	keys := 0
	for n := range items {
		offset := c.Duration * time.Duration(n) / time.Duration(c.Calls)
		if random.Float64() < c.KeyedShare {
			items[n] = c.keyedItem(offset, chooseKey(random, &keys))
			continue
		}
		items[n] = c.modelItem(offset, int(popularity.Uint64()), random)
	}
	return items, nil
}

// chooseKey returns the number of a new key or, with probability 1/3, that of
// an earlier one. keys counts the keys so far.
func chooseKey(random *rand.Rand, keys *int) int {
	if *keys > 0 && random.IntN(3) == 0 {
		return random.IntN(*keys)
	}
	*keys++
	return *keys - 1
}

func (c GenerateConfig) modelItem(offset time.Duration, adapter int, random *rand.Rand) Item {
	version := c.Versions[random.IntN(len(c.Versions))]
	return Item{
		OffsetMillis: offset.Milliseconds(),
		Kind:         KindModel,
		Model:        c.AdapterName(adapter) + "@" + version,
		Tokens:       1 + random.IntN(c.MaxTokens),
		Outcomes:     []call.Outcome{call.Done},
	}
}

func (c GenerateConfig) keyedItem(offset time.Duration, key int) Item {
	return Item{
		OffsetMillis: offset.Milliseconds(),
		Kind:         KindKeyed,
		Path:         c.KeyedPath,
		Key:          fmt.Sprintf("trace-key-%04d", key),
		Outcomes:     []call.Outcome{call.Done},
	}
}
