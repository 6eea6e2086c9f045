package ownership

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/infra"
)

// recorder is a Listener that records its calls.
type recorder struct {
	mu     sync.Mutex
	held   map[resourceKey]Token
	gains  int
	losses int
	onLost func(Holding)
}

func (r *recorder) Gained(h Holding) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[keyOf(h.Resource)] = h.Token
	r.gains++
}

func (r *recorder) Lost(h Holding) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.held, keyOf(h.Resource))
	r.losses++
	if r.onLost != nil {
		r.onLost(h)
	}
}

func (r *recorder) counts() (held, gains, losses int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.held), r.gains, r.losses
}

// fleet is a set of managers over one service, within a synctest bubble.
type fleet struct {
	t         testing.TB
	kv        *fake.KV
	resources []Resource
	managers  []*Manager
	recorders []*recorder
}

func zoneName(i int) string {
	return fmt.Sprintf("zone-%d", i)
}

// regionName puts three zones into a region.
func regionName(zone string) string {
	var i int
	_, _ = fmt.Sscanf(zone, "zone-%d", &i)
	return fmt.Sprintf("region-%d", i/3)
}

func engines(n, zones int) []Resource {
	resources := make([]Resource, n)
	for i := range resources {
		resources[i] = Resource{Kind: KindEngine, ID: fmt.Sprintf("engine-%d", i), Zone: zoneName(i % zones)}
	}
	return resources
}

func newFleet(t testing.TB, daemons, zones int, resources []Resource) *fleet {
	f := &fleet{t: t, kv: fake.NewKV(), resources: resources}
	for i := range daemons {
		f.add(fmt.Sprintf("daemon-%03d", i), zoneName(i%zones), f.kv)
	}
	return f
}

func (f *fleet) add(name, zone string, kv infra.KV) *Manager {
	f.t.Helper()
	r := &recorder{held: make(map[resourceKey]Token)}
	m, err := NewManager(Config{
		KV:       kv,
		Self:     Member{Name: name, Zone: zone, Region: regionName(zone), PeerAddress: "127.0.0.1:7400", EntryAddress: "127.0.0.1:8080"},
		Listener: r,
		Log:      slog.New(slog.DiscardHandler),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	m.SetResources(f.resources)
	f.managers = append(f.managers, m)
	f.recorders = append(f.recorders, r)
	return m
}

func (f *fleet) start() {
	for _, m := range f.managers {
		if err := m.Start(f.t.Context()); err != nil {
			f.t.Fatal(err)
		}
	}
}

func (f *fleet) stop() {
	for _, m := range f.managers {
		m.Stop(f.t.Context())
	}
}

// holders returns the managers that hold the resource under a valid lease.
func (f *fleet) holders(r Resource) []int {
	var holders []int
	for i, m := range f.managers {
		if _, ok := m.Holds(r.Kind, r.ID); ok {
			holders = append(holders, i)
		}
	}
	return holders
}

// owned returns the number of resources with exactly one holder under a valid
// lease, and fails on any with two.
func (f *fleet) owned() int {
	f.t.Helper()
	holders := make(map[resourceKey]int)
	for i, r := range f.recorders {
		r.mu.Lock()
		for key := range r.held {
			if _, ok := f.managers[i].Holds(key.kind, key.id); !ok {
				continue
			}
			if other, ok := holders[key]; ok {
				f.t.Fatalf("%s is held by daemons %d and %d", key.id, other, i)
			}
			holders[key] = i
		}
		r.mu.Unlock()
	}
	return len(holders)
}

func (f *fleet) requireAllOwned(when string) {
	f.t.Helper()
	if n := f.owned(); n != len(f.resources) {
		f.t.Fatalf("%s: %d of %d resources are owned", when, n, len(f.resources))
	}
}

func TestManagerTakesOverAfterLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9, 3, engines(12, 3))
		f.start()
		time.Sleep(time.Minute)
		f.requireAllOwned("after the start")
		stopped := f.holders(f.resources[0])[0]
		lease, _ := f.managers[stopped].Lease()
		before, _ := f.managers[stopped].Holds(KindEngine, "engine-0")
		f.managers[stopped].cancel()
		time.Sleep(DefaultLeaseTTL + 30*time.Second)
		if n := f.owned(); n != len(f.resources) {
			t.Fatalf("%d resources are owned after lease %d ended", n, lease)
		}
		after, _ := f.managers[f.holders(f.resources[0])[0]].Holds(KindEngine, "engine-0")
		if after <= before {
			t.Errorf("token changed from %d to %d, want a greater one", before, after)
		}
		f.stop()
		if r, err := f.kv.Range(context.Background(), ""); err != nil || len(r.Entries) != 0 {
			t.Errorf("keys remain after all have stopped: %+v, %v", r.Entries, err)
		}
	})
}

