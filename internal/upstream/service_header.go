package upstream

import (
	"net/http"
	"strings"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/hop"
)

// RequestHeader returns the fields of a caller's request that are forwarded to
// a plain service: without hop-by-hop fields, those listed in Connection, the
// caller's credentials and the reserved Barleylift- fields, and with the
// customer's name.
func RequestHeader(from http.Header, customer string) http.Header {
	header := endToEnd(from)
	header.Del("Authorization")
	header.Del("Expect")
	header.Del("Content-Length")
	header.Set(call.CustomerHeader, customer)
	return header
}

// ResponseHeader returns the fields of a plain service's response that are
// forwarded to the caller.
func ResponseHeader(from http.Header) http.Header {
	return endToEnd(from)
}

func endToEnd(from http.Header) http.Header {
	header := hop.EndToEnd(from)
	for name := range header {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), call.ReservedHeaderPrefix) {
			delete(header, name)
		}
	}
	return header
}
