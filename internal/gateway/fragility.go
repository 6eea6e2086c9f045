package gateway

import (
	"errors"
	"time"

	"github.com/barleylift/barleylift/internal/dissemination"
	"github.com/barleylift/barleylift/internal/mesh"
)

// maxFragilityAge is the highest age in a message: what is older holds no longer.
const maxFragilityAge = time.Hour

var errFragility = errors.New("the age or the number of refusals is out of range")

// fragilityMessage says that an answer of an upstream of a service has named, Age milliseconds
// ago, how many refusals a second the service's upstreams bear.
type fragilityMessage struct {
	Service     string `cbor:"1,keyasint"`
	MaxRefusals int    `cbor:"2,keyasint,omitempty"`
	Age         int64  `cbor:"3,keyasint,omitempty"`
}

// fragilityEntries returns what another daemon should know of fragile upstreams: it may have
// just started, or have had no answer of theirs.
func (g *Gateway) fragilityEntries() []mesh.Entry {
	var entries []mesh.Entry
	for _, s := range g.locator.FragileServices() {
		entries = append(entries, dissemination.NewEntry(dissemination.KindFragility, fragilityMessage{
			Service: s.Service, MaxRefusals: s.MaxRefusals, Age: s.Age.Milliseconds(),
		}))
	}
	return entries
}

// receiveFragility applies what another daemon knows of fragile upstreams.
func (g *Gateway) receiveFragility(from dissemination.Sender, body []byte) error {
	message, err := dissemination.Decode[fragilityMessage](body)
	if err != nil {
		return err
	}
	if message.Age < 0 || message.Age > maxFragilityAge.Milliseconds() || message.MaxRefusals < 0 {
		return errFragility
	}
	age := time.Duration(message.Age) * time.Millisecond
	if g.locator.RecordFragilityElsewhere(message.Service, message.MaxRefusals, age+maxTransit) {
		g.log.Info("upstreams of a service are fragile according to another VM", "service", message.Service, "vm", from.VM, "bears_refusals", message.MaxRefusals, "age_ms", message.Age)
	}
	return nil
}
