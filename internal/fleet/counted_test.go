package fleet

import (
	"encoding/json"
	"io"
	"log/slog"
	"testing"

	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/infra"
)

// Guards against a fleet that is restarted at once and has no entitlement for seconds: each
// process overwrote the key of the one before it, which said that all VMs count this one.
func TestProcessInheritsCounted(t *testing.T) {
	for _, test := range []struct {
		name   string
		former *Member
		used   bool
		want   int
	}{
		{"restarted", &Member{Name: "vm", Incarnation: 1, Counted: 77}, true, 77},
		{"the process before was not entitled", &Member{Name: "vm", Incarnation: 1}, true, 0},
		{"first start", nil, true, 0},
		{"not used", &Member{Name: "vm", Incarnation: 1, Counted: 77}, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			kv := fake.NewKV()
			if test.former != nil {
				if _, err := kv.Txn(t.Context(), infra.Txn{Then: []infra.Op{infra.Put("p/members/vm", encode(*test.former))}}); err != nil {
					t.Fatal(err)
				}
			}
			k, err := NewKeeper(KeeperConfig{
				KV: kv, Prefix: "p/", Self: Member{Name: "vm", Incarnation: 2}, Timing: testTiming,
				Log: slog.New(slog.NewTextHandler(io.Discard, nil)), InheritCounted: test.used,
			})
			if err != nil {
				t.Fatal(err)
			}
			if err := k.renew(t.Context()); err != nil {
				t.Fatal(err)
			}
			entry, err := kv.Get(t.Context(), "p/members/vm")
			var written Member
			if err != nil || json.Unmarshal(entry.Value, &written) != nil {
				t.Fatalf("member key %q: %v", entry.Value, err)
			}
			if written.Counted != test.want || written.Incarnation != 2 {
				t.Errorf("the new process announces %+v, want %d counted", written, test.want)
			}
		})
	}
}
