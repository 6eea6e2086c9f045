// Package hop carries one HTTP/1.1 request at a time over connections that it
// owns, to one upstream. It never sends a request again by itself, proves
// whether any byte of a request was written, and gives a connection back only
// after an exchange that ended cleanly at both sides.
package hop