func TestManagerOutage(t *testing.T) {
	for _, tc := range []struct {
		name   string
		length time.Duration
		// leasesKept is set if the service kept the leases during the outage.
		leasesKept bool
	}{
		{"shorter than the lease", DefaultLeaseTTL / 2, false},
		{"longer, leases kept", 10 * time.Minute, true},
		{"longer, leases ended", 10 * time.Minute, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 9, 3, engines(12, 3))
				f.start()
				time.Sleep(time.Minute)
				f.kv.SetDown(true)
				if tc.leasesKept {
					f.kv.FreezeLeases(true)
				}
				time.Sleep(tc.length)
				for i, r := range f.recorders {
					if _, _, losses := r.counts(); losses != 0 {
						t.Errorf("daemon %d lost %d resources during the outage", i, losses)
					}
				}
				if tc.length > DefaultLeaseTTL && f.owned() != 0 {
					t.Error("a lease is reported as valid without a renewal")
				}
				f.kv.SetDown(false)
				f.kv.FreezeLeases(false)
				time.Sleep(30 * time.Second)
				f.requireAllOwned("after the outage")
				lost := 0
				for _, r := range f.recorders {
					_, _, losses := r.counts()
					lost += losses
				}
				leasesEnded := tc.length > DefaultLeaseTTL && !tc.leasesKept
				if want := map[bool]int{true: len(f.resources)}[leasesEnded]; lost != want {
					t.Errorf("%d losses, want %d", lost, want)
				}
				f.stop()
			})
		})
	}
}

func TestManagerReleaseTransfersOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1, engines(6, 1))
		f.start()
		time.Sleep(time.Minute)
		leaving := f.holders(f.resources[0])[0]
		m := f.managers[leaving]
		f.recorders[leaving].onLost = func(h Holding) {
			if e, _ := f.kv.Get(context.Background(), ownerKey(keyOf(h.Resource))); e.CreateRevision != int64(h.Token) {
				t.Errorf("the key of %s was deleted before the loss was delivered", h.Resource.ID)
			}
		}
		if err := m.MarkLeaving(t.Context()); err != nil {
			t.Fatal(err)
		}
		for _, r := range f.resources {
			if err := m.Release(t.Context(), r.Kind, r.ID); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(5 * time.Second)
		f.requireAllOwned("after the transfer of ownership")
		if held, _, _ := f.recorders[leaving].counts(); held != 0 {
			t.Errorf("a leaving daemon holds %d resources", held)
		}
		for _, other := range f.managers {
			for _, member := range other.Members() {
				if member.Leaving != (member.Name == m.Self().Name) {
					t.Errorf("%s sees %s leaving=%v", other.Self().Name, member.Name, member.Leaving)
				}
			}
		}
		f.stop()
	})
}

func TestManagerRecoversFromLostReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1, engines(30, 1))
		f.kv.LoseGrantResponses(2)
		f.kv.LoseTxnResponses(20, nil)
		f.start()
		time.Sleep(2 * time.Minute)
		f.requireAllOwned("after lost replies")
		f.stop()
	})
}

func TestManagerRemovedResource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1, engines(8, 1))
		f.start()
		time.Sleep(time.Minute)
		f.resources = f.resources[:3]
		for _, m := range f.managers {
			m.SetResources(f.resources)
		}
		time.Sleep(time.Minute)
		f.requireAllOwned("after the removal")
		if r, err := f.kv.Range(t.Context(), ownersPrefix); err != nil || len(r.Entries) != 3 {
			t.Errorf("owner keys: %+v, %v", r.Entries, err)
		}
		f.stop()
	})
}

func TestManagerMemberKeyDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1, engines(8, 1))
		f.start()
		time.Sleep(time.Minute)
		_, before := f.managers[0].Lease()
		if _, err := f.kv.Txn(t.Context(), infra.Txn{Then: []infra.Op{infra.Delete(memberKey("daemon-000"))}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		f.requireAllOwned("after the member key was deleted")
		if _, after := f.managers[0].Lease(); after <= before {
			t.Errorf("incarnation changed from %d to %d, want a greater one", before, after)
		}
		f.stop()
	})
}

