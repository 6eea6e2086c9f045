package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/quarantine"
	"github.com/barleylift/barleylift/internal/topology"
)

// All daemons know within a round trip which prompt parts and which requests engines have
// crashed on. Each daemon with a request at an engine that ends reports it to all others;
// heartbeats repeat what is blocked. A key of the key-value service keeps a block when all
// daemons end. The first member in a key's rendezvous order, its steward, writes and deletes
// the service's key, and lets the one request through that tries it again. The members that
// follow may do so too where it is not known which of several keys is the cause.

// maxLoggedKeys bounds the keys in a line of the log.
const maxLoggedKeys = 8

// quarantined is what this daemon knows of crashes and of what is blocked. It is safe for
// concurrent use.
type quarantined struct {
	mu     sync.Mutex // guards the fields below; not held during I/O
	table  *quarantine.Table
	probes map[quarantine.Process]*probe
	// stored holds the modification revisions of the service's keys of what is blocked.
	stored map[quarantine.Key]int64
	// storedSuspects holds those of the keys of suspected parts.
	storedSuspects map[quarantine.Key]int64
}

func newQuarantined() *quarantined {
	return &quarantined{table: quarantine.NewTable(), probes: make(map[quarantine.Process]*probe), stored: make(map[quarantine.Key]int64), storedSuspects: make(map[quarantine.Key]int64)}
}

// Judge implements relay.Quarantine.
func (g *Gateway) Judge(request quarantine.Request) quarantine.Verdict {
	q := g.quarantined
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Judge(clock.Boot(), request, func(key quarantine.Key, others int) bool {
		return g.isAmongFirst(storeKey(key), 1+others)
	})
}

// Recheck implements relay.Quarantine.
func (g *Gateway) Recheck(request quarantine.Request, earlier quarantine.Verdict) quarantine.Verdict {
	q := g.quarantined
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Recheck(request, earlier)
}

// EngineAnswered implements relay.Quarantine.
func (g *Gateway) EngineAnswered(id string, request quarantine.Request) {
	now := clock.Boot()
	q := g.quarantined
	q.mu.Lock()
	changes := q.table.RecordAnswer(now, now, request.Keys())
	q.mu.Unlock()
	g.logAnswered(changes, "request "+id)
}

// EngineFailed implements relay.Quarantine.
func (g *Gateway) EngineFailed(ctx context.Context, id string, upstream topology.Upstream, failure quarantine.Failure) (ended bool) {
	if ended, probedAt := g.hasEnded(ctx, upstream, failure.At); !ended {
		g.log.Info("engine broke a request off and is not known to have ended", "id", id, "upstream", upstream.ID, "begun", failure.Begun,
			"fingerprint", failure.Request.Fingerprint.String(), "probed_ms", (probedAt - failure.At).Milliseconds())
		return false
	}
	suspect, suspected, answered := g.uncleared(failure)
	g.log.Info("engine ended under a request", "id", id, "upstream", upstream.ID, "born", upstream.Incarnation, "begun", failure.Begun,
		"held_ms", (failure.At - failure.SentAt).Milliseconds(), "fingerprint", failure.Request.Fingerprint.String(), "suspected", suspect.Request != 0, "suspected_parts", len(suspect.Parts),
		"answered_before", answeredTexts(failure.At, answered))
	if failure.Begun {
		g.options.Meters.EngineCrash(upstream.Service)
	}
	if !suspected {
		return true
	}
	crash := quarantine.Crash{
		Process: quarantine.Process{ID: upstream.ID, Incarnation: upstream.Incarnation}, At: failure.At, SentAt: failure.SentAt,
		Suspects: []quarantine.Suspect{suspect}, Answered: answered,
	}
	unsettled := g.recordCrash(crash, "request "+id)
	go g.reportCrash(crash)
	if unsettled {
		// The caller's retry comes after this daemon's answer, and must meet the block.
		clock.Sleep(ctx, quarantine.SettleTime)
	}
	return true
}

// uncleared returns the suspect that a request is at the end of an engine's process, and the
// earlier answers on its parts. Others don't know which answers of the last moment clear it.
func (g *Gateway) uncleared(failure quarantine.Failure) (suspect quarantine.Suspect, suspected bool, answered []quarantine.Answered) {
	q := g.quarantined
	q.mu.Lock()
	defer q.mu.Unlock()
	suspect, suspected = q.table.Uncleared(failure.At, failure.Suspect())
	suspect.Parts = suspect.Parts[:min(len(suspect.Parts), maxReportedParts)]
	return suspect, suspected, q.table.AnsweredParts(suspect)
}

// answeredTexts names keys that engines have answered for the log, with how many milliseconds
// before a time.
func answeredTexts(now time.Duration, answered []quarantine.Answered) []string {
	texts := []string{}
	for _, a := range answered[:min(len(answered), maxLoggedKeys)] {
		texts = append(texts, fmt.Sprintf("%s %d", a.Key, (now-a.At).Milliseconds()))
	}
	return texts
}

// recordCrash adds a crash to the table, and reports whether more may be blocked because of
// it once the reports of other daemons have arrived.
func (g *Gateway) recordCrash(crash quarantine.Crash, source string) (unsettled bool) {
	q := g.quarantined
	q.mu.Lock()
	changes := q.table.RecordCrash(clock.Boot(), crash)
	q.mu.Unlock()
	if changes.Unsettled {
		time.AfterFunc(quarantine.SettleTime, g.reviewCrashes)
	}
	g.logChanges(changes, source)
	return changes.Unsettled
}

// reviewCrashes decides anew when all reports of a crash have arrived.
func (g *Gateway) reviewCrashes() {
	q := g.quarantined
	q.mu.Lock()
	changes := q.table.Review(clock.Boot())
	q.mu.Unlock()
	g.logChanges(changes, "reports of all")
}

func (g *Gateway) logChanges(changes quarantine.Changes, source string) {
	for _, key := range changes.Blocked {
		g.logBlocked(key, source)
	}
	for _, key := range changes.Unblocked {
		g.log.Info("crashes are explained by another cause", "cause", key.String(), "source", source)
	}
}

func (g *Gateway) logBlocked(key quarantine.Key, source string) {
	g.options.Meters.CrashCauseBlocked(key.Kind.String())
	g.log.Warn("engines crash again and again, requests with the cause reach no engine any more", "cause", key.String(), "source", source)
	g.relay.Withhold(key)
}

// logAnswered logs the changes after an answer.
func (g *Gateway) logAnswered(changes quarantine.Changes, source string) {
	for _, key := range changes.Unblocked {
		g.log.Info("engines answer requests with a blocked cause of crashes again", "cause", key.String(), "source", source)
	}
	for _, key := range changes.Blocked {
		g.logBlocked(key, source)
	}
}

// isSteward reports whether this daemon is the steward of a key.
func (g *Gateway) isSteward(key quarantine.Key) bool {
	return g.isAmongFirst(storeKey(key), 1)
}

// blocked lists the identifiers of the blocked keys of a kind, for the status page.
func (g *Gateway) blocked(kind quarantine.Kind) []string {
	q := g.quarantined
	q.mu.Lock()
	defer q.mu.Unlock()
	ids := []string{}
	for _, b := range q.table.Blocks() {
		if b.Key.Kind == kind {
			ids = append(ids, b.Key.IDString())
		}
	}
	return ids
}
