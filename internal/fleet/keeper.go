package fleet

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/barleylift/barleylift/internal/clock"
	"github.com/barleylift/barleylift/internal/infra"
	"github.com/barleylift/barleylift/internal/mirror"
)

// KeeperConfig holds the dependencies of a Keeper.
type KeeperConfig struct {
	KV     infra.KV
	Prefix string
	Self   Member
	Timing Timing
	Log    *slog.Logger
	// Outage returns what other daemons have recently reported of an outage of the
	// key-value service. It is called without a lock held.
	Outage func() Outage
	// IsOrdering reports whether a member has recently reported that it gives
	// orders.
	IsOrdering func(member string) bool
	// Now reads a clock that counts suspended time; nil for clock.Boot.
	Now func() time.Duration
	// OnChange is called after the table has changed, without a lock held.
	OnChange func()
	// InheritCounted is set if Member.Counted is used. It costs one call to the service when
	// a process starts.
	InheritCounted bool
}

// Keeper holds this daemon's lease and member key, claims engines, and decides
// which engines this daemon may order. It is safe for concurrent use.
type Keeper struct {
	config KeeperConfig
	log    *slog.Logger
	wake   chan struct{}

	// mu guards the fields below; it is not held during I/O.
	mu    sync.RWMutex
	table *Table
	lease infra.LeaseID
	// memberRevision is the revision of the member key; 0 while there is none.
	memberRevision int64
	// lastRenewalSentAt is when the last successful renewal was sent.
	lastRenewalSentAt time.Duration
	everRenewed       bool
	// hasInherited is set once inheritCounted has succeeded.
	hasInherited bool
	// confirmedAt maps engines to when this daemon sent the last heartbeat after
	// which another daemon confirmed that this one still owned the engine.
	confirmedAt map[string]time.Duration
	// provenRevision maps engines to the highest revision at which another daemon's copy of the
	// records named this daemon their owner, and outageRights to the last logged result of
	// mayOrderInOutage.
	provenRevision map[string]int64
	outageRights   map[string]bool
}

// NewKeeper returns a Keeper that is not running.
func NewKeeper(config KeeperConfig) (*Keeper, error) {
	if config.KV == nil || config.Log == nil || config.Self.Name == "" {
		return nil, errors.New("fleet: KV, Log and Self.Name are required")
	}
	if config.Timing.LeaseTTL <= 0 || config.Timing.QuietTime <= 0 {
		return nil, errors.New("fleet: Timing: the lease's time to live and the quiet time must be positive")
	}
	if config.Outage == nil {
		config.Outage = func() Outage { return Outage{} }
	}
	if config.IsOrdering == nil {
		config.IsOrdering = func(string) bool { return false }
	}
	if config.Now == nil {
		config.Now = clock.Boot
	}
	if config.OnChange == nil {
		config.OnChange = func() {}
	}
	return &Keeper{
		config: config,
		log:    config.Log.With("part", "fleet"),
		wake:   make(chan struct{}, 1),
		table:  NewTable(config.Prefix, config.Self, config.Timing),

		confirmedAt:    make(map[string]time.Duration),
		provenRevision: make(map[string]int64),
		outageRights:   make(map[string]bool),
	}, nil
}

// Apply applies changes from the mirror of the key-value service. Most do not
// concern the fleet and cost little.
func (k *Keeper) Apply(changes []mirror.Change, revision int64) {
	relevant := slices.ContainsFunc(changes, func(c mirror.Change) bool { return strings.HasPrefix(c.Entry.Key, k.config.Prefix) })
	var before, after []string
	k.mu.Lock()
	if relevant {
		before = k.table.OwnedEngines()
	}
	if k.table.Revision() != 0 && infra.EraOf(revision) > k.table.Era() {
		k.beginEra(infra.EraOf(revision))
	}
	k.table.Apply(k.config.Now(), changes, revision)
	if relevant {
		after = k.table.OwnedEngines()
	}
	if k.memberRevision != 0 && k.memberRevision <= revision && k.table.members[k.config.Self.Name].Incarnation != k.config.Self.Incarnation {
		// The service dropped the member key, or another process on this VM has
		// replaced it.
		k.memberRevision = 0
	}
	k.mu.Unlock()
	k.wakeClaims()
	if relevant {
		k.logOwnershipChanges(before, after)
		k.config.OnChange()
	}
}

// NoteGap records that the changes of the next call of Apply are the difference to a later state, and
// not all that happened since the last one.
func (k *Keeper) NoteGap() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.NoteGap(k.config.Now())
}

// beginEra gives up the lease, the member key and all rights of the former era,
// which the key-value service may have lost or given to others. They are acquired
// anew. The caller holds mu.
func (k *Keeper) beginEra(era infra.Era) {
	var ordering []string
	for _, id := range k.table.OwnedEngines() {
		if _, ok := k.mayOrder(id); ok {
			ordering = append(ordering, id)
		}
	}
	k.log.Warn("key-value service has come back from an older copy; registering and claiming again", "former_era", int64(k.table.Era()), "era", int64(era),
		"lease", int64(k.lease), "engines", ordering)
	k.table.beginEra(k.config.Now(), ordering)
	k.lease = 0
	k.memberRevision = 0
	k.everRenewed = false
	clear(k.confirmedAt)
}

