// Package mirror keeps a daemon's copy of a part of the key-value service up
// to date: one read of all keys, then a watch from the revision of that read.
// While the service is unreachable, the copy stays unchanged.
//
// A copy that has fallen behind catches up with the state, not with the history. After an
// interruption the service is asked for its revision. If more changes were missed than there are
// keys, or if a reply to the watch turns out to be a part of a backlog, all keys are read again and
// the differences delivered. So the time until the newest values are known is bounded by the size of
// the state, however often they have changed and however the service divides its replies. The same
// is done if the history was compacted.
package mirror
