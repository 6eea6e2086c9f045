package fleet

import (
	"context"
	"encoding/json"

	"github.com/barleylift/barleylift/internal/infra"
)

// MembersDigest returns a digest of all member keys. Copies of the key-value service with the
// same member keys have the same one.
func (k *Keeper) MembersDigest() uint64 {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.table.membersDigest
}

// OwnKey returns the revision of this VM's member key in the copy of the service, 0 if there is
// none, and its Counted. Before this process has announced itself, the key is that of the
// process before it.
func (k *Keeper) OwnKey() (revision int64, counted int) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	own := k.table.members[k.config.Self.Name]
	return own.revision, own.Counted
}

// inheritCounted takes over Member.Counted from the member key of the process before this one,
// before this one replaces the key: the copy of the service may first show the new key, and
// then nothing would tell that all VMs count this one.
func (k *Keeper) inheritCounted(ctx context.Context) error {
	entry, err := k.config.KV.Get(ctx, k.config.Prefix+memberPrefix+k.config.Self.Name)
	if err != nil {
		return err
	}
	var former Member
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hasInherited = true
	if entry.Exists() && json.Unmarshal(entry.Value, &former) == nil && former.Name == k.config.Self.Name {
		k.table.self.Counted = max(k.table.self.Counted, former.Counted)
	}
	return nil
}

// SetCounted announces Member.Counted. It changes nothing if the member key is not known to be
// the last one that this process wrote; the next announcement then has it.
func (k *Keeper) SetCounted(ctx context.Context, n int) error {
	k.mu.Lock()
	k.table.self.Counted = n
	self, lease := k.table.self, k.lease
	own := k.table.members[self.Name]
	k.mu.Unlock()
	if lease == 0 || own.Incarnation != self.Incarnation {
		return nil
	}
	key := k.config.Prefix + memberPrefix + self.Name
	put := infra.Put(key, encode(self))
	put.Lease = lease
	_, err := k.config.KV.Txn(ctx, infra.Txn{If: []infra.Compare{infra.ModifiedAt(key, own.revision)}, Then: []infra.Op{put}})
	return err
}

// QuotasInUse reports whether VMs may be entitled to shares of customers' limits, according to
// the copy of the service.
func (k *Keeper) QuotasInUse() bool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.table.quotasInUse
}

// AnnounceQuotas writes that VMs may be entitled to shares of customers' limits.
func (k *Keeper) AnnounceQuotas(ctx context.Context) error {
	_, err := k.config.KV.Txn(ctx, infra.Txn{Then: []infra.Op{infra.Put(k.config.Prefix+quotasKey, []byte("in use"))}})
	return err
}
