package hop

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Bytes that come without end, in a head or in the body of a response that is
// skipped, end the exchange although neither side closes the connection before.
func TestEndlessBytesEndTheExchange(t *testing.T) {
	const skipped = "HTTP/1.1 200 OK\r\nId: old\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := []struct{ name, begin, repeat string }{
		{"status line", "HTTP/1.1 200 ", "O"},
		{"header field", "HTTP/1.1 200 OK\r\nX: ", "x"},
		{"header fields", "HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		{"informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"no response", "", "\x00\xff"},
		{"skipped body", skipped, "4\r\nbody\r\n"},
		{"chunk header of a skipped body", skipped + "4;", "x"},
		{"trailer of a skipped body", skipped + "0\r\n", "X: x\r\n"},
		{"skipped responses", "", responseText("old", "not yours")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan struct{})
			_, pool := newScriptedServer(t, func(conn net.Conn, _ int32) bool {
				defer close(closed)
				repeated := strings.Repeat(test.repeat, 1<<10)
				_, err := io.WriteString(conn, test.begin)
				for err == nil {
					_, err = io.WriteString(conn, repeated)
				}
				return false
			})
			if response, err := send(t, pool, "new", time.Minute); err == nil {
				t.Errorf("got a response with status %d", response.StatusCode)
			}
			<-closed
		})
	}
}
