package owner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/barleylift/barleylift/internal/call"
	"github.com/barleylift/barleylift/internal/engine"
	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/ownership"
)

// maxRecordAttempts bounds the attempts of one change to a record. A change is
// attempted again after a conflicting write or a lost reply.
const maxRecordAttempts = 4

// errRecordNotUpdated is returned when no attempt to change the record was
// confirmed: the engine's owner key no longer belongs to this tenure, other
// writes conflicted or replies were lost.
var errRecordNotUpdated = errors.New("change of the record of tenures not confirmed: the engine has another owner, other writes conflicted or replies were lost")

// tenureRecord is the value of the intent key of an engine that ignores fencing
// tokens. It outlives the lease of the owner that wrote it.
type tenureRecord struct {
	// Tenures holds the tenures whose end has not been acknowledged.
	Tenures []recordedTenure `json:"tenures"`
}

// recordedTenure is one owner's entry in a tenureRecord.
type recordedTenure struct {
	Token        ownership.Token  `json:"token"`
	Member       string           `json:"member"`
	PeerAddress  string           `json:"peer_address"`
	EntryAddress string           `json:"entry_address"`
	Unloads      []recordedUnload `json:"unloads,omitempty"`
}

// recordedUnload is an unload order that its owner may have sent or may still
// send.
type recordedUnload struct {
	Adapter string         `json:"adapter"`
	Order   engine.OrderID `json:"order"`
}

// recordState is what a tenure keeps in memory about its engine's record. All
// fields but updateLock are guarded by tenure.mu.
type recordState struct {
	// updateLock serializes changes to the record. It is locked before
	// tenure.mu and held during calls to the key-value service.
	updateLock chan struct{}
	// cached is set while value and revision hold what was last read or
	// written.
	cached   bool
	value    tenureRecord
	revision int64
	// taskPending is set while a periodic task over the record is queued or
	// running.
	taskPending  bool
	registered   bool
	acknowledged bool
}

// IntentKey returns the key that holds the tenures and unload intents of an
// engine that ignores fencing tokens. It is not attached to a lease.
func IntentKey(engineName string) string {
	return "intents/engine/" + engineName
}

// indexOf returns the index of a tenure's entry, or -1 if there is none.
func (r *tenureRecord) indexOf(token ownership.Token) int {
	return slices.IndexFunc(r.Tenures, func(t recordedTenure) bool { return t.Token == token })
}

func (r *tenureRecord) clone() tenureRecord {
	tenures := slices.Clone(r.Tenures)
	for i := range tenures {
		tenures[i].Unloads = slices.Clone(tenures[i].Unloads)
	}
	return tenureRecord{Tenures: tenures}
}

// updateRecord applies a change to the record by compare-and-swap. The change
// must be idempotent, because it may be applied again after a lost reply. It
// returns false when there is nothing to write.
func (t *tenure) updateRecord(ctx context.Context, guards []infra.Compare, change func(*tenureRecord) bool) error {
	select {
	case t.record.updateLock <- struct{}{}:
		defer func() { <-t.record.updateLock }()
	case <-ctx.Done():
		return ctx.Err()
	}
	for range maxRecordAttempts {
		record, revision, err := t.readRecord(ctx)
		if err != nil {
			return err
		}
		if !change(&record) {
			return nil
		}
		written, err := t.writeRecord(ctx, guards, record, revision)
		if written || err != nil {
			return err
		}
	}
	return errRecordNotUpdated
}

// readRecord returns the cached record, or reads it from the key-value service.
func (t *tenure) readRecord(ctx context.Context) (tenureRecord, int64, error) {
	t.mu.Lock()
	if t.record.cached {
		defer t.mu.Unlock()
		return t.record.value.clone(), t.record.revision, nil
	}
	t.mu.Unlock()
	entry, err := t.pool.config.KV.Get(ctx, IntentKey(t.name))
	if err != nil {
		return tenureRecord{}, 0, err
	}
	var record tenureRecord
	if entry.Exists() {
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			return tenureRecord{}, 0, fmt.Errorf("%s: %w", IntentKey(t.name), err)
		}
	}
	t.cacheRecord(record, entry.ModRevision)
	return record.clone(), entry.ModRevision, nil
}

