package relay

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func TestEventsAreCutWholeAndUnchanged(t *testing.T) {
	tests := []struct {
		name, stream string
		ids          []string
		rest         string
	}{
		{"plain", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1", "2"}, ""},
		{"CRLF", "id:1\r\ndata: a\r\n\r\n", []string{"1"}, ""},
		{"several lines, no identifier", "event: x\ndata: a\ndata: b\n\n", []string{""}, ""},
		{"cut in the middle", "id: 1\ndata: a\n\nid: 2\nda", []string{"1"}, "id: 2\nda"},
		{"cut before the empty line", "id: 1\ndata: a\n", nil, "id: 1\ndata: a\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reader := newEventReader(iotest.OneByteReader(strings.NewReader(test.stream)))
			var seen bytes.Buffer
			for i := 0; ; i++ {
				e, rest, err := reader.next()
				if err != nil {
					if err != io.EOF || string(rest) != test.rest || i != len(test.ids) {
						t.Errorf("ended with %v after %d events, rest %q", err, i, rest)
					}
					seen.Write(rest)
					break
				}
				if i >= len(test.ids) || e.id != test.ids[i] {
					t.Errorf("event %d has the identifier %q", i, e.id)
				}
				seen.Write(e.raw)
			}
			if seen.String() != test.stream {
				t.Errorf("bytes changed: %q", seen.String())
			}
		})
	}
}

func TestEventsAreBounded(t *testing.T) {
	_, _, err := newEventReader(strings.NewReader(strings.Repeat("x", maxEvent+1))).next()
	if !errors.Is(err, errEventTooLarge) {
		t.Errorf("got %v", err)
	}
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2")
	f.Fuzz(func(t *testing.T, stream string) {
		reader := newEventReader(strings.NewReader(stream))
		var seen strings.Builder
		for {
			e, rest, err := reader.next()
			if err != nil {
				seen.Write(rest)
				break
			}
			seen.Write(e.raw)
		}
		if seen.String() != stream {
			t.Errorf("bytes changed: %q became %q", stream, seen.String())
		}
	})
}
