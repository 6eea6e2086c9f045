package gateway

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/mirror"
	"github.com/barleylift/barleylift/internal/quarantine"
)

const (
	// quarantinePrefix and requestQuarantinePrefix are the prefixes of the keys of blocked
	// prompt parts and requests.
	quarantinePrefix        = keyPrefix + "quarantine/"
	requestQuarantinePrefix = keyPrefix + "quarantined-requests/"
	// unprovenValue is the value of the key of a block that others may be the cause of; that of
	// any other is empty.
	unprovenValue = "unproven"
	// storeTimeout bounds the write of such a key.
	storeTimeout = time.Second
)

// storeKey returns the service's key of what is blocked.
func storeKey(key quarantine.Key) string {
	if key.Kind == quarantine.WholeRequest {
		return requestQuarantinePrefix + key.IDString()
	}
	return quarantinePrefix + key.IDString()
}

// parseStoreKey returns what a key of the service blocks, and false if it is another key.
func parseStoreKey(text string) (key quarantine.Key, ok bool, err error) {
	id, ok := strings.CutPrefix(text, quarantinePrefix)
	if !ok {
		if id, ok = strings.CutPrefix(text, requestQuarantinePrefix); !ok {
			return key, false, nil
		}
		key.Kind = quarantine.WholeRequest
	}
	key, err = parseKeyID(key.Kind, id)
	return key, true, err
}

func parseKeyID(kind quarantine.Kind, text string) (quarantine.Key, error) {
	id, err := strconv.ParseUint(text, 16, 64)
	return quarantine.Key{Kind: kind, ID: id}, err
}

// applyQuarantineKey applies a change of the service's key of what is blocked. A deletion
// ends no block: the service may have come back from an older copy.
func (g *Gateway) applyQuarantineKey(change mirror.Change) {
	key, ok, err := parseStoreKey(change.Entry.Key)
	if err != nil {
		g.log.Warn("invalid key of a blocked cause of crashes ignored", "key", change.Entry.Key, "error", err)
	}
	if !ok || err != nil {
		return
	}
	now := clock.Boot()
	q := g.quarantined
	q.mu.Lock()
	isNew := false
	if change.Deleted {
		delete(q.stored, key)
	} else {
		q.stored[key] = change.Entry.ModRevision
		block := q.table.Block
		if string(change.Entry.Value) == unprovenValue {
			block = q.table.BlockUnproven
		}
		isNew = block(now, now, key)
	}
	q.mu.Unlock()
	if isNew {
		g.logBlocked(key, "key-value service")
	}
}

// storeQuarantine writes the service's keys of the blocks and suspected parts of which this
// daemon is the steward, and deletes those of others.
func (g *Gateway) storeQuarantine(ctx context.Context) {
	if g.storeDisconnected() || !g.firstReadApplied.Load() {
		return
	}
	for _, txn := range g.quarantineWrites() {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		if _, err := g.platform.Store().Txn(callCtx, txn); err != nil {
			g.log.Warn("key of a blocked cause of crashes not updated, retrying", "error", err)
		}
		cancel()
	}
}

func blockValue(b quarantine.Blocked) []byte {
	if b.Unproven {
		return []byte(unprovenValue)
	}
	return nil
}

func (g *Gateway) quarantineWrites() (txns []infra.Txn) {
	q := g.quarantined
	q.mu.Lock()
	defer q.mu.Unlock()
	blocked := make(map[quarantine.Key]bool)
	for _, b := range q.table.Blocks() {
		blocked[b.Key] = true
		if key := storeKey(b.Key); q.stored[b.Key] == 0 && g.isSteward(b.Key) {
			txns = append(txns, infra.Txn{If: []infra.Compare{infra.Absent(key)}, Then: []infra.Op{infra.Put(key, blockValue(b))}})
		}
	}
	for key, revision := range q.stored {
		if name := storeKey(key); !blocked[key] && g.isSteward(key) {
			txns = append(txns, infra.Txn{If: []infra.Compare{infra.ModifiedAt(name, revision)}, Then: []infra.Op{infra.Delete(name)}})
		}
	}
	return append(txns, g.suspectWrites(q)...)
}
