package fragility

import "time"

const (
	// refusalWindow is the time in which an upstream counts its refusals.
	refusalWindow = time.Second
	// usableShare is the share of the refusals that the upstream bears which all VMs may
	// cause: some requests are on their way when a refusal becomes known.
	usableShare = 1.0 / 3
	// statementTTL bounds how long a statement holds without another answer.
	statementTTL = time.Minute
)

// Fragility is what the answers of the upstreams of one service have said. The zero value is
// that they bear any number of refusals. Times are readings of one monotonic clock.
type Fragility struct {
	// MaxRefusals is the number of refusals in a second that each upstream bears.
	MaxRefusals int
	// statedAt is when the latest answer that named a maximum arrived, and endedAt when a
	// later one without; 0 for none.
	statedAt, endedAt time.Duration
}

// StatedAt returns when the latest answer that named a maximum arrived.
func (f Fragility) StatedAt() time.Duration {
	return f.statedAt
}

// Stated returns what is known after an answer that names a maximum arrived at a time, here
// or at another VM.
func (f Fragility) Stated(at time.Duration, maxRefusals int) Fragility {
	if at <= max(f.statedAt, f.endedAt) {
		return f
	}
	return Fragility{MaxRefusals: maxRefusals, statedAt: at, endedAt: f.endedAt}
}

// Ended returns what is known after an answer without a maximum has arrived now, to a request
// that was sent at a time. Answers on different connections overtake each other, so an
// earlier one ends nothing.
func (f Fragility) Ended(now, sentAt time.Duration) Fragility {
	if f.statedAt == 0 || sentAt <= f.statedAt {
		return f
	}
	return Fragility{endedAt: now}
}

// Applies reports whether the upstream is fragile.
func (f Fragility) Applies(now time.Duration) bool {
	return f.statedAt > f.endedAt && now-f.statedAt < statementTTL
}

// Pause returns how long all VMs keep from the upstream after a refusal, so that its
// refusals in a second stay within what it bears.
func (f Fragility) Pause() time.Duration {
	return time.Duration(float64(refusalWindow) / max(usableShare*float64(f.MaxRefusals), usableShare))
}

// Share returns how many requests one VM may have at the upstream, so that all VMs together
// have as many as it runs at once. rank is the VM's place, from 0 on, in the upstream's order
// of the VMs: the first ones get what can't be divided.
func Share(slots, vms, rank int) int {
	vms = max(vms, 1)
	share := slots / vms
	if rank < slots%vms {
		share++
	}
	return share
}
