// Package promise tests the guarantees of the system, one test per guarantee,
// with three daemons and stand-ins for the systems around them. The tests judge
// by the records of the stand-ins, not by what the daemons report.
package promise
