package gateway

import (
	"fmt"
	"testing"

	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/mirror"
)

func testChanges(n int, u urgency, size int) []forwardedChange {
	changes := make([]forwardedChange, n)
	for i := range changes {
		changes[i] = forwardedChange{urgency: u, Change: mirror.Change{Entry: infra.Entry{
			Key: fmt.Sprintf("key-%04d-%d", i, u), Value: make([]byte, size), ModRevision: int64(i + 1),
		}}}
	}
	return changes
}

// When a fleet of a hundred daemons starts, a thousand engines register and are
// claimed at once. A watcher must not exceed its byte limit, and must still
// forward the few urgent changes.
func TestWatcherKeepsItsByteLimitAtStart(t *testing.T) {
	const others = 98
	left := forwardBurst
	allow := func(bytes int) bool {
		if bytes > left {
			return false
		}
		left -= bytes
		return true
	}
	changes := append(testChanges(2000, useful, 250), testChanges(5, urgent, 250)...)
	packets, dropped := packChanges(changes, others, allow)
	bytes, sent := 0, 0
	for i, packet := range packets {
		for j, change := range packet {
			bytes += (len(change.Key) + len(change.Value)) * others
			if wantUrgent := sent < 5; wantUrgent != (change.Key[len(change.Key)-1] == '2') {
				t.Errorf("change %d of packet %d is %s", j, i, change.Key)
			}
			sent++
		}
	}
	if bytes > forwardBurst || sent < 5 || sent+dropped != len(changes) {
		t.Errorf("%d bytes, %d changes sent, %d dropped", bytes, sent, dropped)
	}
}

// The changes of a failover in a small fleet must all be forwarded, several in a
// datagram.
func TestFailoverIsForwardedCompletely(t *testing.T) {
	packets, dropped := packChanges(testChanges(10, useful, 60), 60, func(int) bool { return true })
	if len(packets) != 1 || len(packets[0]) != 10 || dropped != 0 {
		t.Errorf("%d packets, %d dropped", len(packets), dropped)
	}
	packets, _ = packChanges(testChanges(10, useful, maxForwardedValue), 60, func(int) bool { return true })
	if len(packets) != 10 {
		t.Errorf("%d packets of large values, want 10", len(packets))
	}
}
