// Package cost estimates what a request costs: the prompt tokens that an engine still has
// to prefill, the output tokens, and the memory. It does no I/O and takes the time as a
// parameter (readings of clock.Boot).
//
// What was observed is kept by route and customer, in a bounded number of histograms of
// fixed size whose counts decay. Before anything is known the answers are initialOutput
// and initialHighOutput.
package cost
