package dissemination

import (
	"errors"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/mesh"
	"github.com/fxamacker/cbor/v2"
)

// pair is two routers that are connected by encoded datagrams.
type pair struct {
	t       *testing.T
	routers map[string]*Router
	// largest is the size of the largest datagram, and dropped counts malformed entries.
	largest, datagrams, dropped int
	answers                     bool
}

func newPair(t *testing.T) *pair {
	p := &pair{t: t, routers: make(map[string]*Router), answers: true}
	for _, vm := range []string{"a", "b"} {
		router, err := NewRouter(Config{
			VM: vm, Incarnation: 1 << 52, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			Send:         func(to string, packet mesh.Packet) { p.send(vm, to, packet) },
			Answers:      func(string, time.Duration) bool { return p.answers },
			CountDropped: func(uint32) { p.dropped++ },
		})
		if err != nil {
			t.Fatal(err)
		}
		p.routers[vm] = router
	}
	return p
}

func (p *pair) send(from, to string, packet mesh.Packet) {
	packet.From, packet.Incarnation = from, 1<<52
	data, err := cbor.Marshal(packet)
	if err != nil {
		p.t.Fatal(err)
	}
	p.datagrams++
	p.largest = max(p.largest, len(data))
	var received mesh.Packet
	if err := cbor.Unmarshal(data, &received); err != nil {
		p.t.Fatal(err)
	}
	p.routers[to].Receive(received)
}

// Entries that don't fit into one datagram must be divided, none may be lost, and no datagram
// may exceed a frame: it would be fragmented, and lost with each fragment.
func TestEntriesAreDividedIntoDatagrams(t *testing.T) {
	for _, exchange := range []bool{false, true} {
		p := newPair(t)
		got := 0
		p.routers["b"].Handle(7, func(Sender, []byte) error { got++; return nil })
		var entries []mesh.Entry
		for i := range 60 {
			entries = append(entries, NewEntry(7, strings.Repeat("x", 10*i)))
		}
		if exchange {
			p.routers["a"].ProduceRequests(7, func(Coordinator) []mesh.Entry { return entries })
			p.routers["a"].Request(Ask{To: Coordinator{VM: "b"}, SentAt: 1 << 60})
		} else {
			p.routers["a"].Send("b", entries...)
		}
		if got != len(entries) || p.largest > mesh.MaxDatagramSize || p.datagrams < 10 {
			t.Errorf("exchange %v: %d of %d entries in %d datagrams of up to %d bytes", exchange, got, len(entries), p.datagrams, p.largest)
		}
	}
}

// An entry that fits into no datagram must not take the others with it.
func TestEntryThatIsTooLargeIsDropped(t *testing.T) {
	p := newPair(t)
	got := 0
	p.routers["b"].Handle(7, func(Sender, []byte) error { got++; return nil })
	p.routers["a"].Send("b", NewEntry(7, strings.Repeat("x", mesh.MaxDatagramSize)), NewEntry(7, "y"))
	if got != 1 || p.dropped != 1 {
		t.Errorf("%d entries received and %d dropped, want 1 and 1", got, p.dropped)
	}
}

// Unknown kinds come from newer daemons and are skipped; malformed bodies are counted. Neither
// may stop the other entries.
func TestUnknownKindsAreSkippedAndMalformedBodiesCounted(t *testing.T) {
	p := newPair(t)
	got := 0
	p.routers["b"].Handle(7, func(_ Sender, body []byte) error {
		if _, err := Decode[string](body); err != nil {
			return err
		}
		got++
		return nil
	})
	p.routers["b"].Handle(8, func(Sender, []byte) error { return errors.New("malformed") })
	p.routers["a"].Send("b", NewEntry(99, 1), mesh.Entry{Kind: 7, Body: []byte{0xff}}, mesh.Entry{Kind: 7}, NewEntry(8, 1), NewEntry(7, "y"))
	if got != 1 || p.dropped != 3 {
		t.Errorf("%d entries handled and %d dropped, want 1 and 3", got, p.dropped)
	}
}

// Only a reply that echoes a request carries a time, and a daemon that is asked for freshness
// only must not answer as a coordinator.
func TestRepliesCarryTheTimeOfTheRequest(t *testing.T) {
	for _, test := range []struct {
		name                   string
		to                     string
		freshnessOnly, answers bool
		wantAskedAt            time.Duration
		wantLoads              int
	}{
		{"coordinator", "b", false, true, time.Second, 1},
		{"freshness only", "b", true, true, time.Second, 0},
		{"foreign echo", "b", false, false, 0, 1},
		{"own VM", "a", false, false, time.Second, 1},
	} {
		p := newPair(t)
		p.answers = test.answers
		var askedAt time.Duration
		states, loads, uses := 0, 0, 0
		for _, r := range p.routers {
			r.Handle(KindConfigState, func(from Sender, _ []byte) error { states, askedAt = states+1, from.AskedAt; return nil })
			r.Handle(KindReplicaLoad, func(Sender, []byte) error { loads++; return nil })
			r.Handle(KindReplicaUse, func(from Sender, _ []byte) error {
				if from.AskedAt != 0 || from.VM != "a" {
					t.Errorf("%s: a request's entry is from %+v", test.name, from)
				}
				uses++
				return nil
			})
			r.ProduceReplies(KindReplicaLoad, func(Sender) []mesh.Entry { return []mesh.Entry{NewEntry(KindReplicaLoad, 1)} })
			r.ProduceReplies(KindConfigState, func(Sender) []mesh.Entry { return []mesh.Entry{NewEntry(KindConfigState, 1)} })
			r.ProduceRequests(KindReplicaUse, func(Coordinator) []mesh.Entry { return []mesh.Entry{NewEntry(KindReplicaUse, 1)} })
		}
		p.routers["a"].Request(Ask{To: Coordinator{VM: test.to}, SentAt: time.Second, FreshnessOnly: test.freshnessOnly})
		if askedAt != test.wantAskedAt || states != 1 || loads != test.wantLoads || uses != test.wantLoads {
			t.Errorf("%s: %d states asked for at %v, %d loads, %d uses", test.name, states, askedAt, loads, uses)
		}
	}
}
