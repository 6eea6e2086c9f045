package call

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// HTTP header fields of responses and upstream requests.
const (
	// OutcomeHeader carries the Outcome, as a header or as a trailer.
	OutcomeHeader = "Barleylift-Outcome"
	// ReplayedHeader is "true" on a response that was recorded for an earlier call
	// with the same idempotency key.
	ReplayedHeader = "Barleylift-Replayed"
	// CustomerHeader carries the authenticated customer's name to an upstream.
	CustomerHeader = "Barleylift-Customer"
	// NotExecutedHeader is "true" on a 429 or 503 response of a plain service that
	// refused the call before executing any part of it.
	NotExecutedHeader = "Barleylift-Not-Executed"
	// ReservedHeaderPrefix is the prefix of all header fields that callers may not
	// set.
	ReservedHeaderPrefix = "Barleylift-"
)

// errorBody is the JSON body of an error response that barleylift generates.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Outcome Outcome `json:"outcome"`
	Code    Code    `json:"code"`
	Message string  `json:"message"`
}

// WriteResult writes a failed result as the complete response: its status, the
// outcome header, Retry-After in whole seconds if the result has one, and a
// JSON body. It must be called before any byte of the response is written.
func WriteResult(w http.ResponseWriter, r Result) {
	header := w.Header()
	header.Del("Content-Length")
	header.Del("Trailer")
	header.Set("Content-Type", "application/json")
	header.Set(OutcomeHeader, string(r.Outcome))
	if r.RetryAfter > 0 {
		header.Set("Retry-After", retryAfterSeconds(r.RetryAfter))
	}
	w.WriteHeader(r.Status())
	// A write error means that the caller has disconnected.
	_, _ = w.Write(append(r.ErrorBody(), '\n'))
}

// ErrorBody returns a failed result as a JSON object, for the body of a
// response or the data of a stream's error event.
func (r Result) ErrorBody() []byte {
	body, err := json.Marshal(errorBody{Error: errorDetail{Outcome: r.Outcome, Code: r.Code, Message: r.Message}})
	if err != nil {
		panic("call: a body of strings does not encode: " + err.Error())
	}
	return body
}

// retryAfterSeconds rounds up, because the field has a resolution of one second.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatInt(int64(math.Ceil(d.Seconds())), 10)
}
