// Package freshness decides whether a VM can prove that its configuration is the newest, so
// that an API key that was removed is not accepted for longer than the bound.
//
// A proof is a time T: no configuration that the key-value service acknowledged before T is
// newer than the one in force. It comes from the VM's own reads, with the time at which the
// read was requested, or from another VM's answer, with the time at which this VM asked less
// the age that the other one states. Both err on the safe side however long messages take and
// whichever VM is frozen meanwhile. Frozen time counts, as times are readings of clock.Boot.
//
// The package does no I/O.
package freshness
