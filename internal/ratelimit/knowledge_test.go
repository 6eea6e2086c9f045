package ratelimit

import (
	"testing"
	"time"
)

// An answer that was made earlier must not undo one that was made later, whatever
// the order in which they arrive.
func TestOlderAnswerDoesNotUndoNewer(t *testing.T) {
	at := func(sent, received int, rate float64) Knowledge {
		return Knowledge{Rate: rate, Limited: true, SentAt: time.Duration(sent), ReceivedAt: time.Duration(received)}
	}
	none := func(sent, received int) Knowledge {
		return Knowledge{SentAt: time.Duration(sent), ReceivedAt: time.Duration(received)}
	}
	tests := []struct {
		name    string
		answers []Knowledge
		limited bool
		rate    float64
	}{
		{"first limit", []Knowledge{at(1, 2, 3)}, true, 3},
		{"limit after answers without one", []Knowledge{none(1, 2), none(3, 4), at(5, 6, 3)}, true, 3},
		{"answer without a limit, sent after the limit arrived", []Knowledge{at(1, 2, 3), none(2, 4)}, false, 0},
		{"answer without a limit, sent before the limit arrived", []Knowledge{at(2, 5, 3), none(4, 6)}, true, 3},
		{"answer without a limit that began before the limit", []Knowledge{at(5, 6, 3), none(1, 20)}, true, 3},
		{"limit that arrived before the request of the end", []Knowledge{at(1, 2, 3), none(3, 4), at(1, 3, 3)}, false, 0},
		{"limit that may be newer than its end", []Knowledge{at(1, 2, 3), none(3, 4), at(2, 9, 3)}, true, 3},
		{"lower limit at once", []Knowledge{at(1, 9, 3), at(2, 10, 1)}, true, 1},
		{"higher limit of an overlapping answer", []Knowledge{at(1, 9, 1), at(2, 10, 3)}, true, 1},
		{"higher limit, certainly later", []Knowledge{at(1, 2, 1), at(3, 4, 3)}, true, 3},
		{"renewed limit", []Knowledge{at(1, 2, 3), at(5, 6, 3), none(4, 7)}, true, 3},
		{"answer to a call whose start is unknown", []Knowledge{at(1, 2, 3), none(0, 9)}, true, 3},
		{"limit of nothing", []Knowledge{none(1, 2), at(3, 4, 0)}, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var known Knowledge
			for _, answer := range test.answers {
				known = known.Merged(answer)
			}
			if known.Limited != test.limited || known.Rate != test.rate {
				t.Errorf("limited %t at %g, want %t at %g", known.Limited, known.Rate, test.limited, test.rate)
			}
		})
	}
}
