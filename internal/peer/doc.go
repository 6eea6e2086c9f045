// Package peer transports calls between daemons over QUIC with mutual TLS: one
// stream per call, with CBOR messages of bounded size. Each connection has its
// own heartbeat and heartbeat timeout.
package peer
