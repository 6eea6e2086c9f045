package gateway

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/mirror"
	"github.com/barleylift/barleylift/internal/quarantine"
)

// suspectPrefix is the prefix of the keys of prompt parts that one more crash would block:
// without them, the crashes so far would be forgotten when all daemons end.
const suspectPrefix = keyPrefix + "suspected-parts/"

// suspectRecord is the value of such a key: the times of crashes, in Unix milliseconds.
type suspectRecord struct {
	Crashes []int64 `json:"crashes"`
}

// applySuspectKey applies a change of a key of a suspected part.
func (g *Gateway) applySuspectKey(change mirror.Change) {
	id, ok := strings.CutPrefix(change.Entry.Key, suspectPrefix)
	if !ok {
		return
	}
	key, err := parseKeyID(quarantine.PromptPart, id)
	var record suspectRecord
	if err == nil && !change.Deleted {
		err = json.Unmarshal(change.Entry.Value, &record)
	}
	if err != nil {
		g.log.Warn("invalid key of a suspected part ignored", "key", change.Entry.Key, "error", err)
		return
	}
	now, wall := clock.Boot(), time.Now()
	var crashes []time.Duration
	for _, at := range record.Crashes {
		crashes = append(crashes, now-wall.Sub(time.UnixMilli(at)))
	}
	q := g.quarantined
	q.mu.Lock()
	defer q.mu.Unlock()
	if change.Deleted {
		delete(q.storedSuspects, key)
		return
	}
	q.storedSuspects[key] = change.Entry.ModRevision
	if q.table.Recall(now, key, crashes) {
		g.log.Info("part of prompts is suspected of earlier crashes", "cause", key.String(), "crashes", len(crashes), "last_ms", (now - crashes[len(crashes)-1]).Milliseconds())
	}
}

// suspectWrites returns the writes of the keys of suspected parts of which this daemon is the
// steward. The caller holds the lock of q.
func (g *Gateway) suspectWrites(q *quarantined) (txns []infra.Txn) {
	suspected := make(map[quarantine.Key]bool)
	for _, s := range q.table.Suspected() {
		suspected[s.Key] = true
		if q.storedSuspects[s.Key] == 0 && g.isSteward(s.Key) {
			key := suspectKey(s.Key)
			txns = append(txns, infra.Txn{If: []infra.Compare{infra.Absent(key)}, Then: []infra.Op{infra.Put(key, suspectValue(s.Crashes))}})
		}
	}
	for key, revision := range q.storedSuspects {
		if name := suspectKey(key); !suspected[key] && g.isSteward(key) {
			txns = append(txns, infra.Txn{If: []infra.Compare{infra.ModifiedAt(name, revision)}, Then: []infra.Op{infra.Delete(name)}})
		}
	}
	return txns
}

func suspectKey(key quarantine.Key) string {
	return suspectPrefix + key.IDString()
}

func suspectValue(crashes []time.Duration) []byte {
	now, wall := clock.Boot(), time.Now()
	var record suspectRecord
	for _, at := range crashes {
		record.Crashes = append(record.Crashes, wall.Add(at-now).UnixMilli())
	}
	value, err := json.Marshal(record)
	if err != nil {
		panic("gateway: " + err.Error()) // numbers can always be encoded
	}
	return value
}
