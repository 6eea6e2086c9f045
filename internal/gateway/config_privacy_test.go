package gateway

import (
	"errors"
	"testing"

	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/mirror"
	"github.com/barleylift/barleylift/internal/routing"
)

// Guards against a configuration in datagrams to other daemons: it holds API keys. One that
// is delivered unchanged is no exception.
func TestConfigurationIsNotForwarded(t *testing.T) {
	change := mirror.Change{Entry: infra.Entry{Key: "configuration", Value: []byte("{}")}}
	for name, update := range map[string]Update{"new": {Config: &routing.Config{}}, "unchanged": {ConfigUnchanged: true}} {
		if got := (&Gateway{}).urgencyOf(change, update, nil); got != routine {
			t.Errorf("%s: urgency %d, want %d, which is not forwarded", name, got, routine)
		}
	}
	if got := (&Gateway{}).urgencyOf(change, Update{}, errors.New("malformed")); got != routine {
		t.Errorf("malformed: urgency %d, want %d", got, routine)
	}
}