func (t *tenure) cacheRecord(record tenureRecord, revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record.cached = true
	t.record.value = record
	t.record.revision = revision
}

func (t *tenure) dropRecordCache() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record.cached = false
}

// writeRecord replaces the record if its revision and the guards still match.
// It returns false without an error when the record must be read again first.
func (t *tenure) writeRecord(ctx context.Context, guards []infra.Compare, record tenureRecord, revision int64) (bool, error) {
	value, err := json.Marshal(record)
	if err != nil {
		panic("owner: marshal record: " + err.Error())
	}
	key := IntentKey(t.name)
	result, err := t.pool.config.KV.Txn(ctx, infra.Txn{
		If:   append([]infra.Compare{infra.ModifiedAt(key, revision)}, guards...),
		Then: []infra.Op{infra.Put(key, value)},
	})
	if err == nil && result.Succeeded {
		t.cacheRecord(record, result.Revision)
		return true, nil
	}
	t.dropRecordCache()
	var failed *infra.Error
	if errors.As(err, &failed) && failed.Kind == infra.Ambiguous {
		return false, nil
	}
	return false, err
}

// guard returns the condition that this tenure still holds the owner key.
func (t *tenure) guard() []infra.Compare {
	return []infra.Compare{infra.CreatedAt(t.pool.config.OwnerKey(t.name), int64(t.token))}
}

// writeIntent records an unload before its order is sent.
func (t *tenure) writeIntent(ctx context.Context, e eviction) error {
	return t.updateRecord(ctx, t.guard(), func(r *tenureRecord) bool {
		i := r.indexOf(t.token)
		if i < 0 {
			r.Tenures = append(r.Tenures, t.newRecordedTenure())
			i = len(r.Tenures) - 1
		}
		intent := recordedUnload{Adapter: e.adapter.String(), Order: e.order}
		if slices.Contains(r.Tenures[i].Unloads, intent) {
			return false
		}
		r.Tenures[i].Unloads = append(r.Tenures[i].Unloads, intent)
		return true
	})
}

// clearIntent removes the intent of an unload that the engine has confirmed.
// The caller holds t.mu.
func (t *tenure) clearIntent(e eviction) {
	if t.spec.ChecksFencing {
		return
	}
	t.task(false, func(ctx context.Context) {
		err := t.updateRecord(ctx, t.guard(), func(r *tenureRecord) bool {
			i := r.indexOf(t.token)
			if i < 0 {
				return false
			}
			before := len(r.Tenures[i].Unloads)
			r.Tenures[i].Unloads = slices.DeleteFunc(r.Tenures[i].Unloads, func(u recordedUnload) bool { return u.Order == e.order })
			return len(r.Tenures[i].Unloads) < before
		})
		if err != nil {
			t.log.Debug("removing an unload intent failed; it stays recorded until the tenure ends", "adapter", e.adapter.String(), "error", err)
		}
	})
}

func (t *tenure) newRecordedTenure() recordedTenure {
	self := t.pool.config.View.Self()
	return recordedTenure{Token: t.token, Member: self.Name, PeerAddress: self.PeerAddress, EntryAddress: self.EntryAddress}
}

// startRecordStep starts the next step of the takeover, or of the tenure's end,
// that is due. The caller holds t.mu.
func (t *tenure) startRecordStep() {
	if t.spec.ChecksFencing {
		t.record.acknowledged = t.record.acknowledged || t.ended
		return
	}
	switch {
	case t.record.taskPending:
	case t.ended && !t.record.acknowledged && t.isQuiescent():
		t.recordTask(t.acknowledge)
	case !t.ended && t.agg.NeedsPredecessorIntents():
		t.recordTask(t.register)
	case !t.ended && t.agg.NeedsPredecessorsStopped():
		t.recordTask(t.checkPredecessors)
	}
}

// isQuiescent reports whether nothing that this tenure has sent can still take
// effect. The caller holds t.mu.
func (t *tenure) isQuiescent() bool {
	return len(t.running) == 0 && len(t.loads) == 0 && !t.agg.Unsettled()
}

// recordTask submits a periodic task over the record to the workers. The caller
// holds t.mu.
func (t *tenure) recordTask(work func(context.Context) error) {
	t.record.taskPending = true
	t.task(false, func(ctx context.Context) {
		err := work(ctx)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.record.taskPending = false
		if err != nil {
			t.log.Debug("updating the record of tenures failed; trying again at the next tick", "error", err)
		}
	})
}

