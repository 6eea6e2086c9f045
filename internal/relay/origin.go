package relay

import (
	"errors"
	"net/http"
	"time"

	"github.com/barleylift/barleylift/internal/locator"
	"github.com/barleylift/barleylift/internal/routing"
	"github.com/barleylift/barleylift/internal/topology"
)

// originTTL is how much longer than its caller waits for it a stream's origin is
// kept: the caller may take the stream up again.
const originTTL = 30 * time.Second

// errOtherSoftware reports that an engine, which was to go on with a stream, has
// started again with another software version.
var errOtherSoftware = errors.New("the engine's software version is not known to be the one that began the stream")

// findOrigin looks up which software version began the stream that the caller takes
// up: that of the attempt that it names, or the only one that the service has had. If that is
// unknown, it refuses the request: what two versions write doesn't fit together.
func (e *exchange) findOrigin() bool {
	origins := e.relay.config.Origins
	var ok bool
	if e.call.FirstTry != "" {
		e.softwareVersion, ok = origins.FindOrigin(e.ctx, e.call.FirstTry)
	}
	if !ok {
		e.softwareVersion, ok = origins.OnlySoftwareVersion(e.ctx, e.service.Name, e.call.FirstTry != "")
	}
	e.relay.config.Metrics.StreamTakenUp(e.service.Name, ok)
	if ok {
		return true
	}
	e.giveUp(http.StatusBadGateway, 0, "it is unknown which software version began the stream")
	return false
}

// recordOrigin records, before the first event of an answer is forwarded, which
// software version begins the stream. It returns false if the stream may not go on at
// the engine.
func (e *exchange) recordOrigin(upstream topology.Upstream) bool {
	if e.viaVM {
		return true // the VM that has the engine's answer records it
	}
	version := e.relay.config.Locator.SoftwareVersion(upstream.ID, upstream.Incarnation)
	if e.lastEventID != "" && version != e.softwareVersion {
		return false
	}
	first := e.events == 0
	e.softwareVersion = version
	if first && version != "" && e.route.Kind == routing.Streaming && e.route.Resumable {
		e.relay.config.Origins.RecordOrigin(e.service.Name, e.call.ID, version, time.Until(e.deadline)+originTTL)
	}
	return true
}

// mayGoOn reports whether the stream can go on at another engine, if it has begun.
func (e *exchange) mayGoOn() bool {
	begun := e.events > 0 || e.lastEventID != ""
	return !begun || e.lastEventID != "" && e.softwareVersion != ""
}

// need returns what the request needs of an engine.
func (e *exchange) need() locator.Need {
	need := locator.Need{Service: e.service.Name, Adapter: e.call.Adapter, Random: e.random(),
		PromptTokens: e.expected.cost.PromptTokens, Links: e.expected.links}
	if e.lastEventID != "" {
		need.SoftwareVersion = e.softwareVersion
	}
	return need
}
