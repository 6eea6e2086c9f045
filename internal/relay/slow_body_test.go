package relay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// shortProtocol gives each request a short time.
type shortProtocol struct{ headerProtocol }

func (shortProtocol) DecodeRequest(r *http.Request) (*Call, error) {
	call, err := headerProtocol{}.DecodeRequest(r)
	call.Timeout = 50 * time.Millisecond
	return call, err
}

// Guards against requests that never end: a caller that sent a byte of its body now and then,
// or none, held a request and its memory beyond its own time limit. The connection is closed,
// as the rest of the body may follow.
func TestBodyThatDoesNotArriveEndsTheRequest(t *testing.T) {
	r, _ := newStreamRelay(t)
	r.config.Protocol = shortProtocol{}
	server := httptest.NewServer(r)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "POST /s/ HTTP/1.1\r\nHost: gym.example\r\nId: r1\r\nContent-Length: 1000\r\n\r\nx")
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
				fmt.Fprint(conn, "x")
			}
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusRequestTimeout || !response.Close {
		t.Errorf("status %d, connection closed %v, want 408 and a closed connection", response.StatusCode, response.Close)
	}
}

// Guards against a time limit of the body that outlives it: requests that take longer than
// their body, and later ones on the connection, must not be taken for those of callers that
// have left.
func TestTimeOfTheBodyEndsWithIt(t *testing.T) {
	left := make(chan bool, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if _, _, err := readBodyUntil(w, request, nil, time.Now().Add(50*time.Millisecond)); err != nil {
			t.Error(err)
		}
		select {
		case <-request.Context().Done():
			left <- true
		case <-time.After(200 * time.Millisecond):
			left <- false
		}
	}))
	defer server.Close()
	for range 2 {
		response, err := http.Post(server.URL, "text/plain", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if <-left {
			t.Fatal("the request counts as left by its caller")
		}
	}
}
