package hop

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// The writer of a request may take the error of a reset that comes while it writes; the reader
// then sees an ordinary end of the connection.
func TestResetWhileTheRequestIsWrittenEndsNoResponseWithoutLength(t *testing.T) {
	const rounds = 40
	_, pool := newScriptedServer(t, func(conn net.Conn, _ int32) bool {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\n\r\na part of the bo")
		time.Sleep(2 * time.Millisecond)
		conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	request := &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Unread": {"1"}}, Body: make([]byte, 8<<20)}
	for range rounds {
		response, err := pool.Send(t.Context(), request, Options{})
		if err != nil {
			continue
		}
		if body, err := io.ReadAll(response.Body); err == nil {
			t.Errorf("%q was taken for a whole body", body)
		}
		response.Discard()
	}
}

// An upstream may end an answer without a length before it has read the request, and read on.
func TestResponseWithoutLengthBeforeTheRequestIsReadIsWhole(t *testing.T) {
	_, pool := newScriptedServer(t, func(conn net.Conn, _ int32) bool {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nearly")
		conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
		return false
	})
	request := &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Unread": {"1"}}, Body: make([]byte, 8<<20)}
	response, err := pool.Send(t.Context(), request, Options{})
	if err != nil {
		t.Fatal(err)
	}
	if got := readBody(t, response); got != "early" {
		t.Errorf("got %q", got)
	}
	response.Discard()
}

// A head that stops anywhere is no answer, also if the connection then ends in order.
func TestHeadThatStopsIsAnError(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 40\r\nContent-Type: text/event-stream\r\n\r\n"
	if _, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil); err != nil {
		t.Fatal(err)
	}
	stop := make(chan int, 1)
	_, pool := newScriptedServer(t, func(conn net.Conn, _ int32) bool {
		fmt.Fprint(conn, head[:<-stop])
		return false
	})
	for n := range len(head) {
		stop <- n
		if response, err := send(t, pool, "a", 0); err == nil {
			t.Errorf("stopped after %d bytes: got status %d and %v", n, response.StatusCode, response.Header)
			response.Discard()
		}
	}
}
