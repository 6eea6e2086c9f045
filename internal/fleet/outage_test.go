package fleet

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/barleylift/barleylift/internal/fake"
	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/mirror"
)

// A daemon whose copy may lack a claim of its engine ordered it in an outage of all; one whose copy is complete must go on.
func TestOrdersInAnOutageNeedAllKnownClaims(t *testing.T) {
	tests := []struct {
		name   string
		outage Outage
		// provenBy is the revision of another daemon's copy that names the engine; 0 for none.
		provenBy int64
		want     bool
	}{
		{"others reach the service", Outage{NewestClaim: 2}, 0, false},
		{"no newer claim", Outage{SharedByAll: true, NewestClaim: 2}, 0, true},
		{"older builds report none", Outage{SharedByAll: true}, 0, true},
		{"a newer claim", Outage{SharedByAll: true, NewestClaim: 9}, 0, false},
		{"a newer claim of another engine", Outage{SharedByAll: true, NewestClaim: 9}, 9, true},
		{"a claim after the proof", Outage{SharedByAll: true, NewestClaim: 9}, 8, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Minute
			k, err := NewKeeper(KeeperConfig{
				KV: fake.NewKV(), Prefix: "p/", Self: Member{Name: "vm-a", Incarnation: 1}, Timing: testTiming, Log: slog.New(slog.DiscardHandler),
				Now: func() time.Duration { return now }, Outage: func() Outage { return test.outage },
			})
			if err != nil {
				t.Fatal(err)
			}
			k.everRenewed = true
			k.Apply([]mirror.Change{{Entry: infra.Entry{Key: "p/engines/e", Value: encode(record{Member: "vm-a", Incarnation: 1}), ModRevision: 2}}}, 2)
			now += time.Minute
			if test.provenBy != 0 {
				k.ProveOwnership([]string{"e"}, test.provenBy)
			}
			if _, got := k.MayOrder("e"); got != test.want {
				t.Errorf("may order is %v, want %v", got, test.want)
			}
		})
	}
}

// member is a daemon of an outageSchedule and what it has heard of the others.
type member struct {
	keeper *Keeper
	kv     *faultyKV
	// away is set while the daemon is frozen or cut off: it calls and hears nobody, and sends no orders.
	away  bool
	heard map[*member]heardReport
}

type heardReport struct {
	at          time.Duration
	down        bool
	newestClaim int64
}

// outageSchedule is a fleet whose daemons are away at random, beside outages of the service.
type outageSchedule struct {
	members []*member
	now     func() time.Duration
	down    bool
}

// outage is the Outage of one member.
func (s *outageSchedule) outage(m *member) Outage {
	o := Outage{SharedByAll: !m.keeper.StoreConnected()}
	for _, other := range s.members {
		report := m.heard[other]
		if other == m {
			continue
		}
		isHeard := report.down && s.now()-report.at <= time.Second
		o.SharedByAll = o.SharedByAll && isHeard
		if isHeard {
			o.NewestClaim = max(o.NewestClaim, report.newestClaim)
		}
	}
	return o
}

// exchange makes all members that are not away report to each other.
func (s *outageSchedule) exchange() {
	for _, from := range s.members {
		newest := max(from.keeper.NewestClaim(), s.outage(from).NewestClaim)
		for _, to := range s.members {
			if from == to || from.away || to.away {
				continue
			}
			to.heard[from] = heardReport{s.now(), !from.keeper.StoreConnected(), newest}
			engines, revision := from.keeper.OwnedAsOf(to.keeper.Self().Name, 1)
			to.keeper.ProveOwnership(engines, revision)
		}
	}
}

// step changes who is away and whether the service is down. Daemons come back in the middle of outages.
func (s *outageSchedule) step(random *rand.Rand) {
	m := s.members[random.IntN(len(s.members))]
	switch random.IntN(500) {
	case 0:
		m.away = true
	case 1, 2, 3, 4:
		m.away = false
	case 5:
		s.down = true
	case 6, 7:
		s.down = false
	}
	for _, m := range s.members {
		m.kv.setFaults(s.down || m.away, false)
	}
}

// While daemons freeze or are cut off and come back in outages of the service, orders of two daemons to an engine stay the quiet time apart.
func TestOrdersStayTheQuietTimeApartOverOutages(t *testing.T) {
	inOutage := 0
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { inOutage += runOutageSchedule(t, seed) })
		})
	}
	if inOutage == 0 {
		t.Error("no order in an outage of all")
	}
}

// runOutageSchedule plays a minute, and returns how often an engine could be ordered in an outage of all.
func runOutageSchedule(t *testing.T, seed uint64) (inOutage int) {
	random := rand.New(rand.NewPCG(seed, 2))
	origin := time.Now()
	s := &outageSchedule{now: func() time.Duration { return time.Since(origin) + time.Second }}
	kv := fake.NewKV()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var engines []string
	histories := make(map[string]*orderHistory)
	for e := range testEngines {
		engines = append(engines, fmt.Sprint("engine-", e))
		histories[engines[e]] = &orderHistory{}
	}
	for d := range testDaemons {
		m := &member{kv: &faultyKV{KV: kv}, heard: make(map[*member]heardReport)}
		var err error
		if m.keeper, err = NewKeeper(KeeperConfig{
			KV: m.kv, Prefix: "p/", Self: Member{Name: fmt.Sprint("vm-", d), Incarnation: 1}, Timing: testTiming,
			Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Now: s.now, Outage: func() Outage { return s.outage(m) },
		}); err != nil {
			t.Fatal(err)
		}
		follower, err := mirror.New(mirror.Config{KV: m.kv, Apply: m.keeper.Apply, Gap: m.keeper.NoteGap, Log: m.keeper.log})
		if err != nil {
			t.Fatal(err)
		}
		m.keeper.SetEngines(engines)
		go follower.Run(ctx)
		go m.keeper.Run(ctx)
		s.members = append(s.members, m)
	}
	for tick := range 3000 { // a minute in steps of 20 ms
		time.Sleep(20 * time.Millisecond)
		s.step(random)
		if tick%15 == 0 {
			s.exchange()
		}
		for _, id := range engines {
			for _, m := range s.members {
				if m.away {
					continue
				}
				if token, ok := m.keeper.MayOrder(id); ok {
					histories[id].record(t, id, m.keeper.Self().Name, token, s.now())
					if s.outage(m).SharedByAll {
						inOutage++
					}
				}
			}
		}
	}
	cancel()
	synctest.Wait()
	return inOutage
}
