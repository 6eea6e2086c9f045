// Package quota bounds what each customer uses over all VMs together, in tokens or requests.
//
// Each VM is entitled to an equal share of each customer's rate (MemberCount, Entitlement). It
// delegates that share to the coordinator of the customer's group, whose Ledger keeps the
// customers' token buckets and grants tokens to the VMs that ask for them. A VM's TokenCache holds
// the granted tokens until they expire and the requests that wait for tokens. While no
// coordinator answers, a VM spends its own share.
//
// The package does no I/O. Times are readings of clock.Boot of the own VM, amounts are tokens
// (or requests, for customers whose requests count 1 each), and shares are parts of 1. See
// docs/design/quotas.md for the proof of the bound. None of the types is safe for concurrent
// use.
package quota
