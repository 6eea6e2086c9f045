package infra

// Era counts how often the key-value service has come back from an older copy of
// its data. Such a return loses writes that it had acknowledged, and revisions
// and leases are given out again.
type Era int64

// eraShift is the position of the era in a number of an era. It leaves 40 bits for
// the service's own numbers: 12 days at a million revisions a second.
const eraShift = 40

// InEra returns a revision that the service gave out in an era. Revisions of a
// later era are greater than all of an earlier one, so a revision orders changes
// over any number of returns.
func InEra(era Era, number int64) int64 {
	return int64(era)<<eraShift | number
}

// EraOf returns the era in which a revision was given out.
func EraOf(number int64) Era {
	return Era(number >> eraShift)
}

// NumberOf returns the service's own number of a revision.
func NumberOf(number int64) int64 {
	return number & (1<<eraShift - 1)
}
