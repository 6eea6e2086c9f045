// Package mesh exchanges small datagrams between daemons: asks for adapters,
// news about them, and a periodic notice of each daemon's use and load of
// engines, which is its heartbeat as well.
//
// Each message stands for itself and may be lost, doubled or late; what
// matters is asked again by its sender. Messages are CBOR over UDP.
package mesh
