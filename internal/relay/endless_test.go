package relay

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
)

// discardingWriter counts the bytes of a response and keeps none.
type discardingWriter struct {
	*httptest.ResponseRecorder
	bytes int64
}

func (w *discardingWriter) Write(p []byte) (int, error) {
	w.bytes += int64(len(p))
	return len(p), nil
}

// An upstream whose answer has no end, or stalls, neither holds up the request nor
// takes memory.
func TestEndlessAnswersEnd(t *testing.T) {
	const maxHeapGrowth = 32 << 20
	answer := func(id string) string {
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n"
	}
	endless := func(w io.Writer, begin, repeat string) {
		_, err := io.WriteString(w, begin)
		for repeated := strings.Repeat(repeat, 1<<10); err == nil; {
			_, err = io.WriteString(w, repeated)
		}
	}
	refusal := func(id string) string {
		return "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: " + id + "\r\nContent-Length: 9\r\n\r\nfull"
	}
	event := "id: 0\ndata: " + strings.Repeat("x", 1<<10) + "\n\n"
	tests := []struct {
		name, path string
		first      func(w io.Writer, id string)
		status     int
		// broken is set if the caller's connection ends without a complete answer.
		broken bool
	}{
		{"refusal that stalls", "/p/", func(w io.Writer, id string) { fmt.Fprint(w, refusal(id)) }, http.StatusOK, false},
		{"engine's refusal that stalls", "/s/", func(w io.Writer, id string) { fmt.Fprint(w, refusal(id)) }, http.StatusOK, false},
		{"chunk header", "/p/", func(w io.Writer, id string) { endless(w, answer(id)+"4;", "x") }, http.StatusBadGateway, false},
		{"trailer", "/p/", func(w io.Writer, id string) { endless(w, answer(id)+"0\r\n", "X: x\r\n") }, http.StatusBadGateway, false},
		{"body", "/p/", func(w io.Writer, id string) { endless(w, answer(id), "8\r\nno end..\r\n") }, http.StatusOK, true},
		{"event", "/s/", func(w io.Writer, id string) { endless(w, answer(id), "8\r\nno end..\r\n") }, http.StatusBadGateway, false},
		{"events", "/s/", func(w io.Writer, id string) {
			endless(w, answer(id), fmt.Sprintf("%x\r\n%s\r\n", len(event), strings.ReplaceAll(event, "id: 0\n", ":    \n")))
		}, http.StatusOK, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			u := startRawUpstream(t, func(u *rawUpstream, w io.Writer, conn, _ int, id string) {
				if conn == 1 {
					test.first(w, id)
					return
				}
				u.run(w, id)
			})
			r := newResendRelay(t, u)
			request := httptest.NewRequest(http.MethodPost, test.path, strings.NewReader("tick"))
			request.Header.Set("Id", "r1")
			w := &discardingWriter{ResponseRecorder: httptest.NewRecorder()}
			before := heapInUse()
			broken := func() (broken bool) {
				defer func() { broken = recover() == http.ErrAbortHandler }()
				r.ServeHTTP(w, request)
				return false
			}()
			if w.Code != test.status || broken != test.broken {
				t.Errorf("status %d, broken %t; want %d, %t", w.Code, broken, test.status, test.broken)
			}
			if grown := heapInUse() - before; grown > maxHeapGrowth {
				t.Errorf("the heap has grown by %d MB", grown>>20)
			}
		})
	}
}

func heapInUse() int64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse)
}
