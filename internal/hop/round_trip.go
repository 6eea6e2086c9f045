package hop

import (
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Transport is a client's transport whose responses are checked as RoundTrip does.
type Transport struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	return RoundTrip(t.Transport, request)
}

// RoundTrip sends a request over a transport of net/http. A response whose head is invalid is
// an error; see checkHead. A body without a length that ends while the request is being
// written is not taken for whole; see trackedBody.
func RoundTrip(transport http.RoundTripper, request *http.Request) (*http.Response, error) {
	written := &requestWrite{done: make(chan struct{})}
	var once sync.Once
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		once.Do(func() {
			written.err = info.Err
			close(written.done)
		})
	}}
	response, err := transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		// The error says more than one of the close.
		_ = response.Body.Close()
		return nil, err
	}
	if response.ProtoMajor == 1 && !isFramed(response) {
		response.Body = &closingBody{trackedBody{source: response.Body, written: written}}
	}
	return response, nil
}

// closingBody is a trackedBody whose Close ends the exchange.
type closingBody struct {
	trackedBody
}

// Close implements io.Closer.
func (b *closingBody) Close() error {
	return b.source.Close()
}
