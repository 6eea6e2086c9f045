package gateway

import (
	"errors"
	"testing"

	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/mirror"
	"github.com/barleylift/barleylift/internal/routing"
)

// configPlatform decodes values of one byte, the version, as configurations. It counts the ones decoded.
type configPlatform struct {
	Platform
	decoded int
}

var errInvalid = errors.New("invalid")

// Decode implements Platform.
func (p *configPlatform) Decode(change mirror.Change) (Update, error) {
	if change.Superseded {
		return Update{ConfigSuperseded: true}, nil
	}
	p.decoded++
	if change.Entry.Value[0] == 0 {
		return Update{}, errInvalid
	}
	return Update{Config: &routing.Config{Version: int64(change.Entry.Value[0])}}, nil
}

// A delivery in which an invalid configuration follows valid ones must put the newest valid one in force.
func TestInvalidConfigurationLeavesTheOneThatItSuperseded(t *testing.T) {
	change := func(key string, version byte) mirror.Change {
		return mirror.Change{Entry: infra.Entry{Key: key, Value: []byte{version}}, Superseded: version == 1 || version == 2}
	}
	superseded := []mirror.Change{change("config", 1), change("config", 2)}
	tests := map[string]struct {
		last        mirror.Change
		wantVersion int64
		wantDecoded int
	}{
		"valid":                {change("config", 3), 3, 1},
		"invalid":              {change("config", 0), 2, 2},
		"invalid, another key": {change("engine", 0), 0, 1},
	}
	for name, test := range tests {
		p := &configPlatform{}
		g := &Gateway{platform: p}
		update, err := g.decode(test.last, superseded)
		version := int64(0)
		if update.Config != nil {
			version = update.Config.Version
		}
		if isInvalid := test.last.Entry.Value[0] == 0; version != test.wantVersion || p.decoded != test.wantDecoded || (err != nil) != isInvalid {
			t.Errorf("%s: version %d after %d decoded, error %v", name, version, p.decoded, err)
		}
	}
}