func (k *Keeper) logOwnershipChanges(before, after []string) {
	for _, id := range after {
		if !slices.Contains(before, id) {
			k.log.Info("ownership of engine acquired", "engine", id)
		}
	}
	for _, id := range before {
		if !slices.Contains(after, id) {
			k.log.Info("ownership of engine lost", "engine", id)
		}
	}
}

// SetEngines replaces the set of engines that are to be ordered.
func (k *Keeper) SetEngines(ids []string) {
	k.mu.Lock()
	k.table.SetEngines(k.config.Now(), ids)
	k.mu.Unlock()
	k.wakeClaims()
}

func (k *Keeper) wakeClaims() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Self returns this daemon's announcement.
func (k *Keeper) Self() Member {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.table.self
}

// Members returns all members that have a key, in name order.
func (k *Keeper) Members() []Member {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.table.Members()
}

// FormerMembers returns the last announcements of members without a key.
func (k *Keeper) FormerMembers() []Member {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.table.FormerMembers()
}

// KnownVMs returns the number of VMs that have a member key or own engines.
func (k *Keeper) KnownVMs() int {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.table.KnownVMs()
}

// HadProcess reports whether there is a trace of an earlier process of this VM.
func (k *Keeper) HadProcess() bool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.table.HadProcess()
}

// Member returns a member by its VM, including a former one without a key.
func (k *Keeper) Member(name string) (Member, bool) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	if m, ok := k.table.members[name]; ok {
		return m.Member, true
	}
	m, ok := k.table.former[name]
	return m, ok
}

// Digest returns a digest of all members and engines' records.
func (k *Keeper) Digest() uint64 {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.table.Digest()
}

// Owner returns the member that orders an engine.
func (k *Keeper) Owner(id string) (Member, bool) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.table.Owner(id)
}

// OwnedEngines lists the engines that this daemon orders.
func (k *Keeper) OwnedEngines() []string {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.table.OwnedEngines()
}

// MayOrder returns the token for an order to an engine if this daemon may send
// one at this moment. Call it just before each order.
func (k *Keeper) MayOrder(id string) (Token, bool) {
	k.mu.RLock()
	token, owned := k.table.MayOrder(k.config.Now(), id)
	_, confirmed := k.mayOrder(id)
	k.mu.RUnlock()
	if !owned || confirmed {
		return token, owned
	}
	return token, k.mayOrderInOutage(id)
}

// mayOrder is MayOrder without regard to an outage that affects all members. The
// caller holds mu.
func (k *Keeper) mayOrder(id string) (Token, bool) {
	now := k.config.Now()
	token, ok := k.table.MayOrder(now, id)
	renewalValid := k.everRenewed && now-k.lastRenewalSentAt < renewalValidity && k.memberRevision != 0 && k.table.Revision() >= k.memberRevision
	confirmedAt, confirmed := k.confirmedAt[id]
	return token, ok && (renewalValid || confirmed && now-confirmedAt < confirmationValidity)
}

// StoreConnected reports whether this daemon has recently renewed its lease with
// the key-value service.
func (k *Keeper) StoreConnected() bool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.storeConnected()
}

// storeConnected is StoreConnected for a caller that holds mu.
func (k *Keeper) storeConnected() bool {
	return k.everRenewed && k.config.Now()-k.lastRenewalSentAt < storeConnectedTimeout
}

// OwnedBy lists the engines that an incarnation of a member orders.
func (k *Keeper) OwnedBy(member string, incarnation int64) []string {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.table.OwnedBy(member, incarnation)
}

// ConfirmOwnership records another daemon's confirmation that this one still
// owned the engines after a heartbeat that this one sent at sentAt, a reading of
// clock.Boot.
func (k *Keeper) ConfirmOwnership(engines []string, sentAt time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, id := range engines {
		k.confirmedAt[id] = max(k.confirmedAt[id], sentAt)
	}
}

// MayOrderAny reports whether there is an engine that this daemon may order at
// this moment.
func (k *Keeper) MayOrderAny() bool {
	for _, id := range k.OwnedEngines() {
		if _, ok := k.MayOrder(id); ok {
			return true
		}
	}
	return false
}

// Run holds the lease and makes claims until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { k.runLease(ctx) })
	running.Go(func() { k.runClaims(ctx) })
	running.Wait()
}

func (k *Keeper) runLease(ctx context.Context) {
	for ctx.Err() == nil {
		pause := renewInterval
		if err := k.renew(ctx); err != nil {
			pause = renewRetryDelay
			k.log.Debug("lease renewal failed; retrying", "error", err)
		}
		if !clock.Sleep(ctx, pause) {
			return
		}
	}
}

