package gateway

import (
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/mesh"
	"github.com/barleylift/barleylift/internal/quarantine"
	"github.com/barleylift/barleylift/internal/topology"
)

const (
	// crashReportSends is how often a report of a crash is sent to each daemon, as
	// datagrams may be lost, and crashReportInterval the time between.
	crashReportSends    = 3
	crashReportInterval = 150 * time.Millisecond
	// maxReportedParts bounds the parts of one suspect in a datagram, and maxSpread
	// each list of parts or requests in a heartbeat.
	maxReportedParts = 128
	maxSpread        = 16
	// answeredSpreadPeriod is how long heartbeats name a part that has been answered.
	answeredSpreadPeriod = 15 * time.Second
)

// reportCrash tells all other daemons of a crash.
func (g *Gateway) reportCrash(crash quarantine.Crash) {
	for range crashReportSends {
		message := crashMessage(crash)
		for _, address := range g.otherAddresses() {
			g.mesh.Send(address, mesh.Packet{EngineCrash: message})
		}
		time.Sleep(crashReportInterval)
	}
}

// quarantineNotice is what heartbeats say about causes of crashes.
type quarantineNotice struct {
	blockedParts, answeredParts       []mesh.PartAge
	blockedRequests, answeredRequests []mesh.RequestAge
}

// quarantineNotice returns what is blocked, and what engines answer of it.
func (g *Gateway) quarantineNotice() quarantineNotice {
	now := clock.Boot()
	q := g.quarantined
	q.mu.Lock()
	blocks := q.table.Blocks()
	answered := q.table.AnsweredSuspects(now - answeredSpreadPeriod)
	q.mu.Unlock()
	var n quarantineNotice
	for _, b := range blocks {
		addAge(&n.blockedParts, &n.blockedRequests, b.Key, now-b.Since)
	}
	for _, a := range answered {
		addAge(&n.answeredParts, &n.answeredRequests, a.Key, now-a.At)
	}
	return n
}

// addTo adds the notice to a heartbeat.
func (n quarantineNotice) addTo(heartbeat *mesh.Heartbeat) {
	heartbeat.BlockedParts, heartbeat.BlockedRequests = n.blockedParts, n.blockedRequests
	heartbeat.AnsweredParts, heartbeat.AnsweredRequests = n.answeredParts, n.answeredRequests
}

// addAge adds a key and its age to the list of its kind, unless that is full.
func addAge(parts *[]mesh.PartAge, requests *[]mesh.RequestAge, key quarantine.Key, age time.Duration) {
	switch {
	case key.Kind == quarantine.WholeRequest && len(*requests) < maxSpread:
		*requests = append(*requests, mesh.RequestAge{Fingerprint: key.ID, Age: age.Milliseconds()})
	case key.Kind == quarantine.PromptPart && len(*parts) < maxSpread:
		*parts = append(*parts, mesh.PartAge{Part: key.ID, Age: age.Milliseconds()})
	}
}

// agesOf returns the keys of two lists with the times at which something became known of
// them.
func agesOf(now time.Duration, parts []mesh.PartAge, requests []mesh.RequestAge) map[quarantine.Key]time.Duration {
	at := make(map[quarantine.Key]time.Duration, len(parts)+len(requests))
	for _, p := range parts {
		at[quarantine.PartKey(topology.PromptPart(p.Part))] = now - time.Duration(p.Age)*time.Millisecond
	}
	for _, r := range requests {
		at[quarantine.RequestKey(quarantine.Fingerprint(r.Fingerprint))] = now - time.Duration(r.Age)*time.Millisecond
	}
	return at
}

// applyQuarantine applies what another daemon's heartbeat says about causes of crashes.
func (g *Gateway) applyQuarantine(from string, heartbeat *mesh.Heartbeat) {
	now := clock.Boot()
	answered := agesOf(now, heartbeat.AnsweredParts, heartbeat.AnsweredRequests)
	others := agesOf(now, heartbeat.BlockedParts, heartbeat.BlockedRequests)
	if len(answered)+len(others) == 0 {
		return
	}
	q := g.quarantined
	var blocked []quarantine.Key
	var changes quarantine.Changes
	q.mu.Lock()
	for key, at := range answered {
		c := q.table.RecordAnswer(now, at, []quarantine.Key{key})
		changes.Blocked, changes.Unblocked = append(changes.Blocked, c.Blocked...), append(changes.Unblocked, c.Unblocked...)
	}
	for key, since := range others {
		if q.table.Block(now, since, key) {
			blocked = append(blocked, key)
		}
	}
	q.mu.Unlock()
	g.logAnswered(changes, "heartbeat of "+from)
	for _, key := range blocked {
		g.logBlocked(key, "heartbeat of "+from)
	}
}

func crashMessage(crash quarantine.Crash) *mesh.EngineCrash {
	message := &mesh.EngineCrash{
		Engine: crash.Process.ID, Incarnation: crash.Process.Incarnation, Age: (clock.Boot() - crash.At).Milliseconds(),
	}
	if crash.SentAt != 0 {
		message.HeldFor = max((crash.At - crash.SentAt).Milliseconds(), 1) // 0 is unknown
	}
	for _, a := range crash.Answered {
		message.AnsweredParts = append(message.AnsweredParts, mesh.PartAge{Part: a.Key.ID, Age: (clock.Boot() - a.At).Milliseconds()})
	}
	for _, suspect := range crash.Suspects {
		if suspect.Request != 0 {
			message.Requests = append(message.Requests, uint64(suspect.Request))
		}
		if len(suspect.Parts) == 0 {
			continue
		}
		m := mesh.CrashSuspect{Source: uint64(suspect.Source), Begun: suspect.Begun}
		for _, part := range suspect.Parts {
			m.Parts = append(m.Parts, uint64(part))
		}
		message.Suspects = append(message.Suspects, m)
	}
	return message
}

func crashOf(message *mesh.EngineCrash) quarantine.Crash {
	crash := quarantine.Crash{
		Process: quarantine.Process{ID: message.Engine, Incarnation: message.Incarnation},
		At:      clock.Boot() - time.Duration(message.Age)*time.Millisecond,
	}
	if message.HeldFor != 0 {
		crash.SentAt = crash.At - time.Duration(message.HeldFor)*time.Millisecond
	}
	for _, m := range message.Suspects {
		suspect := quarantine.Suspect{Source: topology.PromptPart(m.Source), Begun: m.Begun}
		for _, part := range m.Parts {
			suspect.Parts = append(suspect.Parts, topology.PromptPart(part))
		}
		crash.Suspects = append(crash.Suspects, suspect)
	}
	for key, at := range agesOf(clock.Boot(), message.AnsweredParts, nil) {
		crash.Answered = append(crash.Answered, quarantine.Answered{Key: key, At: at})
	}
	for _, fingerprint := range message.Requests {
		crash.Suspects = append(crash.Suspects, quarantine.Suspect{Request: quarantine.Fingerprint(fingerprint)})
	}
	return crash
}
