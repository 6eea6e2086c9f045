// Package topology defines the state that upstreams report about themselves,
// independent of the platform's wire formats. It contains no decision logic.
package topology
