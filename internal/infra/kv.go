package infra

import (
	"context"
	"fmt"
	"time"
)

// LeaseID identifies a lease of the key-value service; 0 means none.
type LeaseID int64

// KV is the platform's key-value service. Every method counts as one call
// against the platform's rate limit. Errors are *Error values.
type KV interface {
	// Get reads one key. The entry's CreateRevision is 0 when the key is absent.
	Get(ctx context.Context, key string) (Entry, error)
	// Range reads all keys with the prefix, in key order, at one revision.
	Range(ctx context.Context, prefix string) (RangeResult, error)
	// Txn atomically applies Then if all conditions of If hold, else Else.
	Txn(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns the time to live that was granted.
	KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch delivers the changes to keys with the prefix from the given
	// revision on. The channel is closed when the watch breaks or ctx ends; a
	// broken watch ends with a batch whose Err is set. The caller then reads
	// the range again and watches from the revision after it.
	Watch(ctx context.Context, prefix string, from int64) (<-chan WatchBatch, error)
}

// Entry is one key with its value and revisions. All revisions of this package
// are those of an Era, see InEra.
type Entry struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Lease          LeaseID
}

// Exists reports whether the key was present.
func (e Entry) Exists() bool {
	return e.CreateRevision != 0
}

// RangeResult is the result of Range.
type RangeResult struct {
	Entries  []Entry
	Revision int64
}

// CompareTarget is the field of a key that a Compare examines.
type CompareTarget int

// The fields that can be compared.
const (
	CompareCreateRevision CompareTarget = iota
	CompareModRevision
	CompareValue
)

// Compare is a condition that a key's field equals a value. A revision of 0
// means that the key is absent.
type Compare struct {
	Key      string
	Target   CompareTarget
	Revision int64
	Value    []byte
}

// Absent returns the condition that the key does not exist.
func Absent(key string) Compare {
	return Compare{Key: key, Target: CompareCreateRevision}
}

// CreatedAt returns the condition that the key was created at the revision.
func CreatedAt(key string, revision int64) Compare {
	return Compare{Key: key, Target: CompareCreateRevision, Revision: revision}
}

// ModifiedAt returns the condition that the key was last changed at the revision.
func ModifiedAt(key string, revision int64) Compare {
	return Compare{Key: key, Target: CompareModRevision, Revision: revision}
}

// OpKind is the kind of an operation in a transaction.
type OpKind int

// The kinds of operations.
const (
	OpPut OpKind = iota
	OpDelete
	OpGet
)

// Op is one operation in a transaction. A Delete or Get with Prefix set
// covers all keys with the prefix Key.
type Op struct {
	Kind   OpKind
	Key    string
	Prefix bool
	Value  []byte
	Lease  LeaseID
}

// Put returns an operation that writes a key without a lease.
func Put(key string, value []byte) Op {
	return Op{Kind: OpPut, Key: key, Value: value}
}

// Delete returns an operation that deletes a key.
func Delete(key string) Op {
	return Op{Kind: OpDelete, Key: key}
}

// Read returns an operation that reads a key.
func Read(key string) Op {
	return Op{Kind: OpGet, Key: key}
}

// Txn is a conditional transaction.
type Txn struct {
	If   []Compare
	Then []Op
	Else []Op
}

// TxnResult is the result of a transaction; Succeeded is set if Then was
// applied. Reads holds the entries of each Get of the applied branch, in order
// of the operations; it has one element per operation and a nil element for
// each Put and Delete.
type TxnResult struct {
	Succeeded bool
	Revision  int64
	Reads     [][]Entry
}

// WatchBatch is a set of changes that took effect at one or more revisions. It holds all up to
// Revision, which may be far behind the service's own: a long backlog comes in parts.
type WatchBatch struct {
	Events   []WatchEvent
	Revision int64
	// RequestedAt is when the batch was requested, by clock.Boot; 0 for a watch that sends
	// batches without requests.
	RequestedAt time.Duration
	Err         error
}

// WatchEvent is one change of a key. Deletions hold the key only.
type WatchEvent struct {
	Deleted bool
	Entry   Entry
}

// ErrorKind classifies a failed call by whether it may have taken effect and by
// its cause.
type ErrorKind int

// The kinds of failures.
const (
	// Unavailable means that the call certainly had no effect. Its cause is
	// context.DeadlineExceeded if the reply did not come in time.
	Unavailable ErrorKind = iota
	// Ambiguous means that the call may have taken effect.
	Ambiguous
	// LeaseNotFound means that the lease has ended.
	LeaseNotFound
	// Compacted means that a watch requested revisions that have been compacted.
	Compacted
	// Refused means that the service rejected the call as invalid.
	Refused
	// EraChanged means that the service has come back from an older copy since the
	// revisions of the call were given out. The call had no effect. The caller
	// reads again what it knows.
	EraChanged
	// TooLarge means that a reply exceeds what this daemon takes. The call had no effect.
	// The caller reads the keys by Range instead, whose pages are bounded.
	TooLarge
)

// String returns the name of the kind.
func (k ErrorKind) String() string {
	switch k {
	case Unavailable:
		return "unavailable"
	case Ambiguous:
		return "ambiguous"
	case LeaseNotFound:
		return "lease not found"
	case Compacted:
		return "compacted"
	case EraChanged:
		return "era changed"
	case TooLarge:
		return "too large"
	default:
		return "refused"
	}
}

// Error is a failed call to the key-value service.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error describes the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("key-value %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
