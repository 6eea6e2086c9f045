// Package fake provides small in-memory stand-ins for the services that a
// daemon depends on, for tests, benchmarks and the dev command.
package fake
