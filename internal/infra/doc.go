// Package infra defines the interfaces of the platform that barleylift runs
// on (the key-value service, the list of VMs) and the clients that implement
// them over HTTP.
package infra
