package relay

import (
	"testing"

	"github.com/barleylift/barleylift/internal/hop"
)

func TestAttribution(t *testing.T) {
	const conn, other hop.ConnID = 7, 8
	tests := []struct {
		name       string
		responseID string
		reused     bool
		earlier    []hop.ConnID
		want       attribution
	}{
		{"own identifier, new connection", "r1", false, nil, attributedByID},
		{"own identifier, reused connection", "r1", true, []hop.ConnID{other}, attributedByID},
		{"own identifier, connection of an earlier send", "r1", true, []hop.ConnID{other, conn}, ambiguousSend},
		{"no identifier, connection of an earlier send", "", true, []hop.ConnID{conn}, ambiguousSend},
		{"no identifier, reused connection", "", true, nil, ambiguousRequest},
		{"no identifier, new connection", "", false, nil, attributedByConnection},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := attribute(test.responseID, conn, test.reused, test.earlier); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}
