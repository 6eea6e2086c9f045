// Package claim makes calls that may not be repeated take effect at most once.
//
// Each call carries an idempotency key. Before a call is sent, the owner of the
// key's shard commits a claim to the key-value service. Claims are committed in
// batches, in a transaction that compares the shard's owner key and head key, so
// a stale owner cannot commit. A call is sent at most once, and only by the
// daemon that has seen its claim committed. The outcome is stored by a later
// write. If the owner fails before that, the outcome is unknown and the call is
// never sent again.
//
// Ledger is the aggregate: it decides how to handle a call with a given key and
// does no I/O. Pool runs the shards that this daemon owns.
//
// Lock order: Pool.mu before shard.mu. Neither is held during I/O.
package claim