// TestManagerResumesWatches guards against daemons that read all keys again after
// their watches broke, instead of resuming the watches.
func TestManagerResumesWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9, 3, engines(48, 3))
		f.start()
		time.Sleep(time.Minute)
		before := f.kv.Calls()
		f.kv.BreakWatches()
		time.Sleep(time.Minute)
		f.kv.BreakWatches()
		f.managers[0].cancel()
		time.Sleep(time.Minute)
		f.requireAllOwned("after broken watches and the loss of a daemon")
		r, err := f.kv.Range(t.Context(), ownersPrefix)
		if err != nil {
			t.Fatal(err)
		}
		bytesPerRead := 0
		for _, e := range r.Entries {
			bytesPerRead += len(e.Key) + len(e.Value)
		}
		if read := f.kv.Calls().RangeBytes - before.RangeBytes - bytesPerRead; read >= bytesPerRead*len(f.managers) {
			t.Errorf("%d bytes were read again; all owners are %d bytes", read, bytesPerRead)
		}
		f.stop()
	})
}

// TestManagerServiceRestored guards against holdings that do not match the keys in
// the service after it was restored to an older state. That state is from before
// or after the daemons' start, and ownership has been transferred since.
func TestManagerServiceRestored(t *testing.T) {
	for _, tc := range []struct {
		name string
		at   time.Duration
	}{{"before the start", 0}, {"after the start", 30 * time.Second}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 5, 1, engines(15, 1))
				old := f.kv.Snapshot()
				f.start()
				time.Sleep(tc.at)
				if tc.at > 0 {
					old = f.kv.Snapshot()
				}
				time.Sleep(30 * time.Second)
				for _, r := range f.resources[:5] {
					holder := f.managers[f.holders(r)[0]]
					if err := holder.Release(t.Context(), r.Kind, r.ID); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(time.Minute)
				f.kv.Restore(old)
				time.Sleep(2 * time.Minute)
				f.requireAllOwned("after the restore")
				for _, r := range f.resources {
					token, _ := f.managers[f.holders(r)[0]].Holds(r.Kind, r.ID)
					if e, err := f.kv.Get(t.Context(), ownerKey(keyOf(r))); err != nil || Token(e.CreateRevision) != token {
						t.Errorf("%s is held with token %d, its key has %d (%v)", r.ID, token, e.CreateRevision, err)
					}
				}
				f.stop()
			})
		})
	}
}

// TestManagerCreatesNothingWithoutMembers guards against a daemon that can't read
// the member list, and therefore ranks itself first for all resources.
func TestManagerCreatesNothingWithoutMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, 1, engines(40, 1))
		noMembers := &faultyKV{KV: f.kv, failReadsOf: membersPrefix}
		f.add("daemon-blind", zoneName(0), noMembers)
		f.start()
		time.Sleep(time.Minute)
		if n := f.owned(); n != 0 {
			t.Errorf("a daemon without the member list acquired %d resources", n)
		}
		f.stop()
	})
}

// TestManagerWaitsForResumedMemberWatch guards against a daemon that acquires the
// resources of others before its resumed member watch has delivered them. The
// member watch of the first of ten daemons opens late.
func TestManagerWaitsForResumedMemberWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 0, 1, engines(50, 1))
		late := &faultyKV{KV: f.kv, watchDelay: 100 * time.Millisecond}
		late.setFailWatchesOf(membersPrefix)
		first := f.add("daemon-late", zoneName(0), late)
		f.start()
		time.Sleep(5 * time.Second)
		for i := range 9 {
			m := f.add(fmt.Sprintf("daemon-%d", i), zoneName(0), f.kv)
			m.SetResources(nil)
			if err := m.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(5 * time.Second)
		late.setFailWatchesOf("")
		time.Sleep(6 * time.Second)
		if n, _, _ := f.recorders[0].counts(); n > 8 {
			t.Errorf("the daemon with the late watch acquired %d resources; the load bound is 8 with %d members", n, len(first.Members()))
		}
		f.stop()
	})
}

// TestManagerExcess has one daemon acquire all resources while it is alone. Others
// join and must acquire those that it releases as excess.
func TestManagerExcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1, engines(40, 1))
		f.start()
		time.Sleep(time.Minute)
		f.requireAllOwned("by the first")
		first := f.managers[0]
		if excess := first.Excess(); len(excess) != 0 {
			t.Fatalf("a lone daemon has an excess of %d", len(excess))
		}
		for i := range 3 {
			if err := f.add(fmt.Sprintf("late-%d", i), zoneName(0), f.kv).Start(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Minute)
		excess := first.Excess()
		// The bound is 1.5 times the mean of 10.
		if len(excess) != 25 {
			t.Fatalf("excess of %d, want 25", len(excess))
		}
		for _, h := range excess {
			if err := first.Release(t.Context(), h.Resource.Kind, h.Resource.ID); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Minute)
		f.requireAllOwned("after the release")
		for i, r := range f.recorders {
			if n, _, _ := r.counts(); n > 15 {
				t.Errorf("daemon %d holds %d resources", i, n)
			}
		}
		f.stop()
	})
}
