package hop

import (
	"net/http"
	"strings"
)

// hopByHopFields are the hop-by-hop fields (RFC 9110, section 7.6.1), in
// canonical form.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of a header without the hop-by-hop fields, including
// those listed in Connection.
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
	for _, name := range hopByHopFields {
		header.Del(name)
	}
	return header
}
