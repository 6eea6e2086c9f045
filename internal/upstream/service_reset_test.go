package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/barleylift/barleylift/internal/catalog"
)

// serveRaw serves each connection to an address of its own by a function, and then closes it.
func serveRaw(t *testing.T, serve func(conn *net.TCPConn)) (url string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// zeros is a body without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// A part of an answer without a length isn't a whole one if the replica resets the connection
// while the request is being written.
func TestResetWhileTheCallIsWrittenEndsNoAnswerWithoutLength(t *testing.T) {
	const rounds, size = 40, 8 << 20
	url := serveRaw(t, func(conn *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na part of the bo")
		time.Sleep(2 * time.Millisecond)
		conn.SetLinger(0)
	})
	services := newTestServices(t, testTimeout, catalog.Replica{Address: url, Zone: "kakkanad"})
	for range rounds {
		response, err := services.Attempt(context.Background(), ServiceRequest{
			Service: "logbook", Method: http.MethodPost, Target: "/ticks", Body: io.LimitReader(zeros{}, size), ContentLength: size,
		})
		if err != nil {
			continue
		}
		if body, err := io.ReadAll(response.Body); err == nil {
			t.Errorf("%q was taken for a whole body", body)
		}
		response.Body.Close()
	}
}
