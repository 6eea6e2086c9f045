package engine

import (
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/call"
)

// TestUnloadOutstandingAcrossRestart checks an unload that was sent to a new
// engine process before the restart was noticed. It may arrive at any later time,
// so nothing may be dispatched to its slot before the order has ended.
func TestUnloadOutstandingAcrossRestart(t *testing.T) {
	now := time.Unix(1000, 0)
	adapter := call.AdapterRef{Name: "a", Version: "1"}
	e := New(Config{Slots: 1, MaxRunning: 1, MaxDeliveryDelay: time.Second, ChecksFencing: true})
	poll := uint64(0)
	report := func(boot string, resident ...call.AdapterRef) {
		now = now.Add(time.Minute)
		poll++
		e.Apply(Report{Poll: poll, BootID: boot, Sequence: poll, NotBefore: now, Resident: resident}, now)
	}
	e.RecordFence("one", now)
	report("one", adapter)
	order, ok := e.BeginUnload(adapter, true, now)
	if !ok {
		t.Fatal("the unload was refused")
	}
	// A predecessor's order has loaded the adapter again after the restart.
	report("two", adapter)
	e.RecordFence("two", now)
	report("two", adapter)
	if e.CanRun(adapter) {
		t.Fatal("a call may be dispatched while the unload is outstanding")
	}
	e.EndUnload(order, ReplyLost, "", now)
	report("two", adapter)
	if !e.CanRun(adapter) {
		t.Fatal("the slot was not settled after the order had ended")
	}
}
