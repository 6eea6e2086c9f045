// Package mesh exchanges small datagrams between daemons: admission requests,
// their status and progress, and periodic heartbeats with each daemon's use of
// engines and the state of its own.
//
// Messages are independent of each other and may be lost, duplicated or late;
// the sender of an important request repeats it. Messages are CBOR over UDP.
package mesh
