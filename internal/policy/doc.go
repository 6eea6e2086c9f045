// Package policy replays arrival traces over the decision code that a daemon
// runs (placement, queue, permit) with a virtual clock, so that policies can
// be compared on the same trace. Engines and the weight store are modelled by
// their service times only; daemons, messages and failures are not modelled.
package policy
