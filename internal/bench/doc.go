// Package bench holds end-to-end benchmarks: callers, daemons with their
// connections to each other, and stand-ins for engines and the key-value
// service run in one process. docs/CAPACITY.md is computed from their results
// and from those of the benchmarks of single packages.
package bench
