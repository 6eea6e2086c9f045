package gateway

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/topology"
)

// An engine that was found alive after an ordinary broken answer may end right after that.
func TestEndOfEngineIsFoundRightAfterItWasFoundAlive(t *testing.T) {
	var isDown atomic.Bool
	dial := func(context.Context, netip.AddrPort) (net.Conn, error) {
		if isDown.Load() {
			return nil, syscall.ECONNREFUSED
		}
		conn, _ := net.Pipe()
		return conn, nil
	}
	g := &Gateway{quarantined: newQuarantined(), options: Options{Dial: dial}}
	engine := topology.Upstream{ID: "lm", Incarnation: 1}
	if ended, _ := g.hasEnded(t.Context(), engine, clock.Boot()); ended {
		t.Fatal("an engine that accepts connections counts as ended")
	}
	isDown.Store(true)
	if ended, _ := g.hasEnded(t.Context(), engine, clock.Boot()); !ended {
		t.Error("an engine that refuses connections counts as alive")
	}
}
