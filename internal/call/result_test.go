package call

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

func TestWriteResult(t *testing.T) {
	for _, tc := range []struct {
		result     Result
		status     int
		retryAfter string
	}{
		{Failed(NotRun, CodePlatformDown, "m").WithRetryAfter(1500 * time.Millisecond), http.StatusServiceUnavailable, "2"},
		{Failed(NotRun, CodeLimit, "m").WithRetryAfter(time.Second), http.StatusTooManyRequests, "1"},
		{Failed(Rejected, CodeKeyReused, "m"), http.StatusUnprocessableEntity, ""},
		{Failed(Unknown, CodeClaimUnknown, "m"), http.StatusBadGateway, ""},
	} {
		recorder := httptest.NewRecorder()
		WriteResult(recorder, tc.result)
		var body errorBody
		if err := json.Unmarshal(recorder.Body.Bytes(), &body); err != nil {
			t.Fatalf("%v: %v", tc.result, err)
		}
		if body.Error.Outcome != tc.result.Outcome || body.Error.Code != tc.result.Code {
			t.Errorf("%v: body %+v", tc.result, body)
		}
		if recorder.Code != tc.status || recorder.Header().Get("Retry-After") != tc.retryAfter ||
			recorder.Header().Get(OutcomeHeader) != string(tc.result.Outcome) {
			t.Errorf("%v: status %d, header %v", tc.result, recorder.Code, recorder.Header())
		}
	}
}
