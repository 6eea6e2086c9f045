// Package reachability decides whether a VM reaches any upstream, from its attempts to
// connect. It does no I/O.
//
// It answers this load: a VM loses its links to all upstreams for seconds, while callers,
// the key-value service and other VMs still reach it. Its connections hang, are reset, or
// live on while new ones fail. One upstream that has ended, or is silent for a moment, looks
// the same for the requests that are there, so several are tried before the VM counts as cut
// off, and again before it counts as back.
package reachability
