package claim

import (
	"testing"
	"time"
)

// TestRepeatedReleasesTakeNoMemory guards against a memory leak: a key that is
// claimed and released many times has one entry and one place in the expiry
// index.
func TestRepeatedReleasesTakeNoMemory(t *testing.T) {
	ledger := NewLedger(1, 1<<20)
	now := time.Unix(1000, 0)
	id := NewID(testCustomer, "ticks", "k1")
	for seq := range uint64(100) {
		if verdict, _ := ledger.Decide(id, testCustomer, Digest{}, now); verdict != Admit {
			t.Fatalf("verdict %d", verdict)
		}
		ledger.Begin(id, testCustomer, Digest{}, now.Add(time.Hour))
		ledger.Prepare(id, seq+1)
		ledger.Commit(id)
		ledger.Settle(id, seq+1, Released, nil)
	}
	listed := 0
	for _, ids := range ledger.expiry {
		listed += len(ids)
	}
	if listed != 1 || ledger.Len() != 1 {
		t.Errorf("%d claims listed %d times", ledger.Len(), listed)
	}
	ledger.RemoveExpired(now.Add(2 * time.Hour))
	if ledger.Len() != 0 || ledger.Bytes() != 0 {
		t.Errorf("%d claims, %d bytes left", ledger.Len(), ledger.Bytes())
	}
}
