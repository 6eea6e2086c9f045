// Package limit bounds what one customer may use at one daemon (calls in flight
// and generated tokens per second under each profile), and retries as a ratio
// of recent calls.
package limit