// renew renews the lease, or gets one if there is none, and writes the member
// key if it is absent.
func (k *Keeper) renew(ctx context.Context) error {
	k.mu.RLock()
	lease, memberRevision, hasInherited := k.lease, k.memberRevision, k.hasInherited
	k.mu.RUnlock()
	if k.config.InheritCounted && !hasInherited {
		if err := k.inheritCounted(ctx); err != nil {
			return err
		}
	}
	sentAt := k.config.Now()
	if lease == 0 {
		granted, err := k.config.KV.Grant(ctx, k.config.Timing.LeaseTTL)
		if err != nil {
			return err
		}
		lease, memberRevision = granted, 0
		k.log.Info("lease granted", "lease", int64(lease))
		k.setLease(lease)
	} else if _, err := k.config.KV.KeepAlive(ctx, lease); err != nil {
		k.dropExpiredLease(err)
		return err
	}
	if memberRevision == 0 {
		if err := k.announce(ctx, lease); err != nil {
			k.dropExpiredLease(err)
			return err
		}
	}
	k.mu.Lock()
	k.lastRenewalSentAt = sentAt
	k.everRenewed = true
	k.mu.Unlock()
	return nil
}

func (k *Keeper) setLease(lease infra.LeaseID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease = lease
	k.memberRevision = 0
}

// dropExpiredLease clears the lease if the cause is that the service no longer
// has it.
func (k *Keeper) dropExpiredLease(cause error) {
	var failure *infra.Error
	if errors.As(cause, &failure) && failure.Kind == infra.LeaseNotFound {
		k.log.Warn("lease expired; requesting a new one")
		k.setLease(0)
	}
}

// announce writes the member key.
func (k *Keeper) announce(ctx context.Context, lease infra.LeaseID) error {
	self := k.Self()
	put := infra.Put(k.config.Prefix+memberPrefix+self.Name, encode(self))
	put.Lease = lease
	result, err := k.config.KV.Txn(ctx, infra.Txn{Then: []infra.Op{put}})
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if infra.EraOf(result.Revision) < k.table.Era() {
		return errLostAnnouncement
	}
	k.memberRevision = result.Revision
	return nil
}

// errLostAnnouncement means that the member key was written in a former era.
var errLostAnnouncement = errors.New("fleet: the key-value service has lost the member key")

func (k *Keeper) runClaims(ctx context.Context) {
	ticker := time.NewTicker(claimInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		case <-ticker.C:
		}
		for _, claim := range k.dueClaims() {
			k.sendClaim(ctx, claim)
		}
	}
}

// dueClaims returns the claims to be sent now; none while this daemon is
// disconnected from the service or has not seen its member key in the mirror.
func (k *Keeper) dueClaims() []Claim {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.memberRevision == 0 || k.table.Revision() < k.memberRevision || !k.storeConnected() {
		return nil
	}
	return k.table.Claims(k.config.Now(), k.config.IsOrdering)
}

func (k *Keeper) sendClaim(ctx context.Context, claim Claim) {
	result, err := k.config.KV.Txn(ctx, claim.Txn)
	k.mu.Lock()
	k.table.FinishClaim(claim)
	k.mu.Unlock()
	switch {
	case err != nil:
		k.log.Warn("claim of engines failed; retrying while it is due", "engines", claim.Engines, "error", err)
	case !result.Succeeded:
		k.log.Info("claim of engines rejected: a record or member key has changed", "engines", claim.Engines)
	default:
		k.log.Info("engines claimed", "engines", claim.Engines, "revision", result.Revision)
	}
}

// Drain stops all orders of this daemon and then announces that it is draining;
// others then claim its engines. While the service is unavailable, the
// announcement has certainly not been applied and no other daemon can claim
// them: orders resume, and Drain retries until ctx ends and then returns the
// last error. It returns any other error immediately.
func (k *Keeper) Drain(ctx context.Context) error {
	for {
		k.setDraining(true)
		err := k.announceDraining(ctx)
		var failure *infra.Error
		if err == nil || !errors.As(err, &failure) || failure.Kind != infra.Unavailable {
			return err
		}
		k.setDraining(false)
		if !clock.Sleep(ctx, renewRetryDelay) {
			return err
		}
	}
}

// SetCutOff announces whether this VM reaches no upstream. While it doesn't, this daemon
// sends no orders, and others claim its engines. It sends orders again once its return is
// announced, so that no claim that others make meanwhile is missed. A failed announcement
// is repeated with the renewals of the lease.
func (k *Keeper) SetCutOff(ctx context.Context, cutOff bool) error {
	k.mu.Lock()
	k.table.self.CutOff = cutOff
	k.memberRevision = 0
	lease := k.lease
	k.mu.Unlock()
	if lease == 0 {
		return nil
	}
	return k.announce(ctx, lease)
}

func (k *Keeper) setDraining(draining bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.self.Draining = draining
}

func (k *Keeper) announceDraining(ctx context.Context) error {
	k.mu.RLock()
	lease := k.lease
	k.mu.RUnlock()
	if lease == 0 {
		return nil
	}
	return k.announce(ctx, lease)
}

// Leave revokes the lease, which removes the member key.
func (k *Keeper) Leave(ctx context.Context) error {
	k.mu.RLock()
	lease := k.lease
	k.mu.RUnlock()
	if lease == 0 {
		return nil
	}
	return k.config.KV.Revoke(ctx, lease)
}