// register adds this tenure to the record and passes the unload intents of its
// predecessors to the aggregate.
func (t *tenure) register(ctx context.Context) error {
	t.mu.Lock()
	t.record.registered = true
	t.mu.Unlock()
	var others []recordedTenure
	err := t.updateRecord(ctx, t.guard(), func(r *tenureRecord) bool {
		others = t.otherTenures(r)
		if r.indexOf(t.token) >= 0 {
			return false
		}
		r.Tenures = append(r.Tenures, t.newRecordedTenure())
		return true
	})
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.agg.RecordPredecessorIntents(unloadIntents(others), time.Now())
	if len(others) == 0 {
		t.agg.RecordPredecessorsStopped(time.Now())
	}
	t.readReport()
	return nil
}

func (t *tenure) otherTenures(r *tenureRecord) []recordedTenure {
	return slices.DeleteFunc(slices.Clone(r.Tenures), func(o recordedTenure) bool { return o.Token == t.token })
}

func unloadIntents(tenures []recordedTenure) []call.AdapterRef {
	var adapters []call.AdapterRef
	for _, recorded := range tenures {
		for _, unload := range recorded.Unloads {
			if ref, err := call.ParseAdapterRef(unload.Adapter); err == nil {
				adapters = append(adapters, ref)
			}
		}
	}
	return adapters
}

// checkPredecessors completes the takeover once every predecessor has
// acknowledged its end or is known to have stopped.
func (t *tenure) checkPredecessors(ctx context.Context) error {
	t.dropRecordCache()
	var others []recordedTenure
	err := t.updateRecord(ctx, t.guard(), func(r *tenureRecord) bool {
		before := len(r.Tenures)
		r.Tenures = slices.DeleteFunc(r.Tenures, func(o recordedTenure) bool {
			return o.Token != t.token && t.pool.hasPredecessorEnded(t, o)
		})
		others = t.otherTenures(r)
		return len(r.Tenures) < before
	})
	if err != nil || len(others) > 0 {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.log.Info("all predecessors have stopped; takeover complete")
	t.agg.RecordPredecessorsStopped(time.Now())
	return nil
}

// acknowledge records that this tenure sends nothing more to the engine. It
// does nothing while an order may still take effect: the successor then waits
// until this daemon has stopped.
func (t *tenure) acknowledge(ctx context.Context) error {
	t.mu.Lock()
	quiescent := t.isQuiescent()
	needed := t.record.registered && !t.record.acknowledged
	t.mu.Unlock()
	if !quiescent {
		return nil
	}
	if needed {
		err := t.updateRecord(ctx, nil, func(r *tenureRecord) bool {
			before := len(r.Tenures)
			r.Tenures = t.otherTenures(r)
			return len(r.Tenures) < before
		})
		if err != nil {
			return fmt.Errorf("owner: recording the end of the tenure at %s: %w", t.name, err)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record.acknowledged = true
	return nil
}

// hasPredecessorEnded reports whether a predecessor of t can no longer send
// anything. This holds if the predecessor was this daemon under an older token
// whose tenure has finished, or if it is neither a member nor in the list of
// VMs. The list must be recent enough to contain its VM and must contain this
// daemon.
func (p *Pool) hasPredecessorEnded(t *tenure, o recordedTenure) bool {
	self := p.config.View.Self()
	if o.PeerAddress == self.PeerAddress {
		return !p.isRetired(t.name, o.Token)
	}
	for _, member := range p.config.View.Members() {
		if member.Name == o.Member {
			return false
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	recentEnough := p.vms.updatedAt.After(t.startedAt.Add(p.config.VMListLag))
	listsSelf := p.vms.addresses[self.PeerAddress] || p.vms.addresses[self.EntryAddress]
	listsPredecessor := p.vms.addresses[o.PeerAddress] || p.vms.addresses[o.EntryAddress]
	return recentEnough && listsSelf && !listsPredecessor
}

// isRetired reports whether a tenure of this process has ended but not
// finished.
func (p *Pool) isRetired(engineName string, token ownership.Token) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for t := range p.retired {
		if t.name == engineName && t.token == token {
			return true
		}
	}
	return false
}
