package relay

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"golang.org/x/sync/semaphore"
)

func TestEventsAreSplitUnchanged(t *testing.T) {
	tests := []struct {
		name, stream string
		ids          []string
		rest         string
	}{
		{"plain", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1", "2"}, ""},
		{"CRLF", "id:1\r\ndata: a\r\n\r\n", []string{"1"}, ""},
		{"several lines, no identifier", "event: x\ndata: a\ndata: b\n\n", []string{""}, ""},
		{"truncated inside an event", "id: 1\ndata: a\n\nid: 2\nda", []string{"1"}, "id: 2\nda"},
		{"truncated before the empty line", "id: 1\ndata: a\n", nil, "id: 1\ndata: a\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reader := newEventReader(iotest.OneByteReader(strings.NewReader(test.stream)), roomForEvents())
			var got bytes.Buffer
			for i := 0; ; i++ {
				e, rest, err := reader.next()
				if err != nil {
					if err != io.EOF || string(rest) != test.rest || i != len(test.ids) {
						t.Errorf("ended with %v after %d events, rest %q", err, i, rest)
					}
					got.Write(rest)
					break
				}
				if i >= len(test.ids) || e.id != test.ids[i] {
					t.Errorf("event %d has the identifier %q", i, e.id)
				}
				got.Write(e.raw)
			}
			if got.String() != test.stream {
				t.Errorf("bytes changed: %q", got.String())
			}
		})
	}
}

func TestEventSizeIsLimited(t *testing.T) {
	_, _, err := newEventReader(strings.NewReader(strings.Repeat("x", maxEventBytes+1)), roomForEvents()).next()
	if !errors.Is(err, errEventTooLarge) {
		t.Errorf("got %v", err)
	}
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2")
	f.Fuzz(func(t *testing.T, stream string) {
		reader := newEventReader(strings.NewReader(stream), roomForEvents())
		var got strings.Builder
		for {
			e, rest, err := reader.next()
			if err != nil {
				got.Write(rest)
				break
			}
			got.Write(e.raw)
		}
		if got.String() != stream {
			t.Errorf("bytes changed: %q became %q", stream, got.String())
		}
	})
}

func roomForEvents() *heldBytes {
	return &heldBytes{bound: semaphore.NewWeighted(defaultMaxHeldBytes)}
}
