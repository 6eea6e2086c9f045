package hop

import (
	"net/http"
	"strings"
)

// connectionFields concern one connection only (RFC 9110, section 7.6.1), in
// canonical form.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of a header without the fields that concern one
// connection, those listed in Connection included.
func EndToEnd(from http.Header) http.Header {
	header := from.Clone()
	if header == nil {
		header = make(http.Header)
	}
	for _, line := range from.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionFields {
		header.Del(name)
	}
	return header
}
