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

// wholeAnswer is an answer whose body was read whole if it is short.
type wholeAnswer struct {
	*upstream.ServiceResponse
}

// readShort reads a short answer of known length whole, so that a break of the
// connection is a failed attempt and not a broken answer.
func readShort(answer *upstream.ServiceResponse) (*wholeAnswer, error) {
	whole := &wholeAnswer{ServiceResponse: answer}
	if answer.ContentLength < 0 || answer.ContentLength > replayLimit {
		return whole, nil
	}
	body, err := io.ReadAll(answer.Body)
	whole.close()
	if err != nil {
		return nil, &cutAnswerError{replica: answer.Replica, status: answer.Status, err: err}
	}
	answer.Body = io.NopCloser(bytes.NewReader(body))
	return whole, nil
}

// cutAnswerError is a short answer that broke off: the service has executed the call.
type cutAnswerError struct {
	replica string
	status  int
	err     error
}

// Error gives the status of the answer and the cause.
func (e *cutAnswerError) Error() string {
	return fmt.Sprintf("the service answered with status %d, but its answer broke off: %v", e.status, e.err)
}

// Unwrap returns the cause.
func (e *cutAnswerError) Unwrap() error {
	return e.err
}

func (a *wholeAnswer) close() {
	_ = a.Body.Close()
}

// passOn writes the service's answer. An answer of unknown length carries the
// outcome as a trailer. If its body breaks off the connection to the caller is
// cut, so that the part cannot be taken for the whole.
func (e *exchange) passOn(answer *wholeAnswer) {
	defer answer.close()
	if answer.Status < http.StatusInternalServerError {
		e.route.budget.Deposit(time.Now())
	}
	header := e.w.Header()
	maps.Copy(header, answer.Header)
	streamed := answer.ContentLength < 0 && e.r.Method != http.MethodHead && bodyAllowed(answer.Status)
	if streamed {
		header.Set("Trailer", call.OutcomeHeader)
	} else {
		header.Set(call.OutcomeHeader, string(call.Done))
	}
	e.w.WriteHeader(answer.Status)
	readErr, writeErr := copyBody(e.w, answer.Body, streamed)
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

// bodyAllowed reports whether an answer with the status has a body (RFC 9110,
// section 6.4.1).
func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// copyBody copies a body and tells the errors of both sides apart. A streamed
// body is flushed after each read.
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

// writeAnswer writes the whole answer to a keyed call.
func writeAnswer(w http.ResponseWriter, answer call.KeyedResponse, head bool) {
	header := w.Header()
	maps.Copy(header, answer.Header)
	header.Set(call.OutcomeHeader, string(call.Done))
	if answer.Replayed {
		header.Set(call.ReplayedHeader, "true")
	}
	if bodyAllowed(answer.Status) && !head {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	w.WriteHeader(answer.Status)
	// The caller is gone if this fails; its answer is recorded.
	_, _ = w.Write(answer.Body)
}
