package hop

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
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

// invalidHeads are heads that break RFC 9110, without the empty line.
func invalidHeads() map[string]string {
	const fields = "Id: a\r\nContent-Length: 4\r\n"
	return map[string]string{
		"status 000":                    "HTTP/1.1 000 No\r\n" + fields,
		"status below 100":              "HTTP/1.1 099 Low\r\n" + fields,
		"status with a sign":            "HTTP/1.1 +20 Sign\r\n" + fields,
		"status above 599":              "HTTP/1.1 999 High\r\n" + fields,
		"blank in a name":               "HTTP/1.1 200 OK\r\nA b: c\r\n" + fields,
		"blank after Content-Length":    "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length : 4\r\n",
		"blank after Transfer-Encoding": "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding : chunked\r\n",
		"blank before a name":           "HTTP/1.1 200 OK\r\n A: c\r\n" + fields,
		"empty name":                    "HTTP/1.1 200 OK\r\n: c\r\n" + fields,
		"control byte in a name":        "HTTP/1.1 200 OK\r\nA\x01b: c\r\n" + fields,
		"tab in a name":                 "HTTP/1.1 200 OK\r\nA\tb: c\r\n" + fields,
		"control byte in a value":       "HTTP/1.1 200 OK\r\nA: c\x01d\r\n" + fields,
	}
}

// What follows a head that breaks RFC 9110 can't be told from a body.
func TestInvalidHeadIsAnError(t *testing.T) {
	heads := invalidHeads()
	heads["informational"] = "HTTP/1.1 103 Hints\r\nA b: c\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n"
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			_, pool := newScriptedServer(t, func(conn net.Conn, _ int32) bool {
				io.WriteString(conn, head+"\r\nbody")
				return false
			})
			if response, err := send(t, pool, "a", time.Minute); err == nil {
				t.Errorf("got a response with status %d and %v", response.StatusCode, response.Header)
			}
		})
	}
}

// net/http's transport has the same leniency.
func TestInvalidHeadIsAnErrorOfTheTransport(t *testing.T) {
	for name, head := range invalidHeads() {
		t.Run(name, func(t *testing.T) {
			_, pool := newScriptedServer(t, func(conn net.Conn, _ int32) bool {
				io.WriteString(conn, head+"\r\nbody")
				return false
			})
			transport := Transport{Transport: &http.Transport{}}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport}
			response, err := client.Get("http://" + pool.address.String())
			if err == nil {
				t.Errorf("got a response with status %d and %v", response.StatusCode, response.Header)
				response.Body.Close()
			}
		})
	}
}

// A head that stops anywhere is no answer, also if the connection then ends in order.
func TestHeadThatStopsIsAnError(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 40\r\nContent-Type: text/event-stream\r\n\r\n"
	if _, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil); err != nil {
		t.Fatal(err)
	}
	var stop atomic.Int64
	_, pool := newScriptedServer(t, func(conn net.Conn, _ int32) bool {
		fmt.Fprint(conn, head[:stop.Load()])
		return false
	})
	client := &http.Client{Transport: Transport{Transport: &http.Transport{DisableKeepAlives: true}}}
	for n := range len(head) {
		stop.Store(int64(n))
		if response, err := send(t, pool, "a", 0); err == nil {
			t.Errorf("stopped after %d bytes: got status %d and %v", n, response.StatusCode, response.Header)
			response.Discard()
		}
		if response, err := client.Post("http://"+pool.address.String(), "", nil); err == nil {
			t.Errorf("stopped after %d bytes: the transport got status %d and %v", n, response.StatusCode, response.Header)
			response.Body.Close()
		}
	}
}
