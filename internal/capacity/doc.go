// Package capacity computes the cost of each role of a daemon at the target
// size. It holds the benchmark results and the sizes and limits of the target,
// and renders the tables of docs/CAPACITY.md from them.
package capacity
