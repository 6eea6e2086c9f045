package mesh

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

func largeUse(n int) EngineUse {
	use := EngineUse{Engine: fmt.Sprint("engine-", n)}
	for i := range 17 {
		use.Adapters = append(use.Adapters, AdapterUse{Model: "a-base-model", Adapter: fmt.Sprint("an-adapter-", i), Count: i + 1, Running: i})
	}
	return use
}

func largeState(n int) EngineState {
	state := EngineState{Engine: fmt.Sprint("engine-", n)}
	for i := range 17 {
		state.Held = append(state.Held, HeldAdapter{Model: "a-base-model", Adapter: fmt.Sprint("an-adapter-", i), Version: 3})
	}
	return state
}

// A heartbeat that is too large for one datagram must be split until each part
// fits or holds a single use or state, and nothing of it may be lost.
func TestLargeNoticesAreSplit(t *testing.T) {
	for uses := range 6 {
		for states := range 6 {
			heartbeat := &Heartbeat{SentAt: 7}
			for n := range uses {
				heartbeat.Uses = append(heartbeat.Uses, largeUse(n))
			}
			for n := range states {
				heartbeat.States = append(heartbeat.States, largeState(n))
			}
			for n := range 40 {
				heartbeat.ConfirmedEngines = append(heartbeat.ConfirmedEngines, fmt.Sprint("a-vouched-engine-", n))
			}
			datagrams, err := encode(Packet{From: "vm", Heartbeat: heartbeat})
			if err != nil {
				t.Fatal(err)
			}
			gotUses, gotStates := 0, 0
			for _, datagram := range datagrams {
				var packet Packet
				if err := cbor.Unmarshal(datagram, &packet); err != nil {
					t.Fatal(err)
				}
				gotUses += len(packet.Heartbeat.Uses)
				gotStates += len(packet.Heartbeat.States)
				if len(datagram) > MaxDatagramSize && len(packet.Heartbeat.Uses)+len(packet.Heartbeat.States) > 1 {
					t.Errorf("%d uses, %d states: a datagram of %d bytes", uses, states, len(datagram))
				}
				if len(packet.Heartbeat.ConfirmedEngines) != 40 || packet.Heartbeat.SentAt != 7 {
					t.Errorf("%d uses, %d states: a part lacks the fields that all parts carry", uses, states)
				}
			}
			if gotUses != uses || gotStates != states {
				t.Errorf("%d uses and %d states sent, want %d and %d", gotUses, gotStates, uses, states)
			}
		}
	}
}
