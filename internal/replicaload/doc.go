// Package replicaload sums what runs at the replicas of plain services over all VMs. It does
// no I/O.
//
// Each VM tells the coordinators of internal/dissemination what it has running (Known.Report,
// an entry of kind ReplicaUse), and each coordinator replies with the sums (Sums.Loads, of
// kind ReplicaLoad). Both entries hold one list each. A sum repeats which report of the
// receiver it contains, so that the receiver subtracts exactly its own part.
//
// Times are readings of clock.Boot.
package replicaload
