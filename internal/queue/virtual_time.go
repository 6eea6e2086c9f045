package queue

// VirtualTime is the virtual time of customers that share a capacity by weight, in tokens per
// weight. It is the start tag of the item served last (start-time fair queueing, Goyal, Vin
// and Cheng, 1996). Each customer has a counter of the tokens per weight that it was charged;
// the one with the lowest is served first. The zero value is ready to use.
type VirtualTime float64

// Raise returns the counter of a customer that starts to wait or is served: at least the
// virtual time, so that an idle period earns no credit with which it could starve others.
func (t VirtualTime) Raise(counter float64) float64 {
	return max(counter, float64(t))
}

// Serve returns the counter of a customer after it was served and charged, and sets the
// virtual time to the start tag.
func (t *VirtualTime) Serve(counter, charge float64) float64 {
	counter = t.Raise(counter)
	*t = VirtualTime(counter)
	return counter + charge
}
