package plain

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/upstream"
)

const copyBufferSize = 32 << 10 // bytes

var copyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, copyBufferSize)
	return &buffer
}}

// bufferedResponse is a response whose body was read completely if it is short.
type bufferedResponse struct {
	*upstream.ServiceResponse
}

// bufferShort reads a short response of known length completely, so that a lost
// connection is a failed attempt and not a truncated response to the caller.
func bufferShort(response *upstream.ServiceResponse) (*bufferedResponse, error) {
	buffered := &bufferedResponse{ServiceResponse: response}
	if response.ContentLength < 0 || response.ContentLength > maxBufferedBytes {
		return buffered, nil
	}
	body, err := io.ReadAll(response.Body)
	buffered.close()
	if err != nil {
		return nil, &truncatedResponseError{replica: response.Replica, status: response.Status, err: err}
	}
	response.Body = io.NopCloser(bytes.NewReader(body))
	return buffered, nil
}

// truncatedResponseError is returned if a short response was truncated: the
// service has executed the call.
type truncatedResponseError struct {
	replica string
	status  int
	err     error
}

// Error implements error.
func (e *truncatedResponseError) Error() string {
	return fmt.Sprintf("the service answered with status %d, but its answer broke off: %v", e.status, e.err)
}

// Unwrap returns the underlying error.
func (e *truncatedResponseError) Unwrap() error {
	return e.err
}

func (r *bufferedResponse) close() {
	_ = r.Body.Close()
}

// forward writes the service's response. A response of unknown length carries
// the outcome as a trailer. If its body is truncated, the connection to the
// caller is closed, so that the response does not look complete.
func (e *exchange) forward(response *bufferedResponse) {
	defer response.close()
	if response.Status < http.StatusInternalServerError {
		e.route.budget.Deposit(time.Now())
	}
	header := e.w.Header()
	maps.Copy(header, response.Header)
	streamed := response.ContentLength < 0 && e.r.Method != http.MethodHead && bodyAllowed(response.Status)
	if streamed {
		header.Set("Trailer", call.OutcomeHeader)
	} else {
		header.Set(call.OutcomeHeader, string(call.Done))
	}
	e.w.WriteHeader(response.Status)
	readErr, writeErr := copyBody(e.w, response.Body, streamed)
	switch {
	case readErr != nil && e.r.Context().Err() == nil:
		e.route.observe(e.customer.Name, e.profile.Name, call.Failed(call.Incomplete, call.CodeConnectionLost, ""))
		panic(http.ErrAbortHandler)
	case readErr != nil || writeErr != nil:
		e.route.observe(e.customer.Name, e.profile.Name, call.Failed(call.Incomplete, call.CodeCancelled, ""))
		panic(http.ErrAbortHandler)
	}
	if streamed {
		header.Set(call.OutcomeHeader, string(call.Done))
	}
	e.route.observe(e.customer.Name, e.profile.Name, call.Result{Outcome: call.Done})
}

// bodyAllowed reports whether a response with the status has a body (RFC 9110,
// section 6.4.1).
func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// copyBody copies a body and returns read and write errors separately. A
// streamed body is flushed after each read.
func copyBody(w http.ResponseWriter, body io.Reader, flush bool) (readErr, writeErr error) {
	pooled := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(pooled)
	buffer := *pooled
	controller := http.NewResponseController(w)
	if flush {
		_ = controller.Flush()
	}
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeErr = w.Write(buffer[:n]); writeErr != nil {
				return nil, writeErr
			}
			if flush {
				_ = controller.Flush()
			}
		}
		if err == io.EOF {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
	}
}

// writeKeyedResponse writes the complete response to a keyed call.
func writeKeyedResponse(w http.ResponseWriter, response call.KeyedResponse, head bool) {
	header := w.Header()
	maps.Copy(header, response.Header)
	header.Set(call.OutcomeHeader, string(call.Done))
	if response.Replayed {
		header.Set(call.ReplayedHeader, "true")
	}
	if bodyAllowed(response.Status) && !head {
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	w.WriteHeader(response.Status)
	// A write error means that the caller has disconnected; the response is
	// recorded for a retry.
	_, _ = w.Write(response.Body)
}
