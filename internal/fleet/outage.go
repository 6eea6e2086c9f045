package fleet

// Outage is what the other members have recently reported of an outage of the key-value service.
type Outage struct {
	// SharedByAll is set if every other member has reported that it can't reach the service
	// either. None can then make a claim.
	SharedByAll bool
	// NewestClaim is the highest revision of an engine's record that any daemon has reported; 0
	// if none has. Daemons of older builds don't report it.
	NewestClaim int64
}

// NewestClaim returns the highest revision of an engine's record that this daemon has read.
func (k *Keeper) NewestClaim() int64 {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.table.newestClaim
}

// Revision returns the revision up to which this daemon knows all records.
func (k *Keeper) Revision() int64 {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.table.Revision()
}

// OwnedAsOf lists the engines that an incarnation of a member orders, and the revision up to which
// the list is complete.
func (k *Keeper) OwnedAsOf(member string, incarnation int64) (engines []string, revision int64) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.table.OwnedBy(member, incarnation), k.table.Revision()
}

// ProveOwnership records that this daemon owned the engines according to another daemon's copy of
// the records, which is complete up to a revision.
func (k *Keeper) ProveOwnership(engines []string, revision int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, id := range engines {
		k.provenRevision[id] = max(k.provenRevision[id], revision)
	}
}

// mayOrderInOutage reports whether an outage lets this daemon order an engine that is its own
// according to its copy of the records. No claim can be made while the outage lasts. Claims that
// were made before may be missing from the copy, as this daemon may have been frozen or cut off
// then, so no daemon may know of a claim beyond the revision up to which its ownership is proven:
// by its own copy, or by another daemon's.
func (k *Keeper) mayOrderInOutage(id string) bool {
	k.mu.RLock()
	everRenewed := k.everRenewed
	proven := max(k.table.Revision(), k.provenRevision[id])
	newestClaim := k.table.newestClaim
	k.mu.RUnlock()
	if !everRenewed {
		return false
	}
	outage := k.config.Outage()
	if !outage.SharedByAll {
		return false
	}
	newestClaim = max(newestClaim, outage.NewestClaim)
	allowed := proven >= newestClaim
	k.logOutageRight(id, allowed, proven, newestClaim)
	return allowed
}

// logOutageRight logs when the right to order an engine in an outage of all members changes.
func (k *Keeper) logOutageRight(id string, allowed bool, proven, newestClaim int64) {
	k.mu.Lock()
	previous, known := k.outageRights[id]
	k.outageRights[id] = allowed
	k.mu.Unlock()
	switch {
	case known && previous == allowed:
	case allowed:
		k.log.Info("engine may be ordered in an outage that all share", "engine", id, "proven_revision", proven, "newest_claim", newestClaim)
	default:
		k.log.Warn("engine may not be ordered in an outage that all share, a claim may have been missed", "engine", id, "proven_revision", proven, "newest_claim", newestClaim)
	}
}
